package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// WriteRequest is the body of a write. Every field is optional, except Endpoint in a registration.
type WriteRequest struct {
	Endpoint *Endpoint `json:"entry,omitempty"`
	TTLMS    int64     `json:"ttl_ms,omitempty"` // 0: the entry stays until it is removed
	// IfVersion is the version that the entry must have; 0: the entry must be absent; nil: any
	IfVersion *uint64       `json:"if,omitempty"`
	ID        string        `json:"id,omitempty"`    // id of the write: a repeat is not applied again
	Token     *FencingToken `json:"fence,omitempty"` // of the writer's lease; a stale token gets status 409
}

// Renewal is the body of a renewal of entries (Names) and of its response (Unknown).
type Renewal struct {
	Names   []string `json:"names,omitempty"`
	Unknown []string `json:"unknown,omitempty"` // names without a renewable entry, to be registered again
}

// ErrorResponse is the body of every response whose status is not 200.
type ErrorResponse struct {
	Code               string `json:"code"`
	Reason             string `json:"why"`
	Version            uint64 `json:"version,omitempty"` // version of the list
	ConflictingVersion uint64 `json:"entry,omitempty"`   // version that the entry has, after a conflict
}

// Address is where the other replicas reach a replica, as host:port.
type Address struct {
	Raft string `json:"raft"`
	HTTP string `json:"http"`
}

// Check validates the address of a replica that is to be added.
func (a *Address) Check() error {
	if a == nil {
		return errors.New("address: missing")
	}
	for key, value := range map[string]string{"raft": a.Raft, "http": a.HTTP} {
		if _, _, err := net.SplitHostPort(value); err != nil || len(value) > MaxTextBytes {
			return fmt.Errorf("%s: %q is not host:port", key, value)
		}
	}
	return nil
}

// Replica describes a replica from the point of view of the replica that responds.
type Replica struct {
	Name    string   `json:"name"`
	Leader  bool     `json:"leads"`
	Voter   bool     `json:"votes"`             // false: the replica receives the log but does not vote yet
	Self    bool     `json:"itself"`            // this is the replica that responds
	Address *Address `json:"address,omitempty"` // set only if the replica was added to the running cluster
}

// Registrations is the current list with the version and the time to live of each entry.
type Registrations struct {
	Index         uint64         `json:"index"`
	Epoch         string         `json:"epoch"`
	Registrations []Registration `json:"items"`
}

// PutRequest is the body of a write of a record. Without a value the record is removed.
type PutRequest struct {
	Value     json.RawMessage `json:"value,omitempty"`
	IfVersion *uint64         `json:"if,omitempty"`
	ID        string          `json:"id,omitempty"`
	Token     *FencingToken   `json:"fence,omitempty"`
}

// RecordsResponse is the response to a watch of records: all records under the prefix, with the values of the
// records that have changed since the reader's version.
type RecordsResponse struct {
	Index   uint64   `json:"index"`
	Epoch   string   `json:"epoch,omitempty"`
	Records []Record `json:"records"`
}

// OpenSessionRequest is the body of a request that opens a session or changes its process info.
type OpenSessionRequest struct {
	Process string      `json:"process"`
	TTLMS   int64       `json:"ttl_ms"`
	Info    ProcessInfo `json:"word"`
}

// SessionRenewal is the body of a renewal of sessions (Sessions) and of its response (Unknown).
type SessionRenewal struct {
	Sessions []string `json:"sessions,omitempty"`
	Unknown  []string `json:"unknown,omitempty"` // sessions that have ended
}

// CandidacyRequest is the body of a campaign and of a release.
type CandidacyRequest struct {
	Candidacies []Candidacy `json:"duties"`
}

// LeasesResponse is the response to a read or a watch of leases: all leases, or the leases of one session.
type LeasesResponse struct {
	Index    uint64    `json:"index"`
	Epoch    string    `json:"epoch,omitempty"`
	Leases   []Lease   `json:"duties"`
	Sessions []Session `json:"sessions,omitempty"` // set only if all leases are requested
}

// LeaseChangeRequest is the body of an operator's request to transfer a lease or to block a process from it.
type LeaseChangeRequest struct {
	Process string `json:"process,omitempty"`
	Block   bool   `json:"on,omitempty"` // true: block the process; false: unblock it
}

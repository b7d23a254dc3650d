package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// WriteRequest is the body of a write. All of it is optional but the entry of a registration.
type WriteRequest struct {
	Endpoint *Endpoint `json:"entry,omitempty"`
	TTLMS    int64     `json:"ttl_ms,omitempty"` // 0: it stays until it is removed
	// the version that the entry must have; 0: it must be absent
	IfVersion *uint64       `json:"if,omitempty"`
	ID        string        `json:"id,omitempty"`    // the same for a repeat, which then does not apply twice
	Token     *FencingToken `json:"fence,omitempty"` // of the lease that the writer holds; 409 if it does not
}

// Renewal is the body of a renewal, and its answer.
type Renewal struct {
	Names   []string `json:"names,omitempty"`
	Unknown []string `json:"unknown,omitempty"` // those that have no lease: register them again
}

// ErrorResponse is the body of every answer that is not 200.
type ErrorResponse struct {
	Code               string `json:"code"`
	Reason             string `json:"why"`
	Version            uint64 `json:"version,omitempty"` // of the list
	ConflictingVersion uint64 `json:"entry,omitempty"`   // the version in the way, at a conflict
}

// Address is where the others reach a replica.
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
		if _, _, err := net.SplitHostPort(value); err != nil || len(value) > MaxText {
			return fmt.Errorf("%s: %q is not host:port", key, value)
		}
	}
	return nil
}

// Replica is one replica as another sees it.
type Replica struct {
	Name    string   `json:"name"`
	Leader  bool     `json:"leads"`
	Voter   bool     `json:"votes"`             // else it learns
	Self    bool     `json:"itself"`            // the one that answers
	Address *Address `json:"address,omitempty"` // of one that was added while the others served
}

// Registrations is the list with what the service knows of each entry, as it is now.
type Registrations struct {
	Index         uint64         `json:"index"`
	Epoch         string         `json:"epoch"`
	Registrations []Registration `json:"items"`
}

// PutRequest is the body of a record's write. Without a value the record goes.
type PutRequest struct {
	Value     json.RawMessage `json:"value,omitempty"`
	IfVersion *uint64         `json:"if,omitempty"`
	ID        string          `json:"id,omitempty"`
	Token     *FencingToken   `json:"fence,omitempty"`
}

// RecordsResponse is what a watch of records gets: all under its prefix, with the values of those that are
// new to it.
type RecordsResponse struct {
	Index   uint64   `json:"index"`
	Epoch   string   `json:"epoch,omitempty"`
	Records []Record `json:"records"`
}

// OpenSessionRequest is the body of a session's opening.
type OpenSessionRequest struct {
	Process string      `json:"process"`
	TTLMS   int64       `json:"ttl_ms"`
	Info    ProcessInfo `json:"word"`
}

// SessionRenewal is the body of a renewal of sessions, and its answer.
type SessionRenewal struct {
	Sessions []string `json:"sessions,omitempty"`
	Unknown  []string `json:"unknown,omitempty"` // those that have ended
}

// CandidacyRequest is the body of a campaign, and of a release.
type CandidacyRequest struct {
	Candidacies []Candidacy `json:"duties"`
}

// LeasesResponse is what a read or a watch of leases gets: all of them, or those of a session.
type LeasesResponse struct {
	Index    uint64    `json:"index"`
	Epoch    string    `json:"epoch,omitempty"`
	Leases   []Lease   `json:"duties"`
	Sessions []Session `json:"sessions,omitempty"` // where all are asked for
}

// LeaseOrder is the body of an operator's order on a lease.
type LeaseOrder struct {
	Process string `json:"process,omitempty"`
	Block   bool   `json:"on,omitempty"` // of a block: to lay it, not to lift it
}

package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Write is the body of a write. All of it is optional but the entry of a registration.
type Write struct {
	Entry *Entry  `json:"entry,omitempty"`
	TTLms int64   `json:"ttl_ms,omitempty"` // 0: it stays until it is removed
	If    *uint64 `json:"if,omitempty"`     // the version that the entry must have; 0: it must be absent
	ID    string  `json:"id,omitempty"`     // the same for a repeat, which then does not apply twice
	Fence *Fence  `json:"fence,omitempty"`  // of the duty that the writer holds; 409 if it does not
}

// Renewal is the body of a renewal, and its answer.
type Renewal struct {
	Names   []string `json:"names,omitempty"`
	Unknown []string `json:"unknown,omitempty"` // those that have no lease: register them again
}

// Refusal is the body of every answer that is not 200.
type Refusal struct {
	Code    string `json:"code"`
	Why     string `json:"why"`
	Version uint64 `json:"version,omitempty"` // of the list
	Entry   uint64 `json:"entry,omitempty"`   // the version in the way, at a conflict
}

// Address is where the others reach a replica.
type Address struct {
	Raft string `json:"raft"`
	HTTP string `json:"http"`
}

// Check says what is wrong with the address of a replica that is to be added.
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

// Member is one replica as another sees it.
type Member struct {
	Name   string   `json:"name"`
	Leads  bool     `json:"leads"`
	Votes  bool     `json:"votes"`             // else it learns
	Itself bool     `json:"itself"`            // the one that answers
	Added  *Address `json:"address,omitempty"` // of one that was added while the others served
}

// Items is the list with what the service knows of each entry, as it is now.
type Items struct {
	Index uint64 `json:"index"`
	Epoch string `json:"epoch"`
	Items []Item `json:"items"`
}

// Put is the body of a record's write. Without a value the record goes.
type Put struct {
	Value json.RawMessage `json:"value,omitempty"`
	If    *uint64         `json:"if,omitempty"`
	ID    string          `json:"id,omitempty"`
	Fence *Fence          `json:"fence,omitempty"`
}

// RecordAnswer is what a watch of records gets: all under its prefix, with the values of those that are new to it.
type RecordAnswer struct {
	Index   uint64   `json:"index"`
	Epoch   string   `json:"epoch,omitempty"`
	Records []Record `json:"records"`
}

// SessionCall is the body of a session's opening.
type SessionCall struct {
	Process string `json:"process"`
	TTLms   int64  `json:"ttl_ms"`
	Word    Word   `json:"word"`
}

// SessionRenewal is the body of a renewal of sessions, and its answer.
type SessionRenewal struct {
	Sessions []string `json:"sessions,omitempty"`
	Unknown  []string `json:"unknown,omitempty"` // those that have ended
}

// Wishes is the body of a campaign, and of a giving up.
type Wishes struct {
	Duties []Wish `json:"duties"`
}

// DutyAnswer is what a read or a watch of duties gets: all of them, or those of a session.
type DutyAnswer struct {
	Index    uint64    `json:"index"`
	Epoch    string    `json:"epoch,omitempty"`
	Duties   []Duty    `json:"duties"`
	Sessions []Session `json:"sessions,omitempty"` // where all are asked for
}

// DutyOrder is the body of an operator's order on a duty.
type DutyOrder struct {
	Process string `json:"process,omitempty"`
	On      bool   `json:"on,omitempty"` // of a block: to lay it, not to lift it
}

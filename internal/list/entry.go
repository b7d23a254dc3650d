// Package list is the list of servers as the list service keeps it: its forms,
// its state machine, its leases. It is pure: no I/O, no clock.
package list

import (
	"errors"
	"fmt"
	"net"
)

// The statuses of an entry. Gone stands only among changes.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Bounds on what the list takes.
const (
	MaxText    = 256   // bytes of a name, an address, a zone or a type
	MaxEntries = 20000 // a hundred times the largest fleet of today
	MaxMembers = 9     // replicas; raft gains nothing from more than five that vote, and replacing needs some at a time
)

// Entry is one server, in discovery's form.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // Unix time of the server's last start; 0: long ago
}

// Check says what is wrong with an entry that is to be registered.
func (e Entry) Check() error {
	if e.Name == "" {
		return errors.New("name: missing")
	}
	for key, text := range map[string]string{"name": e.Name, "address": e.Address, "zone": e.Zone, "type": e.Type} {
		if len(text) > MaxText {
			return fmt.Errorf("%s: %d bytes, %d at most", key, len(text), MaxText)
		}
	}
	if e.Status != Ready && e.Status != Draining {
		return fmt.Errorf("status: %q, want %q or %q", e.Status, Ready, Draining)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if e.SinceMS < 0 || !(e.Weight >= 0) { // so that NaN fails, too
		return errors.New("since_ms and weight: want 0 or more")
	}
	return nil
}

// Answer is what a read or a watch gets: the whole list, or what has changed. A
// reader that knows no epoch ignores it.
type Answer struct {
	Index     uint64  `json:"index"`
	Epoch     string  `json:"epoch,omitempty"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

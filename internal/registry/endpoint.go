// Package registry is the registry's replicated state machine: the list of endpoints, sessions, leases and
// records, the commands that change them, and the messages of the API. It is pure: no I/O, no clock, no
// randomness. Package server runs it on raft, package client talks to it.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// The statuses of an entry. Gone stands only among changes.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// Bounds on what the list takes.
const (
	MaxText      = 256     // bytes of a name, an address, a zone or a type
	MaxEndpoints = 1 << 16 // a fifth more than the size to design for, docs/list-design.md
	// replicas; raft gains nothing from more than five that vote, and replacing needs some at a time
	MaxReplicas = 9
)

// Endpoint is one server, in discovery's form.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Type        string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"since_ms"`          // Unix time of the endpoint's last start; 0: long ago
	Version     string  `json:"version,omitempty"` // of its program, if somebody says; proxies pass over it
}

// Check validates an entry that is to be registered.
func (e Endpoint) Check() error {
	if e.Name == "" {
		return errors.New("name: missing")
	}
	for key, text := range map[string]string{
		"name":    e.Name,
		"address": e.Address,
		"zone":    e.Zone,
		"type":    e.Type,
		"version": e.Version,
	} {
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
	if e.StartedAtMS < 0 || !(e.Weight >= 0) { // so that NaN fails, too
		return errors.New("since_ms and weight: want 0 or more")
	}
	return nil
}

// ListResponse is what a read or a watch gets: the complete list, or what has changed. A
// reader that knows no epoch ignores it.
type ListResponse struct {
	Index     uint64     `json:"index"`
	Epoch     string     `json:"epoch,omitempty"`
	Snapshot  bool       `json:"snapshot"`
	Subset    string     `json:"part,omitempty"`  // that it is of, for a reader that has named one
	Total     int        `json:"total,omitempty"` // entries in all of the list, for the same
	Endpoints []Endpoint `json:"endpoints"`       // the last, as the service puts it behind the rest
	Skipped   []error    `json:"-"`               // what is wrong with entries that were read and passed over
}

// UnmarshalJSON reads an answer. An entry that can't be used must not cost a
// reader the others, so it is passed over.
func (a *ListResponse) UnmarshalJSON(raw []byte) error {
	type plain ListResponse // without this method
	in := struct {
		*plain
		Endpoints []json.RawMessage `json:"endpoints"`
	}{plain: (*plain)(a)}
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	// no list is not the same as an empty list
	if a.Endpoints, a.Skipped = nil, nil; in.Endpoints != nil {
		a.Endpoints = []Endpoint{}
	}
	for _, one := range in.Endpoints {
		var e Endpoint
		err := json.Unmarshal(one, &e)
		if err == nil {
			err = e.usable()
		}
		if err != nil {
			a.Skipped = append(a.Skipped, fmt.Errorf("entry %s: %w", one[:min(len(one), 200)], err))
			continue
		}
		a.Endpoints = append(a.Endpoints, e)
	}
	return nil
}

// usable validates an entry that is read. One that has left needs no address.
func (e Endpoint) usable() error {
	if e.Name == "" {
		return errors.New("no name")
	}
	switch e.Status {
	case Removed:
		return nil
	case Ready, Draining:
	default:
		return fmt.Errorf("unknown status %q", e.Status)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if e.StartedAtMS < 0 || e.Weight < 0 {
		return errors.New("negative since_ms or weight")
	}
	return nil
}

// Package registry is the registry's replicated state machine: the list of endpoints, the sessions, leases
// and records, the commands that change them, and the messages of the API. It does no I/O and uses neither a
// clock nor randomness. Package server runs the state machine on raft; package client calls the service.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Statuses of an entry. Removed occurs only in changes.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// Bounds on the list.
const (
	MaxTextBytes = 256     // bytes of a name, an address, a zone, a type or a version
	MaxEndpoints = 1 << 16 // a fifth more than the design size (docs/list-design.md)
	// MaxReplicas bounds the replicas of a cluster. Raft gains nothing from more than five voters; the other
	// four are for replicas that are being replaced.
	MaxReplicas = 9
)

// Endpoint is one entry of the list, in the form of the platform's discovery.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Type        string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"since_ms"`          // Unix time of the endpoint's last start; 0: long ago
	Version     string  `json:"version,omitempty"` // version of its program, if known; unused by proxies
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
		if len(text) > MaxTextBytes {
			return fmt.Errorf("%s: %d bytes, %d at most", key, len(text), MaxTextBytes)
		}
	}
	if e.Status != Ready && e.Status != Draining {
		return fmt.Errorf("status: %q, want %q or %q", e.Status, Ready, Draining)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if e.StartedAtMS < 0 || !(e.Weight >= 0) { // unlike Weight < 0, this also rejects NaN
		return errors.New("since_ms and weight: want 0 or more")
	}
	return nil
}

// ListResponse is the response to a read or a watch of the list or of a subset: all entries (Snapshot), or
// the changes since the reader's version. Readers that know no epochs ignore Epoch.
type ListResponse struct {
	Index     uint64     `json:"index"`
	Epoch     string     `json:"epoch,omitempty"`
	Snapshot  bool       `json:"snapshot"`
	Subset    string     `json:"part,omitempty"`  // the subset that is covered, if the request named one
	Total     int        `json:"total,omitempty"` // entries in the complete list, if a subset was named
	Endpoints []Endpoint `json:"endpoints"`       // must be the last field: the server appends encoded entries
	Skipped   []error    `json:"-"`               // errors of the entries that could not be parsed
}

// UnmarshalJSON parses a response. It skips an invalid entry, so that the reader does not lose the valid
// entries, and appends the error of the invalid entry to Skipped.
func (a *ListResponse) UnmarshalJSON(raw []byte) error {
	type plain ListResponse // a type without this method, so that Unmarshal does not recurse
	decoded := struct {
		*plain
		Endpoints []json.RawMessage `json:"endpoints"`
	}{plain: (*plain)(a)}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return err
	}
	// a missing list of endpoints stays nil, which differs from an empty list
	if a.Endpoints, a.Skipped = nil, nil; decoded.Endpoints != nil {
		a.Endpoints = []Endpoint{}
	}
	for _, rawEntry := range decoded.Endpoints {
		var e Endpoint
		err := json.Unmarshal(rawEntry, &e)
		if err == nil {
			err = e.checkReceived()
		}
		if err != nil {
			a.Skipped = append(a.Skipped, fmt.Errorf("entry %s: %w", rawEntry[:min(len(rawEntry), 200)], err))
			continue
		}
		a.Endpoints = append(a.Endpoints, e)
	}
	return nil
}

// checkReceived validates an entry of a response. A removed entry needs no address.
func (e Endpoint) checkReceived() error {
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

package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	maxKeptChanges = 10000 // a watcher further behind gets the complete list
	maxKeptWrites  = 10000 // write ids whose repeats are known
)

// Registration is an entry with what the service knows of it.
type Registration struct {
	Endpoint Endpoint      `json:"entry"`
	Version  uint64        `json:"version"` // of its last change
	TTL      time.Duration `json:"ttl"`     // 0: it does not expire
}

// Change is one change of the list; its number is the version that it made.
type Change struct {
	Version uint64   `json:"version"`
	Entry   Endpoint `json:"entry"` // with the status gone once it has left
}

// writeResult is a write whose repeat would be known.
type writeResult struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// State is the replicated state: the same commands in the same order make the
// same state everywhere. It is not safe for concurrent use.
type State struct {
	epoch            string
	version          uint64
	registrations    map[string]Registration
	byPosition       positionIndex // their names, by place
	changes          ringBuffer[Change]
	recentWrites     ringBuffer[writeResult]
	writeResults     map[string]Result // of writes
	replicaAddresses map[string]Address
	leases           leaseState
	records          map[string]Record
	recordKeys       sortedKeys // of records

	recordBytes    int    // of all records' values
	recordsVersion uint64 // the version of the last change of a record
	// the version of the last change that is no longer kept; a reader of an older version needs a snapshot
	trimmedVersion uint64
}

// NewState makes an empty list without an epoch.
func NewState() *State {
	return &State{
		registrations:    map[string]Registration{},
		writeResults:     map[string]Result{},
		replicaAddresses: map[string]Address{},
		leases:           newLeaseState(),
		records:          map[string]Record{},
		changes:          ringBuffer[Change]{capacity: maxKeptChanges},
		recentWrites:     ringBuffer[writeResult]{capacity: maxKeptWrites},
	}
}

// Version is that of the list.
func (s *State) Version() uint64 { return s.version }

// Epoch is that of the list, empty before it has begun.
func (s *State) Epoch() string { return s.epoch }

// Len is the number of entries.
func (s *State) Len() int { return len(s.registrations) }

// ReplicaAddress returns the address of a replica that was added while the others served.
func (s *State) ReplicaAddress(name string) (Address, bool) {
	a, ok := s.replicaAddresses[name]
	return a, ok
}

// Registration returns an entry by name.
func (s *State) Registration(name string) (Registration, bool) {
	i, ok := s.registrations[name]
	return i, ok
}

// Registrations returns all entries, by name.
func (s *State) Registrations() []Registration {
	all := make([]Registration, 0, len(s.registrations))
	for _, i := range s.registrations {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Registration) int { return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	return all
}

// Apply carries out a command. A malformed one changes nothing.
func (s *State) Apply(c Command) Result {
	if err := c.Check(); err != nil {
		return Result{Code: Invalid, Reason: err.Error(), Version: s.version}
	}
	if c.ID != "" {
		if r, ok := s.writeResults[c.ID]; ok {
			return r
		}
	}
	r, ok := s.checkToken(c.Token)
	if ok {
		r = s.apply(c)
	}
	r.Version = s.version
	if c.ID != "" {
		s.rememberWrite(writeResult{c.ID, r})
	}
	return r
}

func (s *State) rememberWrite(w writeResult) {
	s.writeResults[w.ID] = w.Result
	if old, full := s.recentWrites.push(w); full {
		delete(s.writeResults, old.ID)
	}
}

func (s *State) apply(c Command) Result {
	switch c.Op {
	case OpBegin:
		if s.epoch == "" {
			s.epoch = c.Epoch
			s.version++ // so that no list that has begun is at version 0, which is that of a reader who has none
		}
		return Result{}
	case OpRegister:
		return s.register(c)
	case OpDrain:
		return s.drain(c)
	case OpRemove:
		return s.remove(c)
	case OpExpire:
		for _, l := range c.Expired {
			if i, ok := s.registrations[l.Name]; ok && i.Version == l.Version {
				s.removeEndpoint(i.Endpoint)
			}
		}
		return Result{}
	case OpAddReplica:
		if _, there := s.replicaAddresses[c.Name]; !there && len(s.replicaAddresses) >= MaxReplicas {
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("%d replicas have been added already", len(s.replicaAddresses)),
			}
		}
		s.replicaAddresses[c.Name] = *c.Address
		return Result{}
	case OpForgetReplica:
		delete(s.replicaAddresses, c.Name)
		return Result{}
	case OpRestore:
		return s.restore(c)
	case OpPutRecord:
		return s.put(c)
	}
	return s.applyLeaseCommand(c)
}

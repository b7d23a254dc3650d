package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	maxRetainedChanges = 10000 // a watcher that lags by more changes gets the complete list
	maxRetainedWrites  = 10000 // write ids whose repeats are recognized
)

// Registration is an entry of the list with its version and its time to live.
type Registration struct {
	Endpoint Endpoint      `json:"entry"`
	Version  uint64        `json:"version"` // version of the entry's last change
	TTL      time.Duration `json:"ttl"`     // 0: the entry does not expire
}

// Change is one change of the list. Version is the list's version after the change.
type Change struct {
	Version uint64   `json:"version"`
	Entry   Endpoint `json:"entry"` // its status is Removed if the change removed it
}

// writeResult is the result of a write, stored under the write's id so that a repeat gets the same result.
type writeResult struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// State is the replicated state: the same commands in the same order produce the same state at every replica.
// It is not safe for concurrent use.
type State struct {
	epoch            string
	version          uint64
	registrations    map[string]Registration
	byPosition       positionIndex // names of all registrations, by position on the ring
	changes          ringBuffer[Change]
	recentWrites     ringBuffer[writeResult]
	writeResults     map[string]Result // by write id
	replicaAddresses map[string]Address
	leases           leaseState
	records          map[string]Record
	recordKeys       sortedKeys // the keys of records

	recordBytes    int    // the size of all records' values
	recordsVersion uint64 // the version of the last change of a record
	// trimmedVersion is the version of the last change that was dropped from changes. A reader of an older
	// version needs a snapshot.
	trimmedVersion uint64
}

// NewState returns an empty state without an epoch.
func NewState() *State {
	return &State{
		registrations:    map[string]Registration{},
		writeResults:     map[string]Result{},
		replicaAddresses: map[string]Address{},
		leases:           newLeaseState(),
		records:          map[string]Record{},
		changes:          ringBuffer[Change]{capacity: maxRetainedChanges},
		recentWrites:     ringBuffer[writeResult]{capacity: maxRetainedWrites},
	}
}

// Version returns the version of the list.
func (s *State) Version() uint64 { return s.version }

// Epoch returns the epoch of the list. It is empty before OpBegin has been applied.
func (s *State) Epoch() string { return s.epoch }

// Len returns the number of entries.
func (s *State) Len() int { return len(s.registrations) }

// ReplicaAddress returns the address of a replica that was added to the running cluster.
func (s *State) ReplicaAddress(name string) (Address, bool) {
	a, ok := s.replicaAddresses[name]
	return a, ok
}

// Registration returns an entry by name.
func (s *State) Registration(name string) (Registration, bool) {
	registration, ok := s.registrations[name]
	return registration, ok
}

// Registrations returns all entries, sorted by name.
func (s *State) Registrations() []Registration {
	registrations := make([]Registration, 0, len(s.registrations))
	for _, registration := range s.registrations {
		registrations = append(registrations, registration)
	}
	slices.SortFunc(
		registrations, func(a, b Registration) int { return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	return registrations
}

// Apply carries out a command. A malformed command changes nothing, and a repeat of a write that is still
// known returns the first result.
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
		s.storeWriteResult(writeResult{c.ID, r})
	}
	return r
}

// storeWriteResult stores the result of a write. If maxRetainedWrites results are stored already, it drops
// the result of the oldest write.
func (s *State) storeWriteResult(write writeResult) {
	s.writeResults[write.ID] = write.Result
	if dropped, full := s.recentWrites.push(write); full {
		delete(s.writeResults, dropped.ID)
	}
}

func (s *State) apply(c Command) Result {
	switch c.Op {
	case OpBegin:
		if s.epoch == "" {
			s.epoch = c.Epoch
			s.version++ // readers without a list send version 0, so no list with an epoch may have version 0
		}
		return Result{}
	case OpRegister:
		return s.register(c)
	case OpDrain:
		return s.drain(c)
	case OpRemove:
		return s.remove(c)
	case OpExpire:
		for _, expired := range c.Expired {
			if registration, ok := s.registrations[expired.Name]; ok && registration.Version == expired.Version {
				s.removeEndpoint(registration.Endpoint)
			}
		}
		return Result{}
	case OpAddReplica:
		if _, known := s.replicaAddresses[c.Name]; !known && len(s.replicaAddresses) >= MaxReplicas {
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

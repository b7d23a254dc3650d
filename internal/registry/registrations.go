package registry

// Commands that change the entries of the list.

import "fmt"

// checkVersion reports whether an entry has the version that the command requires. If it does not,
// checkVersion also returns the Conflict result. An absent entry has version 0.
func (s *State) checkVersion(c Command, name string) (Result, bool) {
	if current := s.registrations[name].Version; c.IfVersion != nil && *c.IfVersion != current {
		return Result{
			Code:         Conflict,
			EntryVersion: current,
			Reason:       fmt.Sprintf("%s has version %d, not %d", name, current, *c.IfVersion),
		}, false
	}
	return Result{}, true
}

func (s *State) register(c Command) Result {
	if r, ok := s.checkVersion(c, c.Endpoint.Name); !ok {
		return r
	}
	registration, exists := s.registrations[c.Endpoint.Name]
	if !exists && len(s.registrations) >= MaxEndpoints {
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("the list has %d entries already", len(s.registrations)),
		}
	}
	if exists && registration.Endpoint == *c.Endpoint {
		registration.TTL = c.TTL // watchers do not see the TTL, so the version does not change
		s.registrations[c.Endpoint.Name] = registration
		return Result{EntryVersion: registration.Version}
	}
	if !exists {
		s.byPosition.add(c.Endpoint.Name)
	}
	s.recordChange(*c.Endpoint)
	s.registrations[c.Endpoint.Name] = Registration{Endpoint: *c.Endpoint, Version: s.version, TTL: c.TTL}
	return Result{EntryVersion: s.version}
}

// find returns the entry that a command names, or false and the result to return if the entry is missing or
// does not meet the command's condition.
func (s *State) find(c Command) (Registration, Result, bool) {
	registration, exists := s.registrations[c.Name]
	if r, ok := s.checkVersion(c, c.Name); !ok {
		return registration, r, false
	}
	if !exists {
		return registration, Result{Code: NotFound, Reason: fmt.Sprintf("there is no %s", c.Name)}, false
	}
	return registration, Result{}, true
}

func (s *State) drain(c Command) Result {
	registration, r, ok := s.find(c)
	if !ok {
		return r
	}
	if registration.Endpoint.Status == Draining {
		return Result{EntryVersion: registration.Version}
	}
	registration.Endpoint.Status = Draining
	s.recordChange(registration.Endpoint)
	registration.Version = s.version
	s.registrations[c.Name] = registration
	return Result{EntryVersion: registration.Version}
}

func (s *State) remove(c Command) Result {
	registration, r, ok := s.find(c)
	if !ok {
		return r
	}
	s.removeEndpoint(registration.Endpoint)
	return Result{EntryVersion: s.version}
}

// removeEndpoint removes an existing entry and records the change.
func (s *State) removeEndpoint(e Endpoint) {
	delete(s.registrations, e.Name)
	s.byPosition.remove(e.Name)
	e.Status = Removed
	s.recordChange(e)
}

// recordChange appends a change under the next version. The oldest change is dropped if the buffer is full.
func (s *State) recordChange(e Endpoint) {
	s.version++
	if dropped, full := s.changes.push(Change{s.version, e}); full {
		s.trimmedVersion = dropped.Version
	}
}

// ListVersion returns the version of the last change of an entry.
func (s *State) ListVersion() uint64 {
	if n := s.changes.len(); n > 0 {
		return s.changes.at(n - 1).Version
	}
	return s.trimmedVersion
}

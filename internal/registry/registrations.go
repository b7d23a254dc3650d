package registry

// What becomes of the list's entries.

import "fmt"

// checkVersion reports whether an entry has the version that the command asks for; absent, it has 0.
func (s *State) checkVersion(c Command, name string) (Result, bool) {
	if has := s.registrations[name].Version; c.IfVersion != nil && *c.IfVersion != has {
		return Result{
			Code:         Conflict,
			EntryVersion: has,
			Reason:       fmt.Sprintf("%s has version %d, not %d", name, has, *c.IfVersion),
		}, false
	}
	return Result{}, true
}

func (s *State) register(c Command) Result {
	if r, ok := s.checkVersion(c, c.Endpoint.Name); !ok {
		return r
	}
	i, there := s.registrations[c.Endpoint.Name]
	if !there && len(s.registrations) >= MaxEndpoints {
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("the list has %d entries already", len(s.registrations)),
		}
	}
	if there && i.Endpoint == *c.Endpoint {
		i.TTL = c.TTL // nobody who watches has anything to learn
		s.registrations[c.Endpoint.Name] = i
		return Result{EntryVersion: i.Version}
	}
	if !there {
		s.byPosition.add(c.Endpoint.Name)
	}
	s.recordChange(*c.Endpoint)
	s.registrations[c.Endpoint.Name] = Registration{Endpoint: *c.Endpoint, Version: s.version, TTL: c.TTL}
	return Result{EntryVersion: s.version}
}

// find returns the entry that a command names, as long as it meets the condition.
func (s *State) find(c Command) (Registration, Result, bool) {
	i, there := s.registrations[c.Name]
	if r, ok := s.checkVersion(c, c.Name); !ok {
		return i, r, false
	}
	if !there {
		return i, Result{Code: NotFound, Reason: fmt.Sprintf("there is no %s", c.Name)}, false
	}
	return i, Result{}, true
}

func (s *State) drain(c Command) Result {
	i, r, ok := s.find(c)
	if !ok {
		return r
	}
	if i.Endpoint.Status == Draining {
		return Result{EntryVersion: i.Version}
	}
	i.Endpoint.Status = Draining
	s.recordChange(i.Endpoint)
	i.Version = s.version
	s.registrations[c.Name] = i
	return Result{EntryVersion: i.Version}
}

func (s *State) remove(c Command) Result {
	i, r, ok := s.find(c)
	if !ok {
		return r
	}
	s.removeEndpoint(i.Endpoint)
	return Result{EntryVersion: s.version}
}

func (s *State) removeEndpoint(e Endpoint) {
	delete(s.registrations, e.Name)
	s.byPosition.remove(e.Name)
	e.Status = Removed
	s.recordChange(e)
}

// recordChange appends a change under the next version.
func (s *State) recordChange(e Endpoint) {
	s.version++
	if old, full := s.changes.push(Change{s.version, e}); full {
		s.trimmedVersion = old.Version
	}
}

// ListVersion is that of the last change of an entry.
func (s *State) ListVersion() uint64 {
	if n := s.changes.len(); n > 0 {
		return s.changes.at(n - 1).Version
	}
	return s.trimmedVersion
}

package registry

// What becomes of the list's entries.

import "fmt"

// meets tells whether an entry has the version that the command asks for; absent, it has 0.
func (s *State) meets(c Command, name string) (Result, bool) {
	if has := s.items[name].Version; c.If != nil && *c.If != has {
		return Result{Code: Conflict, Entry: has, Why: fmt.Sprintf("%s has version %d, not %d", name, has, *c.If)}, false
	}
	return Result{}, true
}

func (s *State) register(c Command) Result {
	if r, ok := s.meets(c, c.Entry.Name); !ok {
		return r
	}
	i, there := s.items[c.Entry.Name]
	if !there && len(s.items) >= MaxEntries {
		return Result{Code: Full, Why: fmt.Sprintf("the list has %d entries already", len(s.items))}
	}
	if there && i.Entry == *c.Entry {
		i.TTL = c.TTL // nobody who watches has anything to learn
		s.items[c.Entry.Name] = i
		return Result{Entry: i.Version}
	}
	if !there {
		s.arcs.add(c.Entry.Name)
	}
	s.change(*c.Entry)
	s.items[c.Entry.Name] = Item{Entry: *c.Entry, Version: s.version, TTL: c.TTL}
	return Result{Entry: s.version}
}

// find gives the entry that a command names, as long as it meets the condition.
func (s *State) find(c Command) (Item, Result, bool) {
	i, there := s.items[c.Name]
	if r, ok := s.meets(c, c.Name); !ok {
		return i, r, false
	}
	if !there {
		return i, Result{Code: Absent, Why: fmt.Sprintf("there is no %s", c.Name)}, false
	}
	return i, Result{}, true
}

func (s *State) drain(c Command) Result {
	i, r, ok := s.find(c)
	if !ok {
		return r
	}
	if i.Entry.Status == Draining {
		return Result{Entry: i.Version}
	}
	i.Entry.Status = Draining
	s.change(i.Entry)
	i.Version = s.version
	s.items[c.Name] = i
	return Result{Entry: i.Version}
}

func (s *State) remove(c Command) Result {
	i, r, ok := s.find(c)
	if !ok {
		return r
	}
	s.leave(i.Entry)
	return Result{Entry: s.version}
}

func (s *State) leave(e Entry) {
	delete(s.items, e.Name)
	s.arcs.remove(e.Name)
	e.Status = Gone
	s.change(e)
}

// change gives a change the next number.
func (s *State) change(e Entry) {
	s.version++
	if old, full := s.changes.push(Change{s.version, e}); full {
		s.trimmed = old.Version
	}
}

// ListVersion is that of the last change of an entry.
func (s *State) ListVersion() uint64 {
	if n := s.changes.len(); n > 0 {
		return s.changes.at(n - 1).Version
	}
	return s.trimmed
}

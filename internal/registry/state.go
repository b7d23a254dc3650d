package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	keepChanges = 10000 // a watcher further behind gets the whole list
	keepWrites  = 10000 // write ids whose repeats are known
)

// Item is an entry with what the service knows of it.
type Item struct {
	Entry   Entry         `json:"entry"`
	Version uint64        `json:"version"` // of its last change
	TTL     time.Duration `json:"ttl"`     // 0: it does not expire
}

// Change is one change of the list; its number is the version that it made.
type Change struct {
	Version uint64 `json:"version"`
	Entry   Entry  `json:"entry"` // with the status gone once it has left
}

// written is a write whose repeat would be known.
type written struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// State is the replicated state: the same commands in the same order make the
// same state everywhere. It is not safe for concurrent use.
type State struct {
	epoch   string
	version uint64
	items   map[string]Item
	arcs    arcs // their names, by place
	changes recent[Change]
	writes  recent[written]
	known   map[string]Result // of writes
	members map[string]Address
	duties  duties
	records map[string]Record
	keys    keys // of records

	recordBytes int    // of all records' values
	recorded    uint64 // the version of the last change of a record
	trimmed     uint64 // the version of the last change that is no longer kept; no reader of an older one can be told by changes
}

// NewState makes an empty list without an epoch.
func NewState() *State {
	return &State{items: map[string]Item{}, known: map[string]Result{}, members: map[string]Address{}, duties: newDuties(), records: map[string]Record{}, changes: recent[Change]{most: keepChanges}, writes: recent[written]{most: keepWrites}}
}

// Version is that of the list.
func (s *State) Version() uint64 { return s.version }

// Epoch is that of the list, empty before it has begun.
func (s *State) Epoch() string { return s.epoch }

// Len is the number of entries.
func (s *State) Len() int { return len(s.items) }

// Member gives the address of a replica that was added while the others served.
func (s *State) Member(name string) (Address, bool) {
	a, ok := s.members[name]
	return a, ok
}

// Item gives an entry by name.
func (s *State) Item(name string) (Item, bool) {
	i, ok := s.items[name]
	return i, ok
}

// Items gives all entries, by name.
func (s *State) Items() []Item {
	all := make([]Item, 0, len(s.items))
	for _, i := range s.items {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Item) int { return cmp.Compare(a.Entry.Name, b.Entry.Name) })
	return all
}

// Apply carries out a command. A malformed one changes nothing.
func (s *State) Apply(c Command) Result {
	if err := c.Check(); err != nil {
		return Result{Code: Invalid, Why: err.Error(), Version: s.version}
	}
	if c.ID != "" {
		if r, ok := s.known[c.ID]; ok {
			return r
		}
	}
	r, ok := s.fenced(c.Fence)
	if ok {
		r = s.apply(c)
	}
	r.Version = s.version
	if c.ID != "" {
		s.remember(written{c.ID, r})
	}
	return r
}

func (s *State) remember(w written) {
	s.known[w.ID] = w.Result
	if old, full := s.writes.push(w); full {
		delete(s.known, old.ID)
	}
}

func (s *State) apply(c Command) Result {
	switch c.Do {
	case DoBegin:
		if s.epoch == "" {
			s.epoch = c.Epoch
			s.version++ // so that no list that has begun is at version 0, which is that of a reader who has none
		}
		return Result{}
	case DoRegister:
		return s.register(c)
	case DoDrain:
		return s.drain(c)
	case DoRemove:
		return s.remove(c)
	case DoExpire:
		for _, l := range c.Overdue {
			if i, ok := s.items[l.Name]; ok && i.Version == l.Version {
				s.leave(i.Entry)
			}
		}
		return Result{}
	case DoMember:
		if _, there := s.members[c.Name]; !there && len(s.members) >= MaxMembers {
			return Result{Code: Full, Why: fmt.Sprintf("%d replicas have been added already", len(s.members))}
		}
		s.members[c.Name] = *c.Address
		return Result{}
	case DoForget:
		delete(s.members, c.Name)
		return Result{}
	case DoRestore:
		return s.restore(c)
	case DoPut:
		return s.put(c)
	}
	return s.applyDuty(c)
}

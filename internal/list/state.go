package list

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"
)

const (
	keepChanges = 10000   // a watcher further behind gets the whole list
	keepWrites  = 10000   // write ids whose repeats are known
	restoreJump = 1 << 32 // versions that a restore passes over, more than could have been used since the copy
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
	changes ring[Change]
	writes  ring[written]
	known   map[string]Result // of writes
	members map[string]Address
	duties  duties
	records map[string]Record

	recordBytes int    // of all records' values
	trimmed     uint64 // the version of the last change that is no longer kept; no reader of an older one can be told by changes
}

// NewState makes an empty list without an epoch.
func NewState() *State {
	return &State{items: map[string]Item{}, known: map[string]Result{}, members: map[string]Address{}, duties: newDuties(), records: map[string]Record{}, changes: ring[Change]{most: keepChanges}, writes: ring[written]{most: keepWrites}}
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

// Since is the answer to whoever has the list of version from: the changes after
// it in their order, or the whole list where from is 0 or too old. A version
// ahead of the state's own is answered with nothing new; whether that may be is
// for the caller to judge.
func (s *State) Since(from uint64) Answer {
	a := Answer{Index: s.version, Epoch: s.epoch, Endpoints: []Entry{}}
	if from >= s.version && from > 0 {
		a.Index = from
		return a
	}
	if from < max(s.trimmed, 1) {
		a.Snapshot = true
		for _, i := range s.Items() {
			a.Endpoints = append(a.Endpoints, i.Entry)
		}
		return a
	}
	first := sort.Search(s.changes.len(), func(k int) bool { return s.changes.at(k).Version > from })
	for k := first; k < s.changes.len(); k++ {
		a.Endpoints = append(a.Endpoints, s.changes.at(k).Entry)
	}
	return a
}

// image is the form of a snapshot and of a backup.
type image struct {
	Form    int                `json:"v"`
	Epoch   string             `json:"epoch"`
	Version uint64             `json:"version"`
	Items   []Item             `json:"items"`
	Changes []Change           `json:"changes"`
	Writes  []written          `json:"writes"`
	Members map[string]Address `json:"members,omitempty"`
	Duties  duties             `json:"duties"`
	Records []Record           `json:"records,omitempty"`
	Trimmed *uint64            `json:"trimmed,omitempty"` // absent in the first programs' images, whose changes have all versions
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(image{form, s.epoch, s.version, s.Items(), s.changes.all(), s.writes.all(), s.members, s.duties, s.allRecords(), &s.trimmed})
}

// FromSnapshot decodes a state and says what is wrong with one that could not have been.
func FromSnapshot(raw []byte) (*State, error) {
	var in image
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	if in.Form != form {
		return nil, fmt.Errorf("a snapshot of form %d, this program knows %d", in.Form, form)
	}
	s := NewState()
	s.epoch, s.version = in.Epoch, in.Version
	for _, i := range in.Items {
		if err := i.Entry.Check(); err != nil {
			return nil, fmt.Errorf("a snapshot with a bad entry: %w", err)
		}
		if _, twice := s.items[i.Entry.Name]; twice || i.Version > in.Version || i.Version == 0 {
			return nil, fmt.Errorf("a snapshot of version %d with %s twice, or at version %d", in.Version, i.Entry.Name, i.Version)
		}
		s.items[i.Entry.Name] = i
	}
	s.trimmed = in.Version - uint64(len(in.Changes))
	if in.Trimmed != nil {
		s.trimmed = *in.Trimmed
	}
	last := s.trimmed
	for k, c := range in.Changes {
		if c.Version <= last || c.Version > in.Version || k >= keepChanges {
			return nil, fmt.Errorf("a snapshot of version %d whose change %d of %d has version %d", in.Version, k+1, len(in.Changes), c.Version)
		}
		last = c.Version
		s.changes.push(c)
	}
	for _, w := range in.Writes {
		s.remember(w)
	}
	for name, a := range in.Members {
		s.members[name] = a
	}
	if err := s.takeRecords(in.Records, in.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	if in.Duties.Duties == nil && in.Duties.Sessions == nil {
		return s, nil // of a program that knew no duties
	}
	if err := in.Duties.check(in.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	s.duties = in.Duties
	return s, nil
}

// restore puts a copy in place of the state, with a version past all that can
// have been given out since the copy was made, and nothing to be told by changes.
func (s *State) restore(c Command) Result {
	if c.Over != s.epoch {
		return Result{Code: Conflict, Why: fmt.Sprintf("the list has epoch %s, not %s", s.epoch, c.Over)}
	}
	from, err := FromSnapshot(c.Image)
	if err != nil {
		return Result{Code: Invalid, Why: err.Error()}
	}
	from.epoch = c.Epoch
	from.version = max(from.version, s.version) + restoreJump
	from.changes, from.trimmed = ring[Change]{most: keepChanges}, from.version
	from.members, from.duties = s.members, s.duties // the copy says nothing of the replicas and the holders of today
	*s = *from
	return Result{}
}

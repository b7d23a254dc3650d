package registry

// What a reader is told of the list, or of a part of it.

import (
	"cmp"
	"slices"
	"sort"
)

// arcs finds the names in a part: those of each 1024th of the ring.
type arcs [1 << 10][]string

func (a *arcs) of(name string) *[]string { return &a[Point(name)>>54] }

func (a *arcs) add(name string) {
	at := a.of(name)
	*at = append(*at, name)
}

func (a *arcs) remove(name string) {
	at := a.of(name)
	*at = slices.DeleteFunc(*at, func(n string) bool { return n == name })
}

// entries gives those of a part, by name.
func (s *State) entries(p Part) []Entry {
	all := []Entry{}
	if p.All() {
		for _, i := range s.Items() {
			all = append(all, i.Entry)
		}
		return all
	}
	const units = ring / len(s.arcs)
	first, n := int(p.From)/units, (int(p.From)%units+int(p.Width)-1)/units+1
	for k := range n {
		for _, name := range s.arcs[(first+k)%len(s.arcs)] {
			if p.Holds(Point(name)) {
				all = append(all, s.items[name].Entry)
			}
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// after is the place of the first change past a version.
func (s *State) after(version uint64) int {
	return sort.Search(s.changes.len(), func(k int) bool { return s.changes.at(k).Version > version })
}

// Since is the answer to whoever has the list of version from: the changes after
// it in their order, or the whole list where from is 0 or too old. A version
// ahead of the state's own is answered with nothing new; whether that may be is
// for the caller to judge.
func (s *State) Since(from uint64) Answer { return s.PartSince(Part{}, from) }

// PartSince is Since for whoever has a part of the list. Versions are the list's.
func (s *State) PartSince(p Part, from uint64) Answer {
	a := Answer{Index: s.version, Epoch: s.epoch, Endpoints: []Entry{}}
	if from >= s.version && from > 0 {
		a.Index = from
		return a
	}
	if from < max(s.trimmed, 1) {
		a.Snapshot, a.Endpoints = true, s.entries(p)
		return a
	}
	for k := s.after(from); k < s.changes.len(); k++ {
		if e := s.changes.at(k).Entry; p.Holds(Point(e.Name)) {
			a.Endpoints = append(a.Endpoints, e)
		}
	}
	return a
}

// Newer tells whether there is something to tell whoever has a part as of version from.
func (s *State) Newer(p Part, from uint64) bool {
	if p.All() || from < max(s.trimmed, 1) {
		return s.ListVersion() > from
	}
	for k := s.after(from); k < s.changes.len(); k++ {
		if p.Holds(Point(s.changes.at(k).Entry.Name)) {
			return true
		}
	}
	return false
}

// Moved is a change of the list without its entry.
type Moved struct{ Version, Point uint64 }

// Moves gives the changes after a version; it is false where they are not all kept.
func (s *State) Moves(after uint64) (all []Moved, ok bool) {
	if after < s.trimmed {
		return nil, false
	}
	for k := s.after(after); k < s.changes.len(); k++ {
		c := s.changes.at(k)
		all = append(all, Moved{c.Version, Point(c.Entry.Name)})
	}
	return all, true
}

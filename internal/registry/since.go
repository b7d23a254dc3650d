package registry

// Answers to readers of the endpoint list, or of a subset of it.

import (
	"cmp"
	"slices"
	"sort"
)

// positionIndex finds the names in a subset: those of each 1024th of the ring.
type positionIndex [1 << 10][]string

func (a *positionIndex) bucket(name string) *[]string { return &a[Position(name)>>54] }

func (a *positionIndex) add(name string) {
	at := a.bucket(name)
	*at = append(*at, name)
}

func (a *positionIndex) remove(name string) {
	at := a.bucket(name)
	*at = slices.DeleteFunc(*at, func(n string) bool { return n == name })
}

// endpointsIn returns those of a subset, by name.
func (s *State) endpointsIn(p Subset) []Endpoint {
	all := []Endpoint{}
	if p.IsAll() {
		for _, i := range s.Registrations() {
			all = append(all, i.Endpoint)
		}
		return all
	}
	const units = ringUnits / len(s.byPosition)
	first, n := int(p.Start)/units, (int(p.Start)%units+int(p.Width)-1)/units+1
	for k := range n {
		for _, name := range s.byPosition[(first+k)%len(s.byPosition)] {
			if p.Contains(Position(name)) {
				all = append(all, s.registrations[name].Endpoint)
			}
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// firstChangeAfter is the place of the first change past a version.
func (s *State) firstChangeAfter(version uint64) int {
	return sort.Search(s.changes.len(), func(k int) bool { return s.changes.at(k).Version > version })
}

// Since is the answer to whoever has the list of version from: the changes after
// it in their order, or the complete list where from is 0 or too old. A version
// ahead of the state's own is answered with nothing new; whether that may be is
// for the caller to judge.
func (s *State) Since(from uint64) ListResponse { return s.SubsetSince(Subset{}, from) }

// SubsetSince is Since for whoever has a subset of the list. Versions are the list's.
func (s *State) SubsetSince(p Subset, from uint64) ListResponse {
	a := ListResponse{Index: s.version, Epoch: s.epoch, Endpoints: []Endpoint{}}
	if from >= s.version && from > 0 {
		a.Index = from
		return a
	}
	if from < max(s.trimmedVersion, 1) {
		a.Snapshot, a.Endpoints = true, s.endpointsIn(p)
		return a
	}
	for k := s.firstChangeAfter(from); k < s.changes.len(); k++ {
		if e := s.changes.at(k).Entry; p.Contains(Position(e.Name)) {
			a.Endpoints = append(a.Endpoints, e)
		}
	}
	return a
}

// HasNewer reports whether there is something newer for whoever has a subset as of version from.
func (s *State) HasNewer(p Subset, from uint64) bool {
	if p.IsAll() || from < max(s.trimmedVersion, 1) {
		return s.ListVersion() > from
	}
	for k := s.firstChangeAfter(from); k < s.changes.len(); k++ {
		if p.Contains(Position(s.changes.at(k).Entry.Name)) {
			return true
		}
	}
	return false
}

// ChangePosition is a change of the list without its entry.
type ChangePosition struct{ Version, Position uint64 }

// ChangePositions returns the changes after a version; it returns false where they are not all kept.
func (s *State) ChangePositions(after uint64) (all []ChangePosition, ok bool) {
	if after < s.trimmedVersion {
		return nil, false
	}
	for k := s.firstChangeAfter(after); k < s.changes.len(); k++ {
		c := s.changes.at(k)
		all = append(all, ChangePosition{c.Version, Position(c.Entry.Name)})
	}
	return all, true
}

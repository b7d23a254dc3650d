package registry

// Responses to readers of the endpoint list or of a subset of the list.

import (
	"cmp"
	"slices"
	"sort"
)

// positionIndex holds the names of endpoints by position, in 1024 equal buckets of the ring, to find the
// endpoints of a subset.
type positionIndex [1 << 10][]string

func (a *positionIndex) bucket(name string) *[]string { return &a[Position(name)>>54] }

func (a *positionIndex) add(name string) {
	names := a.bucket(name)
	*names = append(*names, name)
}

func (a *positionIndex) remove(name string) {
	names := a.bucket(name)
	*names = slices.DeleteFunc(*names, func(n string) bool { return n == name })
}

// endpointsIn returns the endpoints of a subset, sorted by name.
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

// firstChangeAfter returns the index of the first change after a version.
func (s *State) firstChangeAfter(version uint64) int {
	return sort.Search(s.changes.len(), func(k int) bool { return s.changes.at(k).Version > version })
}

// Since returns the response for a reader that has the list of version from: the later changes in order, or
// the complete list if from is 0 or too old. For a version above the state's own, the response has that
// version and no changes; the caller decides whether such a reader is to be answered.
func (s *State) Since(from uint64) ListResponse { return s.SubsetSince(Subset{}, from) }

// SubsetSince is Since for a reader of a subset. Versions are those of the complete list.
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

// HasNewer reports whether a subset has changed since version from. It may report a change that did not
// happen if the changes since then are no longer retained.
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

// ChangePosition is the version of a change of the list and the position of its entry.
type ChangePosition struct{ Version, Position uint64 }

// ChangePositions returns the changes after a version. ok is false if some of them are no longer retained.
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

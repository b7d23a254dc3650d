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
	endpoints := []Endpoint{}
	if p.IsAll() {
		for _, registration := range s.Registrations() {
			endpoints = append(endpoints, registration.Endpoint)
		}
		return endpoints
	}
	const unitsPerBucket = ringUnits / len(s.byPosition)
	firstBucket, buckets := int(p.Start)/unitsPerBucket,
		(int(p.Start)%unitsPerBucket+int(p.Width)-1)/unitsPerBucket+1
	for k := range buckets {
		for _, name := range s.byPosition[(firstBucket+k)%len(s.byPosition)] {
			if p.Contains(Position(name)) {
				endpoints = append(endpoints, s.registrations[name].Endpoint)
			}
		}
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}

// firstChangeAfter returns the index of the first change after a version.
func (s *State) firstChangeAfter(version uint64) int {
	return sort.Search(s.changes.len(), func(k int) bool { return s.changes.at(k).Version > version })
}

// Since returns the response for a reader that has the list of version from: the later changes in order, or
// the complete list if from is 0 or too old. If from is above the state's version, the response has version
// from and no changes; the caller decides whether to send it to such a reader.
func (s *State) Since(from uint64) ListResponse { return s.SubsetSince(Subset{}, from) }

// SubsetSince is Since for a reader of a subset. The versions are versions of the complete list.
func (s *State) SubsetSince(p Subset, from uint64) ListResponse {
	response := ListResponse{Index: s.version, Epoch: s.epoch, Endpoints: []Endpoint{}}
	if from >= s.version && from > 0 {
		response.Index = from
		return response
	}
	if from < max(s.trimmedVersion, 1) {
		response.Snapshot, response.Endpoints = true, s.endpointsIn(p)
		return response
	}
	for k := s.firstChangeAfter(from); k < s.changes.len(); k++ {
		if e := s.changes.at(k).Entry; p.Contains(Position(e.Name)) {
			response.Endpoints = append(response.Endpoints, e)
		}
	}
	return response
}

// HasNewer reports whether a subset has changed since version from. If the changes since that version are no
// longer retained, it may report true although the subset has not changed.
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
func (s *State) ChangePositions(after uint64) (positions []ChangePosition, ok bool) {
	if after < s.trimmedVersion {
		return nil, false
	}
	for k := s.firstChangeAfter(after); k < s.changes.len(); k++ {
		change := s.changes.at(k)
		positions = append(positions, ChangePosition{change.Version, Position(change.Entry.Name)})
	}
	return positions, true
}

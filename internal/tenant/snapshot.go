package tenant

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Phase is a tenant's state in the catalogue. It determines how proxies decide on the tenant's requests.
type Phase string

// The phases. A proxy that does not know an entry's phase answers 503 for the tenant.
const (
	PhaseServe   Phase = "serve"   // requests are decided by Current
	PhasePrepare Phase = "prepare" // requests are decided by Current, or get 503 without it; Next is prepared
	PhaseHold    Phase = "hold"    // requests on which Current and Next differ get 503
	PhaseDrain   Phase = "drain"   // requests are rejected; requests in flight end within the drain time
)

// Entry is a tenant in the catalogue.
type Entry struct {
	Name    string `json:"name"`
	Phase   Phase  `json:"phase"`
	Current *Spec  `json:"now,omitempty"`
	Next    *Spec  `json:"next,omitempty"` // nil in PhasePrepare or PhaseHold: the tenant is being removed
	Since   uint64 `json:"since"`          // number of the first catalogue with this entry

	unknownFields rawFields
}

// phaseOf has the phase in the catalogue for each state. Tenants in other states are not in the catalogue.
var phaseOf = map[State]Phase{
	Reserved:  PhasePrepare,
	Active:    PhaseServe,
	Suspended: PhaseServe,
	Changing:  PhasePrepare,
	Switching: PhaseHold,
	Draining:  PhaseDrain,
}

// entryOf returns the catalogue's entry for a tenant on record, without Since; nil if it has none.
func entryOf(t *Tenant) *Entry {
	phase, inCatalogue := phaseOf[t.State]
	if !inCatalogue {
		return nil
	}
	return &Entry{Name: t.Name, Phase: phase, Current: t.Current, Next: t.Next}
}

// drainTime returns how long the tenant's requests in flight have to end.
func (e *Entry) drainTime() time.Duration {
	if e.Current == nil {
		return 0
	}
	return e.Current.DrainTime()
}

// equivalent reports whether two entries are equal except for Since and for fields that only a newer
// controller knows.
func (e *Entry) equivalent(other *Entry) bool {
	if e == nil || other == nil {
		return e == other
	}
	// specs are immutable, so that equal pointers mean equal specs
	if e.Phase == other.Phase && e.Current == other.Current && e.Next == other.Next {
		return true
	}
	a, b := *e, *other
	a.Since, b.Since, a.unknownFields, b.unknownFields = 0, 0, nil, nil
	encodedA, err1 := json.Marshal(&a)
	encodedB, err2 := json.Marshal(&b)
	return err1 == nil && err2 == nil && bytes.Equal(encodedA, encodedB)
}

// names returns the sorted distinct names by which requests may refer to an entry.
func (e *Entry) names() (names []string) {
	for _, spec := range []*Spec{e.Current, e.Next} {
		if spec != nil {
			names = append(names, spec.Names...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Snapshot is the catalogue of one head: the complete catalogue, or some leaves of it. It never changes.
type Snapshot struct {
	Number      uint64
	levels      int           // of the hash tree; 0: leaf 0 has all entries
	complete    bool          // all leaves are known: a leaf that is not in leaves has no entries
	leaves      map[int]*Leaf // by number of the leaf
	policyNeeds []PolicyNeed
}

// Leaf has the entries of a leaf of the catalogue.
type Leaf struct {
	entries []*Entry // sorted by name
	bytes   int      // length of the leaf's page
}

// find returns a slice with only the entry of a tenant, or nil if the leaf does not have it.
func (l *Leaf) find(name string) []*Entry {
	i, found := slices.BinarySearchFunc(
		l.entries,
		name,
		func(e *Entry, name string) int { return cmp.Compare(e.Name, name) },
	)
	if !found {
		return nil
	}
	return l.entries[i : i+1]
}

// emptyLeaf is the content of a leaf without a page.
var emptyLeaf = &Leaf{}

// NewSnapshot returns a complete catalogue in the flat form, with all entries in leaf 0.
func NewSnapshot(number uint64, entries ...*Entry) *Snapshot {
	sorted := slices.SortedFunc(
		slices.Values(entries),
		func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) },
	)
	return &Snapshot{Number: number, complete: true, leaves: map[int]*Leaf{0: {entries: sorted}}}
}

// Leaves returns the leaves of the snapshot by their numbers. The caller must not change the map. If a leaf
// is the same in two catalogues that a Reader has read, both have the same pointer.
func (s *Snapshot) Leaves() map[int]*Leaf { return s.leaves }

// Entries returns the entries of a leaf, sorted by name. The caller must not change them.
func (l *Leaf) Entries() []*Entry { return l.entries }

// hasLeaf reports whether the snapshot has the content of a leaf, which may be empty.
func (s *Snapshot) hasLeaf(leaf int) bool { return s.complete || s.leaves[leaf] != nil }

// byName returns the entries of all leaves by the tenants' names.
func (s *Snapshot) byName() map[string]*Entry {
	entries := map[string]*Entry{}
	for _, leaf := range s.leaves {
		for _, e := range leaf.entries {
			entries[e.Name] = e
		}
	}
	return entries
}

// Sorted returns the entries, sorted by the tenants' names.
func (s *Snapshot) Sorted() []*Entry {
	return slices.SortedFunc(
		maps.Values(s.byName()),
		func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) },
	)
}

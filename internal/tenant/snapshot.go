package tenant

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Phase is what proxies do with a tenant.
type Phase string

// The phases. A proxy that does not know one answers 503 for the tenant.
const (
	PhaseServe   Phase = "serve"   // by Now
	PhasePrepare Phase = "prepare" // by Now still, or 503 where there is none; Next is made ready
	PhaseHold    Phase = "hold"    // 503 for what Now and Next answer differently
	PhaseDrain   Phase = "drain"   // refused; requests in flight end within its time
)

// Entry is a tenant in the catalogue.
type Entry struct {
	Name    string `json:"name"`
	Phase   Phase  `json:"phase"`
	Current *Spec  `json:"now,omitempty"`
	Next    *Spec  `json:"next,omitempty"` // none at Prepare or Hold: it goes
	Since   uint64 `json:"since"`          // the number of the catalogue in which this was new

	unknownFields rawFields
}

// phaseOf is the phase in the catalogue of a tenant in a state; tenants in the other states are not in it.
var phaseOf = map[State]Phase{
	Reserved:  PhasePrepare,
	Active:    PhaseServe,
	Suspended: PhaseServe,
	Changing:  PhasePrepare,
	Switching: PhaseHold,
	Draining:  PhaseDrain,
}

// entryOf returns what proxies are to do with a tenant on record; nil: it is not in the catalogue.
func entryOf(t *Tenant) *Entry {
	phase, published := phaseOf[t.State]
	if !published {
		return nil
	}
	return &Entry{Name: t.Name, Phase: phase, Current: t.Current, Next: t.Next}
}

// drainTime is how long requests in flight of a tenant have to end.
func (e *Entry) drainTime() time.Duration {
	if e.Current == nil {
		return 0
	}
	return e.Current.DrainTime()
}

// equivalent reports whether two entries mean the same, since whenever; what only a newer controller knows is
// left aside, and kept.
func (e *Entry) equivalent(o *Entry) bool {
	if e == nil || o == nil {
		return e == o
	}
	// specs are not changed once they are there
	if e.Phase == o.Phase && e.Current == o.Current && e.Next == o.Next {
		return true
	}
	a, b := *e, *o
	a.Since, b.Since, a.unknownFields, b.unknownFields = 0, 0, nil, nil
	x, err1 := json.Marshal(&a)
	y, err2 := json.Marshal(&b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// names are all that requests may use for an entry, each once.
func (e *Entry) names() (all []string) {
	for _, f := range []*Spec{e.Current, e.Next} {
		if f != nil {
			all = append(all, f.Names...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Snapshot is a catalogue as one head has it: complete, or some leaves of it. It never changes.
type Snapshot struct {
	Number   uint64
	levels   int           // of the hash tree whose leaves are the leaves; 0: one leaf has all
	complete bool          // a leaf that is not here has no entries
	leaves   map[int]*Leaf // by number of the leaf
	needs    []PolicyNeed
}

// Leaf is what a leaf of the catalogue has.
type Leaf struct {
	entries []*Entry // by name
	bytes   int      // of its page
}

// find returns the entry of a tenant, if it is here.
func (p *Leaf) find(name string) []*Entry {
	i, there := slices.BinarySearchFunc(
		p.entries,
		name,
		func(e *Entry, name string) int { return cmp.Compare(e.Name, name) },
	)
	if !there {
		return nil
	}
	return p.entries[i : i+1]
}

var noEntries = &Leaf{}

// NewSnapshot is a catalogue that is complete, in one leaf.
func NewSnapshot(number uint64, entries ...*Entry) *Snapshot {
	all := slices.SortedFunc(
		slices.Values(entries),
		func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) },
	)
	return &Snapshot{Number: number, complete: true, leaves: map[int]*Leaf{0: {entries: all}}}
}

// Leaves are those of the catalogue that are here, by their numbers; they are not to be changed. A leaf that
// two catalogues have alike is the same.
func (i *Snapshot) Leaves() map[int]*Leaf { return i.leaves }

// Entries are those of a leaf, by name; they are not to be changed.
func (p *Leaf) Entries() []*Entry { return p.entries }

// hasLeaf reports whether a leaf is here; one that has nothing may be.
func (i *Snapshot) hasLeaf(part int) bool { return i.complete || i.leaves[part] != nil }

// byName returns the entries; one that is in several leaves once.
func (i *Snapshot) byName() map[string]*Entry {
	all := map[string]*Entry{}
	for _, p := range i.leaves {
		for _, e := range p.entries {
			all[e.Name] = e
		}
	}
	return all
}

// Sorted returns the entries by name.
func (i *Snapshot) Sorted() []*Entry {
	return slices.SortedFunc(
		maps.Values(i.byName()),
		func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) },
	)
}

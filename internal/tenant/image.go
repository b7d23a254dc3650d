package tenant

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Phase is what nodes do with a tenant.
type Phase string

// The phases. A node that does not know one answers 503 for the tenant.
const (
	Serve   Phase = "serve"   // by Now
	Prepare Phase = "prepare" // by Now still, or 503 where there is none; Next is made ready
	Hold    Phase = "hold"    // 503 for what Now and Next answer differently
	Drain   Phase = "drain"   // refused; what is open ends within its time
)

// Entry is a tenant in the catalogue.
type Entry struct {
	Name  string `json:"name"`
	Phase Phase  `json:"phase"`
	Now   *Form  `json:"now,omitempty"`
	Next  *Form  `json:"next,omitempty"` // none at Prepare or Hold: it goes
	Since uint64 `json:"since"`          // the number of the catalogue in which this was new

	more fields
}

// entryOf gives what nodes are to do with a tenant on record; nil: it is not in the catalogue.
func entryOf(t *Tenant) *Entry {
	phase := map[State]Phase{Reserved: Prepare, Active: Serve, Suspended: Serve, Changing: Prepare, Switching: Hold, Draining: Drain}[t.State]
	if phase == "" {
		return nil
	}
	return &Entry{Name: t.Name, Phase: phase, Now: t.Now, Next: t.Next}
}

// drain is how long what is open of a tenant has to end.
func (e *Entry) drain() time.Duration {
	if e.Now == nil {
		return 0
	}
	return e.Now.Drain()
}

// same tells whether two entries mean the same, since whenever; what only a newer
// conductor knows is left aside, and kept.
func (e *Entry) same(o *Entry) bool {
	if e == nil || o == nil {
		return e == o
	}
	if e.Phase == o.Phase && e.Now == o.Now && e.Next == o.Next { // forms are not changed once they are there
		return true
	}
	a, b := *e, *o
	a.Since, b.Since, a.more, b.more = 0, 0, nil, nil
	x, err1 := json.Marshal(&a)
	y, err2 := json.Marshal(&b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// names are all that requests may use for an entry, each once.
func (e *Entry) names() (all []string) {
	for _, f := range []*Form{e.Now, e.Next} {
		if f != nil {
			all = append(all, f.Names...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Image is a catalogue as one head has it: whole, or some parts of it. It never changes.
type Image struct {
	Number uint64
	levels int           // of the hash tree whose leaves are the parts; 0: one part has all
	whole  bool          // a part that is not here has no entries
	parts  map[int]*Part // by number of the leaf
	needs  []Need
}

// Part is what a leaf of the catalogue has.
type Part struct {
	entries []*Entry // by name
	bytes   int      // of its page
}

// find gives the entry of a tenant, if it is here.
func (p *Part) find(name string) []*Entry {
	i, there := slices.BinarySearchFunc(p.entries, name, func(e *Entry, name string) int { return cmp.Compare(e.Name, name) })
	if !there {
		return nil
	}
	return p.entries[i : i+1]
}

var noEntries = &Part{}

// NewImage is a catalogue that is whole, in one part.
func NewImage(number uint64, entries ...*Entry) *Image {
	all := slices.SortedFunc(slices.Values(entries), func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) })
	return &Image{Number: number, whole: true, parts: map[int]*Part{0: {entries: all}}}
}

// Parts are those of the catalogue that are here, by their numbers; they are not to be changed. A
// part that two catalogues have alike is the same.
func (i *Image) Parts() map[int]*Part { return i.parts }

// Entries are those of a part, by name; they are not to be changed.
func (p *Part) Entries() []*Entry { return p.entries }

// has tells whether a part is here; one that has nothing may be.
func (i *Image) has(part int) bool { return i.whole || i.parts[part] != nil }

// byName gives the entries; one that is in several parts once.
func (i *Image) byName() map[string]*Entry {
	all := map[string]*Entry{}
	for _, p := range i.parts {
		for _, e := range p.entries {
			all[e.Name] = e
		}
	}
	return all
}

// Sorted gives the entries by name.
func (i *Image) Sorted() []*Entry {
	return slices.SortedFunc(maps.Values(i.byName()), func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) })
}

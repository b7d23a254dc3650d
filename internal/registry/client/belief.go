// Package client reads, watches and writes the list of servers, and goes on with
// what it has while the list service fails: one replica, the leader, or all of it.
package client

import (
	"cmp"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// View is the list as a client believes it.
type View struct {
	Epoch   string           `json:"epoch"`
	Version uint64           `json:"version"`
	Entries []registry.Entry `json:"entries"` // by name
	Part    registry.Part    `json:"-"`       // of the list that it is
	Total   int              `json:"-"`       // entries in all of the list, where Part is one that was asked for; 0: not told
}

// Two kinds of list of another epoch are held back. One that lacks more than
// lostShare of what was known, and says of none of it that it leaves, is more
// likely a service that lost its state than a fleet that vanished. And one of no
// higher version is either that, or a replica that was cut off before a restore:
// a restore goes past every version that was given out.
const (
	lostShare = 0.5
	lostLeast = 2 // a list of one or two entries says nothing
)

// Verdict is what became of an answer.
type Verdict int

// The verdicts.
const (
	Nothing Verdict = iota // it brings nothing new
	Taken                  // the view has changed
	Stale                  // it is older than what is known: whoever gave it lags, or is cut off
	Kept                   // it is held back for now
	Gap                    // it does not fit what is known: ask for the whole list
	Narrow                 // it is a part with too few servers: a wider one is read in place of it
)

// Belief decides what to believe. It is pure; times are of one monotonic clock.
// It is not safe for concurrent use.
type Belief struct {
	hold    time.Duration // how long a list that lost most is held back
	epoch   string
	version uint64
	part    registry.Part // that entries are of
	total   int
	entries map[string]registry.Entry
	next    *candidate
	whole   bool // what came did not fit
}

// candidate is a list that is held back.
type candidate struct {
	since time.Duration
	registry.Answer
}

// NewBelief begins with a view of before, which may be empty.
func NewBelief(hold time.Duration, before View) *Belief {
	b := &Belief{hold: hold, epoch: before.Epoch, version: before.Version, part: before.Part, total: before.Total, entries: map[string]registry.Entry{}}
	for _, e := range before.Entries {
		b.entries[e.Name] = e
	}
	return b
}

// Ask is what the next call has to name: the version to go on from, and its epoch.
// While a list is held back, and after a gap, the whole list is asked for.
func (b *Belief) Ask() (from uint64, epoch string) {
	if b.next != nil || b.whole {
		return 0, ""
	}
	return b.version, b.epoch
}

// View is the list as it is believed.
func (b *Belief) View() View {
	all := b.appendTo(nil)
	slices.SortFunc(all, func(x, y registry.Entry) int { return cmp.Compare(x.Name, y.Name) })
	return View{b.epoch, b.version, all, b.part, b.total}
}

// appendTo appends the entries, in no order.
func (b *Belief) appendTo(all []registry.Entry) []registry.Entry {
	all = slices.Grow(all, len(b.entries))
	for _, e := range b.entries {
		all = append(all, e)
	}
	return all
}

// Take judges the answer to a call that named version from. One of another part
// than the entries known has to be whole, and then takes their place.
func (b *Belief) Take(now time.Duration, from uint64, a registry.Answer) Verdict {
	switch {
	case a.Epoch != b.epoch && (b.epoch != "" || len(b.entries) > 0):
		return b.other(now, a)
	case a.Index < b.version:
		return Stale
	case partOf(a) != b.part && a.Snapshot:
		b.accept(a)
		return Taken
	case partOf(a) != b.part:
		b.whole = true
		return Gap
	case a.Index == b.version && a.Epoch == b.epoch:
		b.count(a)
		b.next, b.whole = nil, false // also when the list that is known is back
		return Nothing
	case !a.Snapshot && from != b.version:
		b.whole = true
		return Gap
	}
	b.accept(a)
	return Taken
}

// other judges a list of another epoch.
func (b *Belief) other(now time.Duration, a registry.Answer) Verdict {
	if !a.Snapshot {
		b.whole = true
		return Gap
	}
	if a.Index <= b.version || b.lost(a) {
		if b.next == nil || b.next.Epoch != a.Epoch {
			b.next = &candidate{since: now}
		}
		b.next.Answer = a
		if now-b.next.since < b.hold {
			return Kept
		}
	}
	b.accept(a)
	return Taken
}

// lost tells whether a list lacks most of what was known, though it was not leaving.
func (b *Belief) lost(a registry.Answer) bool {
	there, part := map[string]bool{}, partOf(a)
	for _, e := range a.Endpoints {
		there[e.Name] = true
	}
	known, gone := 0, 0
	for name, e := range b.entries {
		if e.Status == registry.Draining || !part.Holds(registry.Point(name)) {
			continue
		}
		known++
		if !there[name] {
			gone++
		}
	}
	return known > lostLeast && float64(gone) > lostShare*float64(known)
}

func (b *Belief) accept(a registry.Answer) {
	if a.Snapshot {
		clear(b.entries)
	}
	for _, e := range a.Endpoints {
		b.entries[e.Name] = e
		if e.Status == registry.Gone {
			delete(b.entries, e.Name)
		}
	}
	b.epoch, b.version, b.part = a.Epoch, a.Index, partOf(a)
	b.next, b.whole = nil, false
	b.count(a)
}

// count takes the length of all of the list. Where an answer of a part says nothing of it, the one known stands.
func (b *Belief) count(a registry.Answer) {
	if a.Part == "" || a.Total > 0 {
		b.total = a.Total
	}
}

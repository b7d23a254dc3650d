// Package client reads, watches and writes the list of endpoints, and goes on with what it has while the
// registry fails: one replica, the leader, or all of it.
package client

import (
	"cmp"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// List is the list as a client knows it.
type List struct {
	Epoch     string              `json:"epoch"`
	Version   uint64              `json:"version"`
	Endpoints []registry.Endpoint `json:"entries"` // by name
	Subset    registry.Subset     `json:"-"`       // of the list that it is
	// entries in all of the list, where Subset is one that was asked for; 0: not known
	Total int `json:"-"`
}

// Two kinds of list of another epoch are held back. One that lacks more than
// lostShare of what was known, and says of none of it that it leaves, is more
// likely a service that lost its state than a fleet that vanished. And one of no
// higher version is either that, or a replica that was cut off before a restore:
// a restore goes past every version that was given out.
const (
	lostShare       = 0.5
	minKnownForLoss = 2 // the loss of one or two entries proves nothing
)

// Change is what became of an answer.
type Change int

// The results of an answer.
const (
	Unchanged     Change = iota // it brings nothing new
	Changed                     // the client's list has changed
	Stale                       // it is older than what is known: whoever gave it lags, or is cut off
	HeldBack                    // it is held back for now
	NeedsComplete               // it does not fit what is known: ask for the complete list
	TooNarrow                   // it is a subset with too few endpoints: a wider one is read in place of it
)

// ListState decides which answers to accept. It is pure; times are of one monotonic clock. It is not safe for
// concurrent use.
type ListState struct {
	holdBack      time.Duration // how long a list that lost most is held back
	epoch         string
	version       uint64
	subset        registry.Subset // that entries are of
	total         int
	endpoints     map[string]registry.Endpoint
	heldBack      *heldBackList
	needsComplete bool // what came did not fit
}

// heldBackList is a list that is held back.
type heldBackList struct {
	since time.Duration
	registry.ListResponse
}

// NewListState begins with the list of before, which may be empty.
func NewListState(hold time.Duration, before List) *ListState {
	b := &ListState{
		holdBack:  hold,
		epoch:     before.Epoch,
		version:   before.Version,
		subset:    before.Subset,
		total:     before.Total,
		endpoints: map[string]registry.Endpoint{},
	}
	for _, e := range before.Endpoints {
		b.endpoints[e.Name] = e
	}
	return b
}

// Next is what the next call has to name: the version to go on from, and its epoch.
// While a list is held back, and after a gap, the complete list is asked for.
func (b *ListState) Next() (from uint64, epoch string) {
	if b.heldBack != nil || b.needsComplete {
		return 0, ""
	}
	return b.version, b.epoch
}

// List is the list as the client knows it.
func (b *ListState) List() List {
	all := b.appendTo(nil)
	slices.SortFunc(all, func(x, y registry.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return List{b.epoch, b.version, all, b.subset, b.total}
}

// appendTo appends the entries, in no order.
func (b *ListState) appendTo(all []registry.Endpoint) []registry.Endpoint {
	all = slices.Grow(all, len(b.endpoints))
	for _, e := range b.endpoints {
		all = append(all, e)
	}
	return all
}

// Apply judges the answer to a call that named version from. One of another subset than the entries known has
// to be complete, and then takes their place.
func (b *ListState) Apply(now time.Duration, from uint64, a registry.ListResponse) Change {
	switch {
	case a.Epoch != b.epoch && (b.epoch != "" || len(b.endpoints) > 0):
		return b.applyOtherEpoch(now, a)
	case a.Index < b.version:
		return Stale
	case subsetOf(a) != b.subset && a.Snapshot:
		b.accept(a)
		return Changed
	case subsetOf(a) != b.subset:
		b.needsComplete = true
		return NeedsComplete
	case a.Index == b.version && a.Epoch == b.epoch:
		b.updateTotal(a)
		b.heldBack, b.needsComplete = nil, false // also when the list that is known is back
		return Unchanged
	case !a.Snapshot && from != b.version:
		b.needsComplete = true
		return NeedsComplete
	}
	b.accept(a)
	return Changed
}

// applyOtherEpoch judges a list of another epoch.
func (b *ListState) applyOtherEpoch(now time.Duration, a registry.ListResponse) Change {
	if !a.Snapshot {
		b.needsComplete = true
		return NeedsComplete
	}
	if a.Index <= b.version || b.lostMost(a) {
		if b.heldBack == nil || b.heldBack.Epoch != a.Epoch {
			b.heldBack = &heldBackList{since: now}
		}
		b.heldBack.ListResponse = a
		if now-b.heldBack.since < b.holdBack {
			return HeldBack
		}
	}
	b.accept(a)
	return Changed
}

// lostMost reports whether a list lacks most of what was known, though it was not leaving.
func (b *ListState) lostMost(a registry.ListResponse) bool {
	there, part := map[string]bool{}, subsetOf(a)
	for _, e := range a.Endpoints {
		there[e.Name] = true
	}
	known, gone := 0, 0
	for name, e := range b.endpoints {
		if e.Status == registry.Draining || !part.Contains(registry.Position(name)) {
			continue
		}
		known++
		if !there[name] {
			gone++
		}
	}
	return known > minKnownForLoss && float64(gone) > lostShare*float64(known)
}

func (b *ListState) accept(a registry.ListResponse) {
	if a.Snapshot {
		clear(b.endpoints)
	}
	for _, e := range a.Endpoints {
		b.endpoints[e.Name] = e
		if e.Status == registry.Removed {
			delete(b.endpoints, e.Name)
		}
	}
	b.epoch, b.version, b.subset = a.Epoch, a.Index, subsetOf(a)
	b.heldBack, b.needsComplete = nil, false
	b.updateTotal(a)
}

// updateTotal takes the length of all of the list. Where an answer of a subset says nothing of it, the one
// known stands.
func (b *ListState) updateTotal(a registry.ListResponse) {
	if a.Subset == "" || a.Total > 0 {
		b.total = a.Total
	}
}

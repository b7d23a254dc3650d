// Package client reads, watches and writes the registry's list of endpoints, its leases and its records.
// While replicas fail it tries the others, and while all of them fail the known list stays in use.
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
	Endpoints []registry.Endpoint `json:"entries"` // sorted by name
	Subset    registry.Subset     `json:"-"`       // the subset that Endpoints covers
	// Total is the number of entries in the complete list; 0: not known. It is set if a subset was requested.
	Total int `json:"-"`
}

// Two kinds of lists of another epoch are accepted only after a delay. A list that lacks more than
// maxLostShare of the known entries, not counting draining ones, is more likely to come from a service that
// lost its state than from a fleet that vanished. A list whose version is not above the known one comes from
// such a service, or from a replica that was cut off before a restore: a restore goes past every version that
// was in use.
const (
	maxLostShare    = 0.5
	minKnownForLoss = 2 // the loss of one or two entries proves nothing
)

// Change is the effect of a response on the client's list.
type Change int

// Effects of a response.
const (
	Unchanged     Change = iota // the response has nothing new
	Changed                     // the list has changed
	Stale                       // the response is older than the list: the replica lags or is cut off
	Deferred                    // the response is a suspect list of another epoch, not accepted yet
	NeedsComplete               // the response does not follow the known version: request the complete list
	TooNarrow                   // the response is a subset with too few endpoints: request a wider one
)

// ListState decides which responses to accept and holds the resulting list. It does no I/O; times are of one
// monotonic clock. It is not safe for concurrent use.
type ListState struct {
	deferralDelay time.Duration // delay before a suspect list of another epoch is accepted
	epoch         string
	version       uint64
	subset        registry.Subset // the subset that endpoints covers
	total         int             // entries in the complete list; 0: not known
	endpoints     map[string]registry.Endpoint
	deferred      *deferredList
	needsComplete bool // a response did not follow the known version
}

// deferredList is a suspect list of another epoch that is accepted once deferralDelay has passed since it
// appeared.
type deferredList struct {
	since time.Duration
	registry.ListResponse
}

// NewListState returns a state that begins with a cached list, which may be empty.
func NewListState(deferralDelay time.Duration, cached List) *ListState {
	b := &ListState{
		deferralDelay: deferralDelay,
		epoch:         cached.Epoch,
		version:       cached.Version,
		subset:        cached.Subset,
		total:         cached.Total,
		endpoints:     map[string]registry.Endpoint{},
	}
	for _, e := range cached.Endpoints {
		b.endpoints[e.Name] = e
	}
	return b
}

// Next returns the version and the epoch that the next call requests changes from. While a list is deferred,
// and after a response that did not follow the known version, they are zero: the complete list is requested.
func (b *ListState) Next() (from uint64, epoch string) {
	if b.deferred != nil || b.needsComplete {
		return 0, ""
	}
	return b.version, b.epoch
}

// List returns the list as the client knows it.
func (b *ListState) List() List {
	all := b.appendTo(nil)
	slices.SortFunc(all, func(x, y registry.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return List{b.epoch, b.version, all, b.subset, b.total}
}

// appendTo appends the entries in no particular order.
func (b *ListState) appendTo(all []registry.Endpoint) []registry.Endpoint {
	all = slices.Grow(all, len(b.endpoints))
	for _, e := range b.endpoints {
		all = append(all, e)
	}
	return all
}

// Apply accepts or rejects the response to a call that requested changes from version from. A response for
// another subset than that of the known entries must be complete, and then replaces them.
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
		b.deferred, b.needsComplete = nil, false // also ends the deferral of another list
		return Unchanged
	case !a.Snapshot && from != b.version:
		b.needsComplete = true
		return NeedsComplete
	}
	b.accept(a)
	return Changed
}

// applyOtherEpoch accepts, defers or rejects a response of another epoch.
func (b *ListState) applyOtherEpoch(now time.Duration, a registry.ListResponse) Change {
	if !a.Snapshot {
		b.needsComplete = true
		return NeedsComplete
	}
	if a.Index <= b.version || b.lostMost(a) {
		if b.deferred == nil || b.deferred.Epoch != a.Epoch {
			b.deferred = &deferredList{since: now}
		}
		b.deferred.ListResponse = a
		if now-b.deferred.since < b.deferralDelay {
			return Deferred
		}
	}
	b.accept(a)
	return Changed
}

// lostMost reports whether a list lacks more than maxLostShare of the known entries that were not draining.
func (b *ListState) lostMost(a registry.ListResponse) bool {
	present, subset := map[string]bool{}, subsetOf(a)
	for _, e := range a.Endpoints {
		present[e.Name] = true
	}
	known, gone := 0, 0
	for name, e := range b.endpoints {
		if e.Status == registry.Draining || !subset.Contains(registry.Position(name)) {
			continue
		}
		known++
		if !present[name] {
			gone++
		}
	}
	return known > minKnownForLoss && float64(gone) > maxLostShare*float64(known)
}

// accept applies a response.
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
	b.deferred, b.needsComplete = nil, false
	b.updateTotal(a)
}

// updateTotal sets the number of entries in the complete list. If a response for a subset does not have it,
// the known number stays.
func (b *ListState) updateTotal(a registry.ListResponse) {
	if a.Subset == "" || a.Total > 0 {
		b.total = a.Total
	}
}

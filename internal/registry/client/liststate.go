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
	// Total is the number of entries in the complete list; 0: not known. It is set only if a subset was
	// requested.
	Total int `json:"-"`
}

// Two kinds of lists of another epoch are suspect and accepted only after a delay. The first kind lacks more
// than maxLostShare of the known entries, not counting draining entries: the service has more likely lost its
// state than the fleet has vanished. The second kind has a version that is not above the known version. As a
// restore goes past every version that was in use, such a list comes from a service that has lost its state,
// or from a replica that was cut off before a restore.
const (
	maxLostShare    = 0.5
	minKnownForLoss = 2 // the loss of one or two known entries proves nothing
)

// Effect says how a response changed the client's list, or why it was not accepted.
type Effect int

// Effects of a response.
const (
	Unchanged     Effect = iota // the response has nothing new
	Changed                     // the list has changed
	Stale                       // the response is older than the known list: the replica lags or is cut off
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

// Next returns the version and the epoch from which the next call requests changes. While a list is deferred,
// and after a response that did not follow the known version, both are zero: the next call requests the
// complete list.
func (b *ListState) Next() (from uint64, epoch string) {
	if b.deferred != nil || b.needsComplete {
		return 0, ""
	}
	return b.version, b.epoch
}

// List returns the list as the client knows it.
func (b *ListState) List() List {
	entries := b.appendTo(nil)
	slices.SortFunc(entries, func(x, y registry.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return List{b.epoch, b.version, entries, b.subset, b.total}
}

// appendTo appends the entries in no particular order.
func (b *ListState) appendTo(entries []registry.Endpoint) []registry.Endpoint {
	entries = slices.Grow(entries, len(b.endpoints))
	for _, e := range b.endpoints {
		entries = append(entries, e)
	}
	return entries
}

// Apply accepts or rejects the response to a call that requested changes from version from. If the response
// covers another subset than the known entries do, it must be complete, and its entries replace the known
// entries.
func (b *ListState) Apply(now time.Duration, from uint64, response registry.ListResponse) Effect {
	switch {
	case response.Epoch != b.epoch && (b.epoch != "" || len(b.endpoints) > 0):
		return b.applyOtherEpoch(now, response)
	case response.Index < b.version:
		return Stale
	case subsetOf(response) != b.subset && response.Snapshot:
		b.accept(response)
		return Changed
	case subsetOf(response) != b.subset:
		b.needsComplete = true
		return NeedsComplete
	case response.Index == b.version && response.Epoch == b.epoch:
		b.updateTotal(response)
		b.deferred, b.needsComplete = nil, false // also ends the deferral of another list
		return Unchanged
	case !response.Snapshot && from != b.version:
		b.needsComplete = true
		return NeedsComplete
	}
	b.accept(response)
	return Changed
}

// applyOtherEpoch accepts, defers or rejects a response of another epoch.
func (b *ListState) applyOtherEpoch(now time.Duration, response registry.ListResponse) Effect {
	if !response.Snapshot {
		b.needsComplete = true
		return NeedsComplete
	}
	if response.Index <= b.version || b.lostMost(response) {
		if b.deferred == nil || b.deferred.Epoch != response.Epoch {
			b.deferred = &deferredList{since: now}
		}
		b.deferred.ListResponse = response
		if now-b.deferred.since < b.deferralDelay {
			return Deferred
		}
	}
	b.accept(response)
	return Changed
}

// lostMost reports whether a list lacks more than maxLostShare of the known entries that were not draining.
func (b *ListState) lostMost(response registry.ListResponse) bool {
	present, subset := map[string]bool{}, subsetOf(response)
	for _, e := range response.Endpoints {
		present[e.Name] = true
	}
	known, missing := 0, 0
	for name, e := range b.endpoints {
		if e.Status == registry.Draining || !subset.Contains(registry.Position(name)) {
			continue
		}
		known++
		if !present[name] {
			missing++
		}
	}
	return known > minKnownForLoss && float64(missing) > maxLostShare*float64(known)
}

// accept applies a response.
func (b *ListState) accept(response registry.ListResponse) {
	if response.Snapshot {
		clear(b.endpoints)
	}
	for _, e := range response.Endpoints {
		b.endpoints[e.Name] = e
		if e.Status == registry.Removed {
			delete(b.endpoints, e.Name)
		}
	}
	b.epoch, b.version, b.subset = response.Epoch, response.Index, subsetOf(response)
	b.deferred, b.needsComplete = nil, false
	b.updateTotal(response)
}

// updateTotal sets the number of entries in the complete list. A response for a subset without that number
// leaves the known number unchanged.
func (b *ListState) updateTotal(response registry.ListResponse) {
	if response.Subset == "" || response.Total > 0 {
		b.total = response.Total
	}
}

package balancer

import (
	"cmp"
	"math"
	"slices"

	"wrenspread/internal/splitmix"
)

// ring is a set of endpoints in the order of their positions, walked from a start on. A change costs what
// changed and the moving of pointers.
type ring struct {
	endpoints []*endpoint
	start     int // index of the first
}

// subset is the part of the whole endpoint list that a proxy was given.
type subset struct {
	total int    // endpoints of the complete list; 0: the proxy has all of it
	start uint64 // ring position at which the subset begins
}

// ringPosition is the position of an endpoint on the ring, the same at every proxy.
func ringPosition(id EndpointID) uint64 { return splitmix.Mix(uint64(id)) }

func byRingPosition(x, y *endpoint) int { return cmp.Compare(x.ringPosition, y.ringPosition) }

// at returns the i-th endpoint from the start on.
func (r *ring) at(i int) *endpoint {
	i += r.start
	if i >= len(r.endpoints) {
		i -= len(r.endpoints)
	}
	return r.endpoints[i]
}

// find returns the index of the endpoint at a position, or that at which it would be inserted.
func (r *ring) find(position uint64) (index int, found bool) {
	return slices.BinarySearchFunc(r.endpoints, position, func(e *endpoint, position uint64) int {
		return cmp.Compare(e.ringPosition, position)
	})
}

// rotateTo makes the ring start at a position.
func (r *ring) rotateTo(position uint64) {
	r.start, _ = r.find(position)
	if r.start == len(r.endpoints) {
		r.start = 0
	}
}

// insert adds an endpoint, unless it is in the ring or removed from the list.
func (r *ring) insert(e *endpoint) {
	if i, found := r.find(e.ringPosition); !found && e.State != Removed {
		r.endpoints = slices.Insert(r.endpoints, i, e)
	}
}

// retain removes the other endpoints.
func (r *ring) retain(keep func(*endpoint) bool) {
	r.endpoints = slices.DeleteFunc(r.endpoints, func(e *endpoint) bool { return !keep(e) })
}

// update inserts or removes endpoints as each now belongs to the ring. changed is in ring order without
// duplicates.
func (r *ring) update(changed []*endpoint, belongs func(*endpoint) bool) {
	var added []*endpoint
	kept := 0 // r.endpoints[:kept] stays
	rest := 0 // r.endpoints[rest:] has not been looked at
	for _, e := range changed {
		i, found := (&ring{endpoints: r.endpoints[rest:]}).find(e.ringPosition)
		switch {
		case found && !belongs(e):
			kept += copy(r.endpoints[kept:], r.endpoints[rest:rest+i])
			rest += i + 1
		case !found && belongs(e):
			added = append(added, e)
		}
	}
	kept += copy(r.endpoints[kept:], r.endpoints[rest:])
	clear(r.endpoints[kept:])
	r.endpoints = append(r.endpoints[:kept], added...)
	r.mergeTail(kept, added)
}

// mergeTail merges added endpoints, whose space is at the end of the ring, into the first kept ones. It goes
// from the last position on, so that each endpoint moves once.
func (r *ring) mergeTail(kept int, added []*endpoint) {
	end := kept
	for n := len(added) - 1; n >= 0; n-- {
		i, _ := (&ring{endpoints: r.endpoints[:end]}).find(added[n].ringPosition)
		copy(r.endpoints[i+n+1:], r.endpoints[i:end])
		r.endpoints[i+n] = added[n]
		end = i
	}
}

// startIndex is the index on a ring of endpoints from which a proxy takes its subset.
func startIndex(proxy, endpoints int) int { return int(float64(endpoints) * startFraction(proxy)) }

// startPosition is the same as a ring position, for proxies that know a subset of the endpoints.
func startPosition(proxy int) uint64 { return uint64(startFraction(proxy) * (1 << 64)) }

// startFraction spreads the starts of consecutive proxies evenly, however many there are (golden ratio).
func startFraction(proxy int) float64 { return math.Mod(float64(proxy)*math.Phi, 1) }

// sortProxiesByStart returns the indexes of proxies by their starts, which is the same order on a ring of any
// size.
func sortProxiesByStart(proxies int) []int {
	sorted := make([]int, proxies)
	for proxy := range sorted {
		sorted[proxy] = proxy
	}
	slices.SortFunc(sorted, func(x, y int) int { return cmp.Compare(startFraction(x), startFraction(y)) })
	return sorted
}

// updateRings takes endpoints that may have changed into the rings to which each belongs, or out of them.
func (b *Balancer) updateRings(changed []*endpoint, s subset) {
	slices.SortFunc(changed, byRingPosition)
	changed = slices.Compact(changed)
	for _, e := range changed {
		if e.State == Removed {
			b.peersOf(e) // found now, as its open attempts still need them
			delete(b.endpoints, e.ID)
		}
	}
	isListed := func(e *endpoint) bool { return e.State != Removed }
	b.ring.update(changed, isListed)
	b.ejected.update(changed, func(e *endpoint) bool { return isListed(e) && e.ejected })
	b.unresponsive.update(changed, (*endpoint).isUnresponsive)
	for _, p := range b.placements {
		p.ring.update(changed, func(e *endpoint) bool { return isListed(e) && p.allows(e) })
	}
	b.subset = s
	if n := len(b.ring.endpoints); b.total > 0 {
		b.origin = s.start
	} else if n > 0 {
		b.origin = b.ring.endpoints[startIndex(b.settings.ProxyIndex, n)].ringPosition
	}
	b.ring.rotateTo(b.origin)
	for _, p := range b.placements {
		p.ring.rotateTo(b.origin)
	}
}

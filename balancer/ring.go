package balancer

import (
	"cmp"
	"math"
	"slices"

	"wrenspread/internal/splitmix"
)

// ring is a set of endpoints in the order of their ring positions, iterated from a start on. The cost of an
// update grows with the number of changed endpoints; the others are only moved within the slice.
type ring struct {
	endpoints []*endpoint
	first     int // index of the endpoint at the start
}

// subset describes the part of the complete endpoint list that a proxy was given.
type subset struct {
	totalEndpoints int    // in the complete list; 0: the proxy has all of it
	subsetStart    uint64 // ring position at which the subset begins
}

// ringPosition is the position of an endpoint on the ring. It is the same at every proxy.
func ringPosition(id EndpointID) uint64 { return splitmix.Mix(uint64(id)) }

func byRingPosition(x, y *endpoint) int { return cmp.Compare(x.ringPosition, y.ringPosition) }

// at returns the i-th endpoint from the start of the ring.
func (r *ring) at(i int) *endpoint {
	i += r.first
	if i >= len(r.endpoints) {
		i -= len(r.endpoints)
	}
	return r.endpoints[i]
}

// find returns the index of the endpoint at a position, or the index at which one would be inserted.
func (r *ring) find(position uint64) (index int, found bool) {
	return slices.BinarySearchFunc(r.endpoints, position, func(e *endpoint, position uint64) int {
		return cmp.Compare(e.ringPosition, position)
	})
}

// rotateTo makes the ring start at the first endpoint at or after a position.
func (r *ring) rotateTo(position uint64) {
	r.first, _ = r.find(position)
	if r.first == len(r.endpoints) {
		r.first = 0
	}
}

// insert adds an endpoint unless the ring has it or the list has removed it.
func (r *ring) insert(e *endpoint) {
	if i, found := r.find(e.ringPosition); !found && e.State != Removed {
		r.endpoints = slices.Insert(r.endpoints, i, e)
	}
}

// retain removes the endpoints that do not belong to the ring any more.
func (r *ring) retain(belongs func(*endpoint) bool) {
	r.endpoints = slices.DeleteFunc(r.endpoints, func(e *endpoint) bool { return !belongs(e) })
}

// update inserts each changed endpoint that belongs to the ring, and removes each that does not. changed must
// be in ring order and without duplicates.
func (r *ring) update(changed []*endpoint, belongs func(*endpoint) bool) {
	var added []*endpoint
	retained := 0  // r.endpoints[:retained] is final
	unscanned := 0 // r.endpoints[unscanned:] has not been scanned
	for _, e := range changed {
		i, found := (&ring{endpoints: r.endpoints[unscanned:]}).find(e.ringPosition)
		switch {
		case found && !belongs(e):
			retained += copy(r.endpoints[retained:], r.endpoints[unscanned:unscanned+i])
			unscanned += i + 1
		case !found && belongs(e):
			added = append(added, e)
		}
	}
	retained += copy(r.endpoints[retained:], r.endpoints[unscanned:])
	clear(r.endpoints[retained:])
	r.endpoints = append(r.endpoints[:retained], added...)
	r.mergeTail(retained, added)
}

// mergeTail merges the added endpoints, for which there is space at the end of the ring, into the retained
// ones, which are at its beginning. It proceeds from the last position backwards, so that each endpoint moves
// once.
func (r *ring) mergeTail(retained int, added []*endpoint) {
	end := retained
	for n := len(added) - 1; n >= 0; n-- {
		i, _ := (&ring{endpoints: r.endpoints[:end]}).find(added[n].ringPosition)
		copy(r.endpoints[i+n+1:], r.endpoints[i:end])
		r.endpoints[i+n] = added[n]
		end = i
	}
}

// startIndex is the index at which a proxy's subset starts on a ring with the given number of endpoints.
func startIndex(proxy, endpoints int) int { return int(float64(endpoints) * startFraction(proxy)) }

// startPosition is the ring position at which a proxy's subset starts, for proxies that know only a subset of
// the endpoints.
func startPosition(proxy int) uint64 { return uint64(startFraction(proxy) * (1 << 64)) }

// startFraction is the position at which a proxy's subset starts, as a fraction of the ring. By the golden
// ratio the starts of proxies 0 to n are spread evenly for any n.
func startFraction(proxy int) float64 { return math.Mod(float64(proxy)*math.Phi, 1) }

// sortProxiesByStart returns the indexes of proxies in the order of their subsets' starts. The order is the
// same on a ring of any size.
func sortProxiesByStart(proxies int) []int {
	sorted := make([]int, proxies)
	for proxy := range sorted {
		sorted[proxy] = proxy
	}
	slices.SortFunc(sorted, func(x, y int) int { return cmp.Compare(startFraction(x), startFraction(y)) })
	return sorted
}

// updateRings inserts changed endpoints into the rings that they belong to, removes them from the others, and
// adopts a new subset of the complete list.
func (b *Balancer) updateRings(changed []*endpoint, newSubset subset) {
	slices.SortFunc(changed, byRingPosition)
	changed = slices.Compact(changed)
	for _, e := range changed {
		if e.State == Removed {
			b.peersOf(e) // determines its peers now, as its open attempts still need them
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
	b.subset = newSubset
	if n := len(b.ring.endpoints); b.totalEndpoints > 0 {
		b.origin = newSubset.subsetStart
	} else if n > 0 {
		b.origin = b.ring.endpoints[startIndex(b.settings.ProxyIndex, n)].ringPosition
	}
	b.ring.rotateTo(b.origin)
	for _, p := range b.placements {
		p.ring.rotateTo(b.origin)
	}
}

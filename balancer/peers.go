package balancer

import (
	"math"
	"slices"
	"sort"
)

// peersOf returns the indexes of the other proxies that use an endpoint. For an endpoint that has left the
// list, these are the proxies that used it last. The indexes are determined at the first call after a change.
func (b *Balancer) peersOf(e *endpoint) []int {
	index, listed := b.ring.find(e.ringPosition)
	if e.peersVersion == b.ringVersion || !listed || b.ring.endpoints[index] != e {
		return e.peers
	}
	e.peers = e.peers[:0]
	e.peersVersion = b.ringVersion
	if !b.tracksPeers {
		return e.peers
	}
	for _, p := range b.placements {
		indexInPlacement, found := p.ring.find(e.ringPosition)
		if !found {
			continue
		}
		for _, proxy := range slices.Sorted(slices.Values(b.proxiesReaching(p, indexInPlacement, index))) {
			count := len(e.peers)
			duplicate := count > 0 && e.peers[count-1] == proxy // an endpoint may be in several placements
			if proxy != b.settings.ProxyIndex && !duplicate {
				e.peers = append(e.peers, proxy)
			}
		}
	}
	return e.peers
}

// proxiesReaching returns the proxies that use an endpoint of a placement. The endpoint is given by its index
// in the placement's ring and its index in the ring of all endpoints. The proxies are those whose subsets
// start at the endpoint or before it, at a distance of less than a subset's size. If this proxy knows only a
// subset of the list, and that subset starts too close to the endpoint, the part of the ring before the
// subset is assumed to be as dense as the subset.
func (b *Balancer) proxiesReaching(p *placement, indexInPlacement, index int) []int {
	if p.subsetSize >= b.placementSize(p) {
		return b.proxiesByStart
	}
	size := len(p.ring.endpoints)
	reach := int(p.subsetSize)
	if b.totalEndpoints == 0 {
		first := p.ring.endpoints[(indexInPlacement-reach+size)%size]
		firstIndex, _ := b.ring.find(first.ringPosition)
		return b.proxiesStartingBetween(uint64(firstIndex), uint64(index))
	}
	position := p.ring.endpoints[indexInPlacement].ringPosition
	steps := (indexInPlacement - p.ring.first + size) % size // from the start of the subset, in endpoints
	if steps >= reach {
		return b.proxiesStartingBetween(p.ring.at(steps-reach).ringPosition, position)
	}
	distance := uint64(float64(reach-steps) / b.placementSize(p) * (1 << 64))
	if position-b.subsetStart > math.MaxUint64-distance {
		return b.proxiesByStart // the distance covers the entire ring
	}
	return b.proxiesStartingBetween(b.subsetStart-distance, position)
}

// proxiesStartingBetween returns the proxies whose subsets start after one place on the ring and not after
// another. A place is an index in the ring of all endpoints or, if this proxy knows only a subset of the
// list, a ring position.
func (b *Balancer) proxiesStartingBetween(after, upTo uint64) []int {
	startsAfter := func(place uint64) int {
		return sort.Search(len(b.proxiesByStart), func(i int) bool {
			if b.totalEndpoints > 0 {
				return startPosition(b.proxiesByStart[i]) > place
			}
			return uint64(startIndex(b.proxiesByStart[i], len(b.ring.endpoints))) > place
		})
	}
	if after > upTo {
		return append(slices.Clone(b.proxiesByStart[startsAfter(after):]), b.proxiesByStart[:startsAfter(upTo)]...)
	}
	return b.proxiesByStart[startsAfter(after):startsAfter(upTo)]
}

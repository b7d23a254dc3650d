package balancer

import (
	"math"
	"slices"
	"sort"
)

// peersOf returns the other proxies that work with an endpoint; of one that has left the list, those that did
// last. They are found when they are first asked for after a change.
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
			n := len(e.peers)
			duplicate := n > 0 && e.peers[n-1] == proxy // placements share endpoints
			if proxy != b.settings.ProxyIndex && !duplicate {
				e.peers = append(e.peers, proxy)
			}
		}
	}
	return e.peers
}

// proxiesReaching returns the proxies that work with an endpoint of a placement, given by its index in the
// placement's ring and in the ring of all: those that start at it, or at one of the endpoints before it, as
// many as a proxy works with. If this proxy's subset begins too close to the endpoint, what is before it is
// taken to be as dense as the subset.
func (b *Balancer) proxiesReaching(p *placement, indexInPlacement, index int) []int {
	if p.subsetSize >= b.placementSize(p) {
		return b.proxiesByStart
	}
	size := len(p.ring.endpoints)
	reach := int(p.subsetSize)
	if b.total == 0 {
		first := p.ring.endpoints[(indexInPlacement-reach+size)%size]
		before, _ := b.ring.find(first.ringPosition)
		return b.proxiesStartingBetween(uint64(before), uint64(index))
	}
	position := p.ring.endpoints[indexInPlacement].ringPosition
	steps := (indexInPlacement - p.ring.start + size) % size // from the start of the subset
	if steps >= reach {
		return b.proxiesStartingBetween(p.ring.at(steps-reach).ringPosition, position)
	}
	before := uint64(float64(reach-steps) / b.placementSize(p) * (1 << 64))
	if position-b.start > math.MaxUint64-before {
		return b.proxiesByStart // all around the ring
	}
	return b.proxiesStartingBetween(b.start-before, position)
}

// proxiesStartingBetween returns the proxies that start after one place and up to another. Places are indexes
// in the ring of all endpoints or, if this proxy has a subset, ring positions.
func (b *Balancer) proxiesStartingBetween(after, upTo uint64) []int {
	startsAfter := func(place uint64) int {
		return sort.Search(len(b.proxiesByStart), func(i int) bool {
			if b.total > 0 {
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

package balancer

import "math"

const (
	minSubsetSize             = 5.0  // endpoints that a proxy works with, at least: some may fail together
	proxiesPerQueriedEndpoint = 30.0 // with load queries: an endpoint takes few connections
	proxiesPerLearnedEndpoint = 6.0  // where each proxy learns of an endpoint by its own responses alone
)

// updateEndpoints takes an update of the endpoint list, or the failure of a poll.
func (b *Balancer) updateEndpoints(event EndpointsUpdated) {
	if event.Kind == UpdateFailed {
		b.discoveryFailed()
		return
	}
	if event.Kind != UpdateCached && b.polling {
		b.discoveryAnswered()
	}
	var changed []*endpoint
	if event.Kind != UpdateIncremental { // what a complete list does not name is removed
		changed = append(changed, b.ring.endpoints...)
		for _, e := range changed {
			e.State = Removed
		}
	}
	for _, listed := range event.Endpoints {
		changed = append(changed, b.updateEndpoint(listed))
	}
	b.rebuildSubsets(changed, subset{total: max(0, event.TotalEndpoints), start: event.SubsetStart})
}

// updateEndpoint takes one entry of the list.
func (b *Balancer) updateEndpoint(listed Endpoint) *endpoint {
	e := b.endpointFor(listed.ID)
	if listed.State == Ready && listed.StartedAt > e.StartedAt {
		e.forgetFailures(b.now)
		b.beginSlowStart(e, listed.StartedAt)
	}
	e.Endpoint = listed
	if b.inherited != nil {
		b.inherit(e)
	}
	if listed.State != Ready {
		b.emit(CloseIdleConnections{Endpoint: e.ID}) // those in use are closed as their attempts end
	}
	return e
}

// endpointFor returns the endpoint of an ID, a new one if it is not known.
func (b *Balancer) endpointFor(id EndpointID) *endpoint {
	if e := b.endpoints[id]; e != nil {
		return e
	}
	e := &endpoint{
		firstListedAt: b.now,
		logQuietUntil: b.now,
		roundingPhase: b.random(),
		ringPosition:  ringPosition(id),
		inMaintenance: b.maintenance[id],
	}
	if endedAt, ended := b.maintenanceEnded[id]; ended { // it may have been outside the subset then, or since
		e.StartedAt = endedAt
		b.beginSlowStart(e, endedAt)
	}
	b.endpoints[id] = e
	return e
}

// rebuildSubsets takes endpoints that have changed, and finds those that this proxy works with and who shares
// them.
func (b *Balancer) rebuildSubsets(changed []*endpoint, s subset) {
	b.updateRings(changed, s)
	b.selectSubsets()
	b.updatePeers()
	b.updateCandidates()
}

// placementSize is how many endpoints a placement allows. If this proxy was given a subset of the list, the
// rest is taken to be composed like it.
func (b *Balancer) placementSize(p *placement) float64 {
	size := float64(len(p.ring.endpoints))
	return math.Max(size, float64(b.total)*size/math.Max(1, float64(len(b.ring.endpoints))))
}

// selectSubsets finds how many endpoints of each placement this proxy works with: the first on the ring, so
// many that each endpoint has its proxies. With more proxies, each sees too little of an endpoint to know it
// in time.
func (b *Balancer) selectSubsets() {
	for _, e := range b.baseSubset {
		e.inBaseSubset = false
	}
	b.baseSubset = b.baseSubset[:0]
	b.proxiesPerEndpoint = 0
	perEndpoint := proxiesPerLearnedEndpoint
	if b.queriesLoad {
		perEndpoint = proxiesPerQueriedEndpoint
	}
	proxies := float64(b.settings.Proxies)
	for _, p := range b.placements {
		size := b.placementSize(p)
		wanted := math.Ceil(math.Max(minSubsetSize, perEndpoint*size/proxies))
		p.subsetSize = math.Min(float64(len(p.ring.endpoints)), wanted)
		for i := range int(p.subsetSize) {
			e := p.ring.at(i)
			e.inBaseSubset = true
			b.baseSubset = append(b.baseSubset, e)
		}
		b.proxiesPerEndpoint += proxies * p.subsetSize / math.Max(1, size)
	}
	b.proxiesPerEndpoint = math.Max(1, b.proxiesPerEndpoint)
}

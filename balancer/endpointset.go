package balancer

import "math"

const (
	// minSubsetSize is the smallest number of endpoints that a proxy uses, as some may fail together.
	minSubsetSize = 5.0
	// proxiesPerQueriedEndpoint is the number of proxies that use an endpoint where load queries are used. It is
	// limited because an endpoint accepts few connections.
	proxiesPerQueriedEndpoint = 30.0
	// proxiesPerLearnedEndpoint is the number of proxies that use an endpoint where load queries are not used,
	// so that each proxy knows the endpoint only by the responses to its own attempts.
	proxiesPerLearnedEndpoint = 6.0
)

// updateEndpoints handles an update of the endpoint list, or the failure of a poll.
func (b *Balancer) updateEndpoints(event EndpointsUpdated) {
	if event.Kind == UpdateFailed {
		b.discoveryFailed()
		return
	}
	if event.Kind != UpdateCached && b.pollInFlight {
		b.discoveryAnswered()
	}
	var changed []*endpoint
	if event.Kind != UpdateIncremental { // an endpoint that a complete list does not name is removed
		changed = append(changed, b.ring.endpoints...)
		for _, e := range changed {
			e.State = Removed
		}
	}
	for _, listed := range event.Endpoints {
		changed = append(changed, b.updateEndpoint(listed))
	}
	b.rebuildSubsets(changed, subset{
		totalEndpoints: max(0, event.TotalEndpoints),
		subsetStart:    event.SubsetStart,
	})
}

// updateEndpoint applies one entry of an update and returns its endpoint.
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
		b.emit(CloseIdleConnections{Endpoint: e.ID}) // the other connections are closed as their attempts end
	}
	return e
}

// endpointFor returns the endpoint with an ID, and creates it if it is unknown. A new endpoint whose
// maintenance has ended recently begins a slow start: it may have been outside the subset when the
// maintenance ended, or have left the subset since.
func (b *Balancer) endpointFor(id EndpointID) *endpoint {
	if e := b.endpoints[id]; e != nil {
		return e
	}
	e := &endpoint{
		observedSince: b.now,
		nextLogAt:     b.now,
		roundingPhase: b.random(),
		ringPosition:  ringPosition(id),
		inMaintenance: b.maintenance[id],
	}
	if endedAt, ended := b.maintenanceEnded[id]; ended {
		e.StartedAt = endedAt
		b.beginSlowStart(e, endedAt)
	}
	b.endpoints[id] = e
	return e
}

// rebuildSubsets applies changed endpoints and a new subset of the complete list. It selects the endpoints
// that this proxy uses and decides whether it gossips about them.
func (b *Balancer) rebuildSubsets(changed []*endpoint, newSubset subset) {
	b.updateRings(changed, newSubset)
	b.selectSubsets()
	b.updatePeers()
	b.updateCandidates()
}

// placementSize is the number of endpoints in the complete list that a placement allows. If this proxy was
// given only a subset of the list, the placement is assumed to allow the same fraction of the other
// endpoints.
func (b *Balancer) placementSize(p *placement) float64 {
	size := float64(len(p.ring.endpoints))
	return math.Max(size, float64(b.totalEndpoints)*size/math.Max(1, float64(len(b.ring.endpoints))))
}

// selectSubsets selects the endpoints of each placement that this proxy uses, which are the first ones on the
// ring. There are minSubsetSize at least, and as many as are needed for each endpoint to be used by
// proxiesPerLearnedEndpoint or proxiesPerQueriedEndpoint proxies. If more proxies shared an endpoint, each
// would get too few responses from it to notice changes in time.
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
		target := math.Ceil(math.Max(minSubsetSize, perEndpoint*size/proxies))
		p.subsetSize = math.Min(float64(len(p.ring.endpoints)), target)
		for i := range int(p.subsetSize) {
			e := p.ring.at(i)
			e.inBaseSubset = true
			b.baseSubset = append(b.baseSubset, e)
		}
		b.proxiesPerEndpoint += proxies * p.subsetSize / math.Max(1, size)
	}
	b.proxiesPerEndpoint = math.Max(1, b.proxiesPerEndpoint)
}

package balancer

// Accessors for simulations of fleets in external tests.

// Position is the ring position of an endpoint, StartPosition that at which a proxy's subset starts.
func Position(id EndpointID) uint64             { return ringPosition(id) }
func StartPosition(proxyIndex int) uint64       { return startPosition(proxyIndex) }
func (b *Balancer) ProxiesPerEndpoint() float64 { return b.proxiesPerEndpoint }
func (b *Balancer) BaseSubset() (ids []EndpointID) {
	for _, ep := range b.baseSubset {
		ids = append(ids, ep.ID)
	}
	return ids
}

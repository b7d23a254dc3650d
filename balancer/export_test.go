package balancer

// What plays of whole fleets read and no caller needs.

// Place is a server's place on the ring, StartPoint that from which a node takes its own.
func Place(id EndpointID) uint64     { return ringPosition(id) }
func StartPoint(node int) uint64     { return startPosition(node) }
func (m *Balancer) Sharers() float64 { return m.proxiesPerEndpoint }
func (m *Balancer) Homes() (ids []EndpointID) {
	for _, s := range m.baseSubset {
		ids = append(ids, s.ID)
	}
	return ids
}

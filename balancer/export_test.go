package balancer

// What plays of whole fleets read and no caller needs.

// Place is a server's place on the ring, StartPoint that from which a node takes its own.
func Place(id ServerID) uint64     { return mix(uint64(id)) }
func StartPoint(node int) uint64   { return startPoint(node) }
func (m *Module) Sharers() float64 { return m.sharers }
func (m *Module) Homes() (ids []ServerID) {
	for _, s := range m.homes {
		ids = append(ids, s.ID)
	}
	return ids
}

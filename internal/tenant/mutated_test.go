package tenant

// mutated is a catalogue as a node would have it that leaves something out.
func (n *node) mutated(i *Image) *Image {
	m := *i
	m.parts = map[int]*Part{}
	for k, p := range i.parts {
		m.parts[k] = p
		switch {
		case n.w.broken["older part"] && n.desk.held[k] != nil && n.w.seq%2 == 0:
			m.parts[k] = n.desk.held[k].part
		case n.w.broken["no barrier"]:
			served := &Part{}
			for _, e := range p.entries {
				copied := *e
				if e.Phase == Hold {
					copied.Phase = Prepare
				}
				served.entries = append(served.entries, &copied)
			}
			m.parts[k] = served
		}
	}
	if n.w.broken["prepared unseen"] {
		m.needs = nil
	}
	return &m
}

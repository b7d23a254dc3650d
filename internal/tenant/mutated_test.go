package tenant

// mutated is a catalogue as a proxy would have it that leaves something out.
func (n *node) mutated(i *Snapshot) *Snapshot {
	m := *i
	m.leaves = map[int]*Leaf{}
	for k, p := range i.leaves {
		m.leaves[k] = p
		switch {
		case n.w.broken["older part"] && n.desk.leaves[k] != nil && n.w.seq%2 == 0:
			m.leaves[k] = n.desk.leaves[k].leaf
		case n.w.broken["no barrier"]:
			served := &Leaf{}
			for _, e := range p.entries {
				copied := *e
				if e.Phase == PhaseHold {
					copied.Phase = PhasePrepare
				}
				served.entries = append(served.entries, &copied)
			}
			m.leaves[k] = served
		}
	}
	if n.w.broken["prepared unseen"] {
		m.policyNeeds = nil
	}
	return &m
}

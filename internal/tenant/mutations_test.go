package tenant

// mutateSnapshot returns the snapshot that a proxy would read with the simulation's mutations.
func (p *testProxy) mutateSnapshot(original *Snapshot) *Snapshot {
	mutated := *original
	mutated.leaves = map[int]*Leaf{}
	for number, leaf := range original.leaves {
		mutated.leaves[number] = leaf
		switch {
		case p.sim.mutations["previous leaves read"] && p.cache.leaves[number] != nil && p.sim.seq%2 == 0:
			mutated.leaves[number] = p.cache.leaves[number].leaf
		case p.sim.mutations["PhaseHold ignored"]:
			served := &Leaf{}
			for _, e := range leaf.entries {
				copied := *e
				if e.Phase == PhaseHold {
					copied.Phase = PhasePrepare
				}
				served.entries = append(served.entries, &copied)
			}
			mutated.leaves[number] = served
		}
	}
	if p.sim.mutations["policy needs ignored"] {
		mutated.policyNeeds = nil
	}
	return &mutated
}

package subset

import (
	"slices"
	"sync"
	"testing"

	"wrenspread/internal/registry"
	"wrenspread/internal/sim"
)

// alteringAnswers returns a broken variant whose replicas alter their answers.
func alteringAnswers(alter func(q query, a *registry.ListResponse)) func(*Fleet) {
	return func(f *Fleet) { f.AlterAnswer = alter }
}

// choosingSubsets returns a broken variant whose nodes follow other subsets than registry.Subset.Next
// returns.
func choosingSubsets(choose func(current, correct registry.Subset, self int) registry.Subset) func(*Fleet) {
	return func(f *Fleet) {
		f.NextSubset = func(current registry.Subset, self, nodes, total int, entries []registry.Endpoint, placements []registry.Placement) registry.Subset {
			return choose(current, current.Next(self, nodes, total, entries, placements), self)
		}
	}
}

// subsetOfWidth returns the subset of a width at a node's start position.
func subsetOfWidth(self int, width uint16) registry.Subset {
	return registry.Subset{Start: uint16(registry.StartPosition(self)>>48) / (width / 4) * (width / 4), Width: width}
}

// brokenVariants lists broken variants of the registry and of nodes. The check foundBy must find the variant.
var brokenVariants = []struct {
	name     string
	replicas int
	kinds    []sim.FaultKind // the kinds of faults that expose the variant soonest
	alter    func(*Fleet)
	foundBy  string
}{
	{"removed endpoints are missing from answers", 1, []sim.FaultKind{removes}, alteringAnswers(func(_ query, a *registry.ListResponse) {
		a.Endpoints = slices.DeleteFunc(a.Endpoints, func(e registry.Endpoint) bool { return e.Status == registry.Removed })
	}), "exact"},
	{"removed endpoints are reported as draining", 1, []sim.FaultKind{removes}, alteringAnswers(func(_ query, a *registry.ListResponse) {
		for i := range a.Endpoints {
			if a.Endpoints[i].Status == registry.Removed {
				a.Endpoints[i].Status = registry.Draining
			}
		}
	}), "exact"},
	{"one endpoint is missing when a node moves to another subset", 1, []sim.FaultKind{resizes}, alteringAnswers(func(q query, a *registry.ListResponse) {
		if q.replacesSubset {
			a.Endpoints = a.Endpoints[1:]
		}
	}), "exact"},
	{"a move to another subset returns an endpoint outside it as draining", 1, []sim.FaultKind{resizes}, alteringAnswers(func(q query, a *registry.ListResponse) {
		for i := 0; q.replacesSubset && !q.subset.IsAll(); i++ {
			if e := newEndpoint("s", i); !q.subset.Contains(registry.Position(e.Name)) {
				e.Status = registry.Draining
				a.Endpoints = append(a.Endpoints, e)
				return
			}
		}
	}), "exact"},
	{"a watch has a version whose last change is missing", 1, []sim.FaultKind{registers}, alteringAnswers(func(_ query, a *registry.ListResponse) {
		if !a.Snapshot && len(a.Endpoints) > 1 {
			a.Endpoints = a.Endpoints[:len(a.Endpoints)-1]
		}
	}), "exact"},
	{"nodes drop their list and change the replica after each watch", 3, []sim.FaultKind{registers, lagging}, func(f *Fleet) { f.ForgetsList = true }, "monotonic"},
	{"a watch without changes does not advance the version", 1, []sim.FaultKind{drains}, alteringAnswers(func(q query, a *registry.ListResponse) {
		if !a.Snapshot && len(a.Endpoints) == 0 {
			a.Index = q.since
		}
	}), "newest"},
	{"all nodes follow the subset of one node", 1, []sim.FaultKind{registers}, choosingSubsets(func(_, correct registry.Subset, _ int) registry.Subset {
		if correct.IsAll() {
			return correct
		}
		return subsetOfWidth(0, correct.Width)
	}), "coverage"},
	{"subsets have half of their width", 1, []sim.FaultKind{registers}, choosingSubsets(func(_, correct registry.Subset, _ int) registry.Subset {
		return registry.Subset{Start: correct.Start, Width: correct.Width / 2}
	}), "coverage"},
}

// TestEveryCheckFindsItsBrokenVariants: each broken variant is found within 20 schedules by the check meant
// for it, and each check finds at least one variant.
func TestEveryCheckFindsItsBrokenVariants(t *testing.T) {
	const maxSchedules = 20
	var mu sync.Mutex
	found := map[string]bool{}
	t.Run("all", func(t *testing.T) {
		for _, s := range brokenVariants {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				p := play(s.replicas, s.alter)
				p.Kinds = nil
				for _, k := range s.kinds {
					p.Kinds = append(p.Kinds, countingCalls(k))
				}
				for seed := uint64(1); seed <= maxSchedules; seed++ {
					_, violation := p.Run(seed, p.Faults(seed))
					if violation == nil {
						continue
					}
					if violation.Check != s.foundBy {
						t.Fatalf("seed %d: found by the wrong check: %v", seed, violation)
					}
					t.Logf("seed %d: %v", seed, violation)
					mu.Lock()
					found[violation.Check] = true
					mu.Unlock()
					return
				}
				t.Fatalf("not found in %d schedules", maxSchedules)
			})
		}
	})
	for _, c := range play(1, nil).Build(sim.New(1)) {
		if !found[c.Name] {
			t.Errorf("no broken variant is found by the check %q", c.Name)
		}
	}
}

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
func choosingSubsets(choose func(has, right registry.Subset, self int) registry.Subset) func(*Fleet) {
	return func(f *Fleet) {
		f.NextSubset = func(has registry.Subset, self, nodes, total int, entries []registry.Endpoint, g []registry.Placement) registry.Subset {
			return choose(has, has.Next(self, nodes, total, entries, g), self)
		}
	}
}

// subsetOfWidth returns the subset of a width at a node's start position.
func subsetOfWidth(self int, width uint16) registry.Subset {
	return registry.Subset{Start: uint16(registry.StartPosition(self)>>48) / (width / 4) * (width / 4), Width: width}
}

// brokenVariants lists broken services and nodes, each with the check that must find the fault.
var brokenVariants = []struct {
	name     string
	replicas int
	kinds    []sim.FaultKind // the kinds of faults that expose the variant soonest
	alter    func(*Fleet)
	foundBy  string
}{
	{"who leaves is not told", 1, []sim.FaultKind{removes}, alteringAnswers(func(_ query, a *registry.ListResponse) {
		a.Endpoints = slices.DeleteFunc(a.Endpoints, func(e registry.Endpoint) bool { return e.Status == registry.Removed })
	}), "exact"},
	{"who is gone is told as draining", 1, []sim.FaultKind{removes}, alteringAnswers(func(_ query, a *registry.ListResponse) {
		for i := range a.Endpoints {
			if a.Endpoints[i].Status == registry.Removed {
				a.Endpoints[i].Status = registry.Draining
			}
		}
	}), "exact"},
	{"one server is missing from a part that is read in place of another", 1, []sim.FaultKind{resizes}, alteringAnswers(func(q query, a *registry.ListResponse) {
		if q.replacesSubset {
			a.Endpoints = a.Endpoints[1:]
		}
	}), "exact"},
	{"what left the part stays as draining", 1, []sim.FaultKind{resizes}, alteringAnswers(func(q query, a *registry.ListResponse) {
		for i := 0; q.replacesSubset && !q.subset.IsAll(); i++ {
			if e := newEndpoint("s", i); !q.subset.Contains(registry.Position(e.Name)) {
				e.Status = registry.Draining
				a.Endpoints = append(a.Endpoints, e)
				return
			}
		}
	}), "exact"},
	{"a watch goes on ahead of what it brings", 1, []sim.FaultKind{registers}, alteringAnswers(func(_ query, a *registry.ListResponse) {
		if !a.Snapshot && len(a.Endpoints) > 1 {
			a.Endpoints = a.Endpoints[:len(a.Endpoints)-1]
		}
	}), "exact"},
	{"begins anew at another replica after each watch", 3, []sim.FaultKind{registers, lagging}, func(f *Fleet) { f.ForgetsList = true }, "forward"},
	{"a quiet watch ends at the version that it began with", 1, []sim.FaultKind{drains}, alteringAnswers(func(q query, a *registry.ListResponse) {
		if !a.Snapshot && len(a.Endpoints) == 0 {
			a.Index = q.since
		}
	}), "newest"},
	{"all follow the part of one", 1, []sim.FaultKind{registers}, choosingSubsets(func(_, right registry.Subset, _ int) registry.Subset {
		if right.IsAll() {
			return right
		}
		return subsetOfWidth(0, right.Width)
	}), "held"},
	{"parts end at half of their width", 1, []sim.FaultKind{registers}, choosingSubsets(func(_, right registry.Subset, _ int) registry.Subset {
		return registry.Subset{Start: right.Start, Width: right.Width / 2}
	}), "held"},
}

// Each broken variant is found by the check meant for it, within 20 schedules, and each check finds at least
// one variant.
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
					_, broken := p.Run(seed, p.Faults(seed))
					if broken == nil {
						continue
					}
					if broken.Check != s.foundBy {
						t.Fatalf("seed %d: found by the wrong check: %v", seed, broken)
					}
					t.Logf("seed %d: %v", seed, broken)
					mu.Lock()
					found[broken.Check] = true
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

package subset

import (
	"slices"
	"sync"
	"testing"

	"wrenspread/internal/registry"
	"wrenspread/internal/sim"
)

// altering gives a stand-in whose answers are altered.
func altering(alter func(q query, a *registry.ListResponse)) func(*Fleet) {
	return func(f *Fleet) { f.AlterAnswer = alter }
}

// choosing gives a stand-in whose nodes choose other parts than list.Part.Next says.
func choosing(choose func(has, right registry.Subset, self int) registry.Subset) func(*Fleet) {
	return func(f *Fleet) {
		f.NextSubset = func(has registry.Subset, self, nodes, total int, entries []registry.Endpoint, g []registry.Placement) registry.Subset {
			return choose(has, has.Next(self, nodes, total, entries, g), self)
		}
	}
}

// arc is the part of a width at a node's place.
func arc(self int, width uint16) registry.Subset {
	return registry.Subset{Start: uint16(registry.StartPosition(self)>>48) / (width / 4) * (width / 4), Width: width}
}

// standins are broken services and nodes, and the check which must find each.
var standins = []struct {
	name     string
	replicas int
	kinds    []sim.FaultKind // those that bring it out soonest
	bend     func(*Fleet)
	found    string
}{
	{"who leaves is not told", 1, []sim.FaultKind{removes}, altering(func(_ query, a *registry.ListResponse) {
		a.Endpoints = slices.DeleteFunc(a.Endpoints, func(e registry.Endpoint) bool { return e.Status == registry.Removed })
	}), "exact"},
	{"who is gone is told as draining", 1, []sim.FaultKind{removes}, altering(func(_ query, a *registry.ListResponse) {
		for i := range a.Endpoints {
			if a.Endpoints[i].Status == registry.Removed {
				a.Endpoints[i].Status = registry.Draining
			}
		}
	}), "exact"},
	{"one server is missing from a part that is read in place of another", 1, []sim.FaultKind{resizes}, altering(func(q query, a *registry.ListResponse) {
		if q.replacesSubset {
			a.Endpoints = a.Endpoints[1:]
		}
	}), "exact"},
	{"what left the part stays as draining", 1, []sim.FaultKind{resizes}, altering(func(q query, a *registry.ListResponse) {
		for i := 0; q.replacesSubset && !q.subset.IsAll(); i++ {
			if e := newEndpoint("s", i); !q.subset.Contains(registry.Position(e.Name)) {
				e.Status = registry.Draining
				a.Endpoints = append(a.Endpoints, e)
				return
			}
		}
	}), "exact"},
	{"a watch goes on ahead of what it brings", 1, []sim.FaultKind{registers}, altering(func(_ query, a *registry.ListResponse) {
		if !a.Snapshot && len(a.Endpoints) > 1 {
			a.Endpoints = a.Endpoints[:len(a.Endpoints)-1]
		}
	}), "exact"},
	{"begins anew at another replica after each watch", 3, []sim.FaultKind{registers, lagging}, func(f *Fleet) { f.ForgetsList = true }, "forward"},
	{"a quiet watch ends at the version that it began with", 1, []sim.FaultKind{drains}, altering(func(q query, a *registry.ListResponse) {
		if !a.Snapshot && len(a.Endpoints) == 0 {
			a.Index = q.since
		}
	}), "newest"},
	{"all follow the part of one", 1, []sim.FaultKind{registers}, choosing(func(_, right registry.Subset, _ int) registry.Subset {
		if right.IsAll() {
			return right
		}
		return arc(0, right.Width)
	}), "held"},
	{"parts end at half of their width", 1, []sim.FaultKind{registers}, choosing(func(_, right registry.Subset, _ int) registry.Subset {
		return registry.Subset{Start: right.Start, Width: right.Width / 2}
	}), "held"},
}

// Each check finds what it is there for, within a few schedules.
func TestStandins(t *testing.T) {
	const most = 20
	var mu sync.Mutex
	found := map[string]bool{}
	t.Run("all", func(t *testing.T) {
		for _, s := range standins {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				p := play(s.replicas, s.bend)
				p.Kinds = nil
				for _, k := range s.kinds {
					p.Kinds = append(p.Kinds, countingCalls(k))
				}
				for seed := uint64(1); seed <= most; seed++ {
					_, broken := p.Run(seed, p.Faults(seed))
					if broken == nil {
						continue
					}
					if broken.Check != s.found {
						t.Fatalf("seed %d: found by the wrong check: %v", seed, broken)
					}
					t.Logf("seed %d: %v", seed, broken)
					mu.Lock()
					found[broken.Check] = true
					mu.Unlock()
					return
				}
				t.Fatalf("not found in %d schedules", most)
			})
		}
	})
	for _, c := range play(1, nil).Build(sim.New(1)) {
		if !found[c.Name] {
			t.Errorf("no stand-in is found by the check %q", c.Name)
		}
	}
}

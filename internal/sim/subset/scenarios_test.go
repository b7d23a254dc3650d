package subset

import (
	"slices"
	"testing"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/sim"
	"wrenspread/internal/timeline"
	"wrenspread/internal/timeline/golden"
)

// step is an action in a scenario, at a time after the scenario's start.
type step struct {
	at time.Duration
	do func(f *Fleet)
}

// faultAt returns a step that starts a fault of kind k, and ends the fault after length.
func faultAt(at time.Duration, k sim.FaultKind, length time.Duration, targets ...string) step {
	return step{at, func(f *Fleet) {
		if undo := countingCalls(k).Start(f.World, sim.Fault{Targets: targets}); undo != nil {
			f.World.After(length, undo)
		}
	}}
}

// onFirstEndpoint returns a step that calls do for the first endpoint by name that is inside one subset and
// outside others. text is the verb of the step's note in the timeline.
func onFirstEndpoint(at time.Duration, text string, do func(*Fleet, string), inside registry.Subset, outside ...registry.Subset) step {
	return step{at, func(f *Fleet) {
		for _, s := range f.endpointNames() {
			p := registry.Position(s)
			if inside.Contains(p) && !slices.ContainsFunc(outside, func(o registry.Subset) bool { return o.Contains(p) }) {
				f.World.Note("list", text+" "+s)
				do(f, s)
				return
			}
		}
	}}
}

const second = time.Second

// The subsets of n1 with 2,800 endpoints, in a fleet of 2,000 nodes and of 200 nodes. Each begins at the
// start position of n1, which is 0.
var eighth, quarter = subsetOfWidth(0, 1<<13), subsetOfWidth(0, 1<<14)

// scenarios are fixed schedules of steps whose drawings are in testdata.
var scenarios = []struct {
	name     string
	caption  string
	replicas int
	nodes    int
	length   time.Duration
	steps    []step
}{
	{name: "moving", replicas: 1, nodes: 1, length: 16 * second,
		caption: "n1 has to move to a wider subset while its watch is open. The answer to its first call for the wider subset is lost. Meanwhile n1 keeps its subset and watches it, so it gets " +
			"the changes within that subset and none outside it. It then reads the wider subset completely at one version, which includes earlier changes there. When a narrower " +
			"subset would do again, n1 keeps the wider one: a subset shrinks only if less than a quarter of it is enough, so that it does not change back and forth.",
		steps: []step{
			onFirstEndpoint(2*second, "drains", (*Fleet).drain, eighth),
			faultAt(3*second, resizes, 0, "200", "n1"),
			onFirstEndpoint(4*second, "removes", (*Fleet).remove, eighth),
			faultAt(4200*time.Millisecond, sim.CutOff, second, "n1"),
			onFirstEndpoint(4500*time.Millisecond, "removes", (*Fleet).remove, quarter, eighth),
			onFirstEndpoint(4700*time.Millisecond, "drains", (*Fleet).drain, eighth),
			onFirstEndpoint(8*second, "removes", (*Fleet).remove, quarter, eighth),
			faultAt(9*second, resizes, 0, "2000", "n1"),
			onFirstEndpoint(10*second, "removes", (*Fleet).remove, quarter, eighth),
		}},
	{name: "lagging", replicas: 3, nodes: 1, length: 16 * second,
		caption: "n1 has to move to a wider subset. Its call to r1 gets no answer, because n1 is cut off, and r2 and r3 lag. r2 refuses the watch, because n1 has " +
			"a newer version than r2. r3 returns the wider subset at an older version, which n1 ignores: it would lose changes of the narrower subset that it " +
			"has already, and have a removed endpoint again. So n1 keeps its subset until a replica returns the wider one at a version that is not older.",
		steps: []step{
			faultAt(1*second, lagging, 4*second, "r2"),
			faultAt(1*second, lagging, 4*second, "r3"),
			faultAt(1500*time.Millisecond, resizes, 0, "200", "n1"),
			onFirstEndpoint(2*second, "removes", (*Fleet).remove, eighth),
			faultAt(2200*time.Millisecond, sim.CutOff, second, "n1"),
		}},
	{name: "epoch", replicas: 1, nodes: 1, length: 26 * second,
		caption: "The registry loses its state and begins another epoch, E2, in which the servers register again. Later a backup from before the loss is restored as epoch E3. The versions of E2 do not exceed " +
			"those that n1 knows, so n1 defers the list of E2 for 6 s, although it needs a wider subset by then: a registry that has lost its state must not empty the fleet's lists. After 6 s n1 takes " +
			"the list of E2, completely and in the wider subset. The versions of E3 exceed all earlier ones, so n1 takes E3 at once. Endpoints that were removed after the backup are back.",
		steps: []step{
			faultAt(2*second, restores, 16*second),
			onFirstEndpoint(3*second, "removes", (*Fleet).remove, eighth),
			faultAt(4*second, stateLosses, 0),
			faultAt(8*second, resizes, 0, "200", "n1"),
			onFirstEndpoint(14*second, "drains", (*Fleet).drain, quarter, eighth),
			onFirstEndpoint(20*second, "removes", (*Fleet).remove, eighth),
		}},
}

// TestScenariosMatchTheirDrawings: each scenario gives the drawing in testdata and violates no check. The
// check "coverage" is left out, because too few nodes follow the list to cover all endpoints. After a run
// with -update, read the new drawings.
func TestScenariosMatchTheirDrawings(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			p := sim.Play{RecoveryTime: s.length, CheckInterval: second / 4, Build: func(w *sim.World) []sim.Check {
				w.Net.Default = sim.Link{Delay: 100 * time.Millisecond}
				f := newFleet(w, s.replicas, 2800)
				f.start(2000, names(s.nodes, "n"))
				for _, step := range s.steps {
					w.After(step.at, func() { step.do(f) })
				}
				return slices.DeleteFunc(f.checks(), func(c sim.Check) bool { return c.Name == "coverage" })
			}}
			w, violation := p.Run(7, nil)
			drawn := timeline.Drawing{Caption: s.caption, Columns: append(append([]string{"list"}, names(s.replicas, "r")...), names(s.nodes, "n")...)}.Draw(w.Log())
			if violation != nil {
				t.Fatalf("%v\n%s", violation, drawn)
			}
			golden.Assert(t, s.name, drawn)
		})
	}
}

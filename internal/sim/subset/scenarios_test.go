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

// step is an action in a story, at a time after its start.
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

// onFirstEndpoint returns a step that calls do for the first endpoint inside one subset and outside others.
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

var stories = []struct {
	name     string
	caption  string
	replicas int
	nodes    int
	length   time.Duration
	steps    []step
}{
	{name: "moving", replicas: 1, nodes: 1, length: 16 * second,
		caption: "n1 has to follow a wider part while its watch is open, and the answer to its first try is lost. The part that it has stands and is watched on meanwhile, so it hears " +
			"of who drains and leaves there, and of nobody beyond it; the wider part then comes whole, as of one version, so that what changed there before is in it, and needs no word of its own. " +
			"As it needs less again it stays: a part shrinks to under a quarter only, lest it go to and fro.",
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
		caption: "n1 has to follow a wider part, and the replica that told it so is cut off; the two others lag. r2 refuses the watch, as n1 has a newer version than it; r3 gives the wider part " +
			"as of an older version, which n1 passes over: it would lose what it was told of the narrower one, and know a server again that it was told has gone. " +
			"So the part that it has stands until a replica has the wider one of no older version.",
		steps: []step{
			faultAt(1*second, lagging, 4*second, "r2"),
			faultAt(1*second, lagging, 4*second, "r3"),
			faultAt(1500*time.Millisecond, resizes, 0, "200", "n1"),
			onFirstEndpoint(2*second, "removes", (*Fleet).remove, eighth),
			faultAt(2200*time.Millisecond, sim.CutOff, second, "n1"),
		}},
	{name: "epoch", replicas: 1, nodes: 1, length: 26 * second,
		caption: "The service loses its state and begins another epoch, E2, into which the servers register again; later the copy of before is restored, as E3. E2's versions don't go past those that n1 " +
			"knows, so its part is held back for 6 s, though n1 needs a wider one by then: a service that lost its state must not empty a fleet. It is taken when it holds for so long, in the wider part, " +
			"and whole. E3 goes past every version given out, so it is taken at once; who was removed since the copy is back.",
		steps: []step{
			faultAt(2*second, restores, 16*second),
			onFirstEndpoint(3*second, "removes", (*Fleet).remove, eighth),
			faultAt(4*second, stateLosses, 0),
			faultAt(8*second, resizes, 0, "200", "n1"),
			onFirstEndpoint(14*second, "drains", (*Fleet).drain, quarter, eighth),
			onFirstEndpoint(20*second, "removes", (*Fleet).remove, eighth),
		}},
}

// Each story gives the drawing in testdata and violates no check. The check "held" is left out: too few nodes
// follow the list to cover all endpoints. After a run with -update, read the new drawings.
func TestStoriesMatchTheirDrawings(t *testing.T) {
	for _, s := range stories {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			p := sim.Play{RecoveryTime: s.length, CheckInterval: second / 4, Build: func(w *sim.World) []sim.Check {
				w.Net.Default = sim.Link{Delay: 100 * time.Millisecond}
				f := newFleet(w, s.replicas, 2800)
				f.start(2000, names(s.nodes, "n"))
				for _, step := range s.steps {
					w.After(step.at, func() { step.do(f) })
				}
				return slices.DeleteFunc(f.checks(), func(c sim.Check) bool { return c.Name == "held" })
			}}
			w, broken := p.Run(7, nil)
			drawn := timeline.Drawing{Caption: s.caption, Columns: append(append([]string{"list"}, names(s.replicas, "r")...), names(s.nodes, "n")...)}.Draw(w.Log())
			if broken != nil {
				t.Fatalf("%v\n%s", broken, drawn)
			}
			golden.Same(t, s.name, drawn)
		})
	}
}

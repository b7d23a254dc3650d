package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/sim"
)

// fleetOf returns the fleet that is simulated in a world.
func fleetOf(w *sim.World) *Fleet { return w.PlayState.(*Fleet) }

// randomDuration draws a duration from lowest to below highest.
func randomDuration(rng *rand.Rand, lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(rng.Int64N(int64(highest-lowest)))
}

// drawLasting returns a Draw of faults that last from a twentieth of longest up to longest, or that have no
// duration if longest is 0. drawTargets draws the targets, which are names or other arguments of the fault.
func drawLasting(
	longest time.Duration,
	drawTargets func(rng *rand.Rand, names []string) []string,
) func(*rand.Rand, []string) sim.Fault {
	return func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{Targets: drawTargets(rng, names)}
		if longest > 0 {
			f.Duration = randomDuration(rng, longest/20, longest)
		}
		return f
	}
}

// pickOne draws one of the names.
func pickOne(rng *rand.Rand, names []string) []string { return []string{names[rng.IntN(len(names))]} }

// pickSome draws one or more of the names.
func pickSome(rng *rand.Rand, names []string) []string {
	names = slices.Clone(names)
	rng.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	return names[:1+rng.IntN(len(names))]
}

// randomNumber draws a number from 1 to highest, as a text that can be a target of a fault.
func randomNumber(rng *rand.Rand, highest int) string { return strconv.Itoa(1 + rng.IntN(highest)) }

// numberAt returns target k of a fault, which randomNumber drew, as a number.
func numberAt(f sim.Fault, k int) int {
	n, _ := strconv.Atoi(f.Targets[k])
	return n
}

// nodesAmong returns those of the names that are names of nodes.
func nodesAmong(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n[0] != 'n' })
}

// replicasAmong returns those of the names that are names of replicas.
func replicasAmong(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n[0] != 'r' })
}

// The kinds of faults that only the play of this package uses.
var (
	// registers adds a drawn number of endpoints with a drawn prefix.
	registers = sim.FaultKind{Name: "register", Draw: drawLasting(0, func(rng *rand.Rand, _ []string) []string {
		return []string{fmt.Sprint("j", rng.IntN(1e6)), randomNumber(rng, 150)}
	}), Start: func(w *sim.World, f sim.Fault) func() {
		w.Note("list", "registers "+f.Targets[1])
		for i := range numberAt(f, 1) {
			fleetOf(w).register(newEndpoint(f.Targets[0], i))
		}
		return nil
	}}
	// drains sets drawn endpoints to draining, and removes removes drawn endpoints.
	drains  = endpointChange("drain", (*Fleet).drain)
	removes = endpointChange("remove", (*Fleet).remove)
	// racks removes all endpoints in a sixteenth of the ring, and registers them again at the fault's end.
	racks = sim.FaultKind{
		Name: "rack",
		Draw: drawLasting(
			20*time.Second,
			func(rng *rand.Rand, _ []string) []string { return []string{randomNumber(rng, 16)} },
		),
		Start: func(w *sim.World, f sim.Fault) func() {
			lost := slices.DeleteFunc(
				fleetOf(w).endpointNames(),
				func(s string) bool { return int(registry.Position(s)>>60)+1 != numberAt(f, 0) },
			)
			w.Note("list", fmt.Sprintf("loses a rack of %d", len(lost)))
			var endpoints []registry.Endpoint
			for _, s := range lost {
				endpoints = append(endpoints, fleetOf(w).endpoints[s])
				fleetOf(w).remove(s)
			}
			return func() {
				w.Note("list", "has the rack again")
				for _, e := range endpoints {
					fleetOf(w).register(e)
				}
			}
		},
	}
	// resizes changes the size of the fleet in the settings of some nodes.
	resizes = sim.FaultKind{Name: "resize", Draw: drawLasting(0, func(rng *rand.Rand, names []string) []string {
		sizes := []string{"1", "150", "300", "600", "2000"}
		return append([]string{sizes[rng.IntN(len(sizes))]}, pickSome(rng, nodesAmong(names))...)
	}), Start: func(w *sim.World, f sim.Fault) func() {
		for _, n := range f.Targets[1:] {
			w.Note(n, "gets a fleet size of "+f.Targets[0]+" nodes")
			fleetOf(w).fleetSizes[n] = numberAt(f, 0)
		}
		return nil
	}}
	// lagging stops a replica from applying log entries younger than maxLag.
	lagging = sim.FaultKind{
		Name: "lag",
		Draw: drawLasting(
			20*time.Second,
			func(rng *rand.Rand, names []string) []string { return pickOne(rng, replicasAmong(names)) },
		),
		Start: func(w *sim.World, f sim.Fault) func() {
			w.Note(f.Targets[0], "lags")
			fleetOf(w).disks[f.Targets[0]].lagFaults++
			return func() {
				w.Note(f.Targets[0], "stops lagging")
				fleetOf(w).disks[f.Targets[0]].lagFaults--
			}
		},
	}
	// kills ends a process and starts a new one at the fault's end. Replica r3 may be killed without a restart.
	// A node may lose its cached list.
	kills = sim.FaultKind{Name: "kill", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{
			Targets:  pickOne(rng, names),
			Duration: randomDuration(rng, 100*time.Millisecond, 15*time.Second),
		}
		if f.Targets[0] == "r3" && rng.IntN(2) == 0 {
			f.Duration = 0
		}
		if rng.IntN(2) == 0 {
			f.Targets = append(f.Targets, "disk")
		}
		return f
	}, Start: func(w *sim.World, f sim.Fault) func() {
		if undo := sim.Kill.Start(w, sim.Fault{Targets: f.Targets[:1]}); f.Duration > 0 {
			return func() {
				if len(f.Targets) > 1 {
					delete(fleetOf(w).cachedLists, f.Targets[0])
				}
				undo()
			}
		}
		return nil
	}}
	// stateLosses makes the registry lose its state. The registry begins an empty list in a new epoch, and the
	// agents register their endpoints again within three seconds.
	stateLosses = sim.FaultKind{
		Name: "state lost",
		Draw: drawLasting(0, func(*rand.Rand, []string) []string { return nil }),
		Start: func(w *sim.World, _ sim.Fault) func() {
			f := fleetOf(w)
			w.Note("list", "loses its state")
			var endpoints []registry.Endpoint
			for _, s := range f.endpointNames() {
				endpoints = append(endpoints, f.endpoints[s])
			}
			f.beginEpoch()
			epoch := f.leader.Epoch()
			const batches = 3
			for k := range batches {
				w.After(time.Duration(k+1)*time.Second, func() {
					for i := k; i < len(endpoints) && f.leader.Epoch() == epoch; i += batches {
						f.register(endpoints[i])
					}
				})
			}
			return nil
		},
	}
	// restores takes a snapshot of the list at the fault's start and restores the snapshot at the fault's end.
	restores = sim.FaultKind{
		Name: "restore",
		Draw: drawLasting(15*time.Second, func(*rand.Rand, []string) []string { return nil }),
		Start: func(w *sim.World, _ sim.Fault) func() {
			w.Note("list", "is backed up")
			restore := fleetOf(w).backup()
			return func() { w.Note("list", "is restored"); restore() }
		},
	}
)

// endpointChange returns a kind of fault that calls do for a drawn number of endpoints: every seventh one by
// name, from a drawn one on.
func endpointChange(name string, do func(*Fleet, string)) sim.FaultKind {
	return sim.FaultKind{
		Name: name,
		Draw: drawLasting(
			0,
			func(rng *rand.Rand, _ []string) []string {
				return []string{randomNumber(rng, 40), randomNumber(rng, 5000)}
			},
		),
		Start: func(w *sim.World, f sim.Fault) func() {
			w.Note("list", name+" "+f.Targets[0])
			endpoints := fleetOf(w).endpointNames()
			for i := range min(numberAt(f, 0), len(endpoints)) {
				do(fleetOf(w), endpoints[(numberAt(f, 1)+i*7)%len(endpoints)])
			}
			return nil
		},
	}
}

// countingCalls returns the kind k, changed so that the nodes' call counts are reset at the fault's start and
// at its end.
func countingCalls(k sim.FaultKind) sim.FaultKind {
	do := k.Start
	k.Start = func(w *sim.World, f sim.Fault) func() {
		fleetOf(w).resetCallCounts()
		undo := do(w, f)
		if undo == nil {
			return nil
		}
		return func() { undo(); fleetOf(w).resetCallCounts() }
	}
	return k
}

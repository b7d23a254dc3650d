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

func of(w *sim.World) *Fleet { return w.Play.(*Fleet) }

func upTo(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// drawn gives a Draw of faults that last up to most; who gives what else is drawn.
func drawn(
	most time.Duration,
	who func(rng *rand.Rand, names []string) []string,
) func(*rand.Rand, []string) sim.Fault {
	return func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{Who: who(rng, names)}
		if most > 0 {
			f.For = upTo(rng, most/20, most)
		}
		return f
	}
}

func anyOne(rng *rand.Rand, names []string) []string { return []string{names[rng.IntN(len(names))]} }

// some picks a drawn number of names.
func some(rng *rand.Rand, all []string) []string {
	all = slices.Clone(all)
	rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:1+rng.IntN(len(all))]
}

func number(rng *rand.Rand, most int) string { return strconv.Itoa(1 + rng.IntN(most)) }

// with returns a number that a fault has drawn.
func with(f sim.Fault, k int) int {
	n, _ := strconv.Atoi(f.Who[k])
	return n
}

func nodesOf(all []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n[0] != 'n' })
}

func replicasOf(all []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n[0] != 'r' })
}

// The sorts of fault that are about parts alone.
var (
	registers = sim.Kind{Name: "register", Draw: drawn(0, func(rng *rand.Rand, _ []string) []string {
		return []string{fmt.Sprint("j", rng.IntN(1e6)), number(rng, 150)}
	}), Do: func(w *sim.World, f sim.Fault) func() {
		w.Say("list", "registers "+f.Who[1])
		for i := range with(f, 1) {
			of(w).register(server(f.Who[0], i))
		}
		return nil
	}}
	drains  = leaving("drain", (*Fleet).drain)
	removes = leaving("remove", (*Fleet).remove)
	// racks take all servers of a sixteenth of the ring away, and bring them back.
	racks = sim.Kind{
		Name: "rack",
		Draw: drawn(20*time.Second, func(rng *rand.Rand, _ []string) []string { return []string{number(rng, 16)} }),
		Do: func(w *sim.World, f sim.Fault) func() {
			gone := slices.DeleteFunc(
				of(w).servers(),
				func(s string) bool { return int(registry.Position(s)>>60)+1 != with(f, 0) },
			)
			w.Say("list", fmt.Sprintf("loses a rack of %d", len(gone)))
			var were []registry.Endpoint
			for _, s := range gone {
				were = append(were, of(w).now[s])
				of(w).remove(s)
			}
			return func() {
				w.Say("list", "has the rack again")
				for _, e := range were {
					of(w).register(e)
				}
			}
		},
	}
	// resizes put another size of the fleet into the settings of some nodes.
	resizes = sim.Kind{Name: "resize", Draw: drawn(0, func(rng *rand.Rand, names []string) []string {
		sizes := []string{"1", "150", "300", "600", "2000"}
		return append([]string{sizes[rng.IntN(len(sizes))]}, some(rng, nodesOf(names))...)
	}), Do: func(w *sim.World, f sim.Fault) func() {
		for _, n := range f.Who[1:] {
			w.Say(n, "is told of "+f.Who[0]+" nodes")
			of(w).sizes[n] = with(f, 0)
		}
		return nil
	}}
	// lagging lets a replica apply nothing younger than mostLag.
	lagging = sim.Kind{
		Name: "lag",
		Draw: drawn(
			20*time.Second,
			func(rng *rand.Rand, names []string) []string { return anyOne(rng, replicasOf(names)) },
		),
		Do: func(w *sim.World, f sim.Fault) func() {
			w.Say(f.Who[0], "lags")
			of(w).disks[f.Who[0]].lags++
			return func() {
				w.Say(f.Who[0], "lags no more")
				of(w).disks[f.Who[0]].lags--
			}
		},
	}
	// kills end processes; one of three replicas may be lost for good, and a node's cached list with it.
	kills = sim.Kind{Name: "kill", Draw: func(rng *rand.Rand, names []string) sim.Fault {
		f := sim.Fault{Who: anyOne(rng, names), For: upTo(rng, 100*time.Millisecond, 15*time.Second)}
		if f.Who[0] == "r3" && rng.IntN(2) == 0 {
			f.For = 0
		}
		if rng.IntN(2) == 0 {
			f.Who = append(f.Who, "disk")
		}
		return f
	}, Do: func(w *sim.World, f sim.Fault) func() {
		if undo := sim.Kill.Do(w, sim.Fault{Who: f.Who[:1]}); f.For > 0 {
			return func() {
				if len(f.Who) > 1 {
					delete(of(w).files, f.Who[0])
				}
				undo()
			}
		}
		return nil
	}}
	// losses are of the service's state: it begins anew, and the servers' agents register within seconds.
	losses = sim.Kind{
		Name: "state lost",
		Draw: drawn(0, func(*rand.Rand, []string) []string { return nil }),
		Do: func(w *sim.World, _ sim.Fault) func() {
			f := of(w)
			w.Say("list", "has lost its state")
			var were []registry.Endpoint
			for _, s := range f.servers() {
				were = append(were, f.now[s])
			}
			f.begin()
			epoch := f.leader.Epoch()
			const batches = 3
			for k := range batches {
				w.After(time.Duration(k+1)*time.Second, func() {
					for i := k; i < len(were) && f.leader.Epoch() == epoch; i += batches {
						f.register(were[i])
					}
				})
			}
			return nil
		},
	}
	// restores put back at their end what was there at their beginning.
	restores = sim.Kind{
		Name: "restore",
		Draw: drawn(15*time.Second, func(*rand.Rand, []string) []string { return nil }),
		Do: func(w *sim.World, _ sim.Fault) func() {
			w.Say("list", "is copied")
			restore := of(w).backup()
			return func() { w.Say("list", "is restored"); restore() }
		},
	}
)

// leaving has something done to drawn servers, by their order.
func leaving(name string, do func(*Fleet, string)) sim.Kind {
	return sim.Kind{
		Name: name,
		Draw: drawn(
			0,
			func(rng *rand.Rand, _ []string) []string { return []string{number(rng, 40), number(rng, 5000)} },
		),
		Do: func(w *sim.World, f sim.Fault) func() {
			w.Say("list", name+" "+f.Who[0])
			all := of(w).servers()
			for i := range min(with(f, 0), len(all)) {
				do(of(w), all[(with(f, 1)+i*7)%len(all)])
			}
			return nil
		},
	}
}

// noted has the calls counted from a fault's beginning, and from its end.
func noted(k sim.Kind) sim.Kind {
	do := k.Do
	k.Do = func(w *sim.World, f sim.Fault) func() {
		of(w).disturb()
		undo := do(w, f)
		if undo == nil {
			return nil
		}
		return func() { undo(); of(w).disturb() }
	}
	return k
}

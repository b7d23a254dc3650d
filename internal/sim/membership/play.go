package membership

import (
	"math/rand/v2"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
	"wrenspread/internal/timeline"
)

// Options are what a play of the view may be bent by.
type Options struct {
	Nodes int
	// Bend, where set, changes a fleet that is not started yet: a broken stand-in.
	AlterFleet func(f *Fleet)
	// Took, where set, is told how long after the last fault all views were the same and right.
	Took func(time.Duration)
}

// Wild draws all that can go wrong, and checks what holds all the same.
func Wild(o Options) sim.Play {
	p := basePlay(o)
	p.Kinds = append(faultKinds(), sim.Kill)
	p.Build = func(w *sim.World) []sim.Check {
		f := startFleet(w, o)
		return append(f.checks(), f.settleChecks(o.Took)...)
	}
	return p
}

// Mild draws only what a fleet must bear without taking anybody for dead: a bad pair, a lossy network, a
// short pause.
func Mild(o Options) sim.Play {
	p := basePlay(o)
	shortPause := sim.Pause
	shortPause.Draw = func(rng *rand.Rand, names []string) sim.Fault {
		return sim.Fault{
			Targets:  []string{names[rng.IntN(len(names))]},
			Duration: time.Duration(rng.Int64N(int64(800 * time.Millisecond))),
		}
	}
	p.Kinds = []sim.FaultKind{
		sim.OneWay,
		sim.SlowPair,
		sim.Lossy,
		sim.Doubled,
		metadataChanges,
		staleDatagrams,
		flood,
		shortPause,
		leaves,
		joins,
	}
	p.Build = func(w *sim.World) []sim.Check {
		f := startFleet(w, o)
		return append(append(f.checks(), f.neverCheck("nobody dead", membership.Dead)), f.settleChecks(o.Took)...)
	}
	return p
}

// Pairs draws pairs that can't talk well, and nothing else: others vouch for both, so that nobody is even
// suspected.
func Pairs(o Options) sim.Play {
	p := basePlay(o)
	// groups that found each other first may ask a seed of the others 10 s later
	p.WarmUp = 15 * time.Second
	// so that of three helpers one at least has good links
	p.Kinds, p.MaxFaults = []sim.FaultKind{sim.OneWay, sim.SlowPair}, 2
	p.Build = func(w *sim.World) []sim.Check {
		f := startFleet(w, o)
		return append(append(f.checks(), f.neverCheck("nobody suspected", membership.Suspect)), f.settleChecks(o.Took)...)
	}
	return p
}

func basePlay(o Options) sim.Play {
	names := Names(o.Nodes)
	return sim.Play{
		Names:         names,
		MaxFaults:     8,
		WarmUp:        5 * time.Second,
		FaultWindow:   40 * time.Second,
		CheckInterval: 250 * time.Millisecond,
		Drawing:       timeline.Drawing{Columns: names, Step: 500 * time.Millisecond, Fold: 3 * time.Second},
	}
}

// startFleet starts a fleet within two seconds; all nodes know all addresses, as a node's settings name its peers.
// One process in four starts with a wall clock that is up to ten minutes wrong.
func startFleet(w *sim.World, o Options) *Fleet {
	f := NewFleet(w)
	w.PlayState = f
	f.rng = rand.New(rand.NewPCG(w.Rand().Uint64(), 1))
	f.Seeds = Names(o.Nodes)
	f.WallClockError = func() time.Duration {
		if w.Rand().IntN(4) > 0 {
			return 0
		}
		return time.Duration(w.Rand().Int64N(int64(20*time.Minute))) - 10*time.Minute
	}
	w.Intercept = func(from, _ string, data []byte) [][]byte {
		f.record(from, data)
		return [][]byte{data}
	}
	if o.AlterFleet != nil {
		o.AlterFleet(f)
	}
	f.StartAll(f.Seeds, 2*time.Second)
	return f
}

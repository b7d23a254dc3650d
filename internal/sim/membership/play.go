package membership

import (
	"math/rand/v2"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
	"wrenspread/internal/timeline"
)

// Options are the parameters of a play.
type Options struct {
	Nodes int
	// AlterFleet, if set, changes the fleet before its start. Tests use it to make broken variants.
	AlterFleet func(f *Fleet)
	// OnSettled, if set, is called with the time from the end of the last fault until all views were equal and
	// correct.
	OnSettled func(time.Duration)
}

// Wild returns a play with all kinds of faults. Its checks must hold whatever the faults.
func Wild(o Options) sim.Play {
	p := basePlay(o)
	p.Kinds = append(faultKinds(), sim.Kill)
	p.Build = func(w *sim.World) []sim.Check {
		f := startFleet(w, o)
		return append(f.checks(), f.settleChecks(o.OnSettled)...)
	}
	return p
}

// Mild returns a play with only those faults during which no view may have a running node as dead, such as a
// pair with bad links, a lossy network or a short pause.
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
		return append(append(f.checks(), f.neverCheck("nobody dead", membership.Dead)),
			f.settleChecks(o.OnSettled)...)
	}
	return p
}

// Pairs returns a play whose only faults are bad links between two nodes. Other nodes still reach both, so
// that no node may even be suspected.
func Pairs(o Options) sim.Play {
	p := basePlay(o)
	// The nodes may first form separate groups. It takes up to 10 s until a node queries a seed in another
	// group.
	p.WarmUp = 15 * time.Second
	// With at most two faults at least one of three helpers has good links.
	p.Kinds, p.MaxFaults = []sim.FaultKind{sim.OneWay, sim.SlowPair}, 2
	p.Build = func(w *sim.World) []sim.Check {
		f := startFleet(w, o)
		return append(
			append(f.checks(), f.neverCheck("nobody suspected", membership.Suspect)),
			f.settleChecks(o.OnSettled)...,
		)
	}
	return p
}

// basePlay returns what all plays of this package have in common.
func basePlay(o Options) sim.Play {
	names := Names(o.Nodes)
	return sim.Play{
		Names:         names,
		MaxFaults:     8,
		WarmUp:        5 * time.Second,
		FaultWindow:   40 * time.Second,
		CheckInterval: 250 * time.Millisecond,
		Drawing:       timeline.Drawing{Columns: names, Step: 500 * time.Millisecond, MinGap: 3 * time.Second},
	}
}

// startFleet starts a fleet within two seconds. Each node has the addresses of all nodes as seeds, because
// the settings of a real proxy name all of its peers. One process in four starts with a wall clock that is
// wrong by up to ten minutes.
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

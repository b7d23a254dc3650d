package subset

import (
	"time"

	"wrenspread/internal/sim"
	"wrenspread/internal/timeline"
)

// play returns the play of subsets with a number of replicas. alter, if set, changes the fleet before its
// start, which makes a broken variant.
func play(replicas int, alter func(*Fleet)) sim.Play {
	processes := append(names(replicas, "r"), names(nodeCount, "n")...)
	p := sim.Play{
		Names:         processes,
		MaxFaults:     10,
		WarmUp:        3 * time.Second,
		FaultWindow:   25 * time.Second,
		RecoveryTime:  40 * time.Second,
		CheckInterval: 250 * time.Millisecond,
		Drawing: timeline.Drawing{
			Columns: append([]string{"list"}, processes...),
			Step:    500 * time.Millisecond,
			MinGap:  3 * time.Second,
		},
		Build: func(w *sim.World) []sim.Check {
			f := newFleet(w, replicas, 1500+w.Rand().IntN(1400))
			if alter != nil {
				alter(f)
			}
			f.start([]int{300, 600, 2000}[w.Rand().IntN(3)], names(nodeCount, "n"))
			return f.checks()
		},
	}
	for _, k := range []sim.FaultKind{
		registers, drains, removes, racks, resizes, lagging, kills, stateLosses, restores,
		sim.Pause, sim.Late, sim.CutOff, sim.OneWay, sim.SlowPair, sim.Lossy, sim.Doubled,
	} {
		p.Kinds = append(p.Kinds, countingCalls(k))
	}
	return p
}

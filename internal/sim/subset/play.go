package subset

import (
	"time"

	"wrenspread/internal/sim"
	"wrenspread/internal/timeline"
)

// play draws what can go wrong before so many replicas. bend, where set, changes a fleet that is not started
// yet: a broken stand-in.
func play(replicas int, bend func(*Fleet)) sim.Play {
	all := append(names(replicas, "r"), names(played, "n")...)
	p := sim.Play{
		Names:  all,
		Most:   10,
		Warm:   3 * time.Second,
		Length: 25 * time.Second,
		Quiet:  40 * time.Second,
		Every:  250 * time.Millisecond,
		Drawn: timeline.Drawing{
			Columns: append([]string{"list"}, all...),
			Step:    500 * time.Millisecond,
			Fold:    3 * time.Second,
		},
		Build: func(w *sim.World) []sim.Check {
			f := newFleet(w, replicas, 1500+w.Rand().IntN(1400))
			if bend != nil {
				bend(f)
			}
			f.start([]int{300, 600, 2000}[w.Rand().IntN(3)], names(played, "n"))
			return f.checks()
		},
	}
	for _, k := range []sim.Kind{registers, drains, removes, racks, resizes, lagging, kills, losses, restores,
		sim.Pause, sim.Late, sim.CutOff, sim.OneWay, sim.SlowPair, sim.Lossy, sim.Doubled} {
		p.Kinds = append(p.Kinds, noted(k))
	}
	return p
}

package membership

import (
	"testing"

	"wrenspread/internal/sim"
)

// TestRandomSchedulesViolateNoCheck: random schedules of each play violate no check. "wrenspread-lab sim"
// runs longer series.
func TestRandomSchedulesViolateNoCheck(t *testing.T) {
	for name, play := range map[string]func(Options) sim.Play{"wild": Wild, "mild": Mild, "pairs": Pairs} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := play(Options{Nodes: 5})
			for seed := uint64(1); seed <= 8; seed++ {
				faults := p.Faults(seed)
				if _, violation := p.Run(seed, faults); violation != nil {
					t.Fatal(p.Explain(seed, faults, violation))
				}
			}
		})
	}
}

// TestSendRateDoesNotGrowWithTheFleet: a node's send rate does not grow with the fleet, and no view has a
// running node as dead, neither without loss nor at a loss of 30%. The rival's send rate grows, and at that
// loss the rival has false deaths.
func TestSendRateDoesNotGrowWithTheFleet(t *testing.T) {
	small, large := measure(t, Growth{Nodes: 3}), measure(t, Growth{Nodes: 40})
	if large.DatagramsPerSecond > 1.2*small.DatagramsPerSecond || large.BytesPerSecond > 1.2*small.BytesPerSecond {
		t.Errorf("the send rate grows: %+v with 3 nodes, %+v with 40 nodes", small, large)
	}
	for _, g := range []GrowthResult{small, large} {
		if g.FalseDeaths[0] > 0 || g.FalseDeaths[1] > 0 {
			t.Errorf("false deaths: %+v", g)
		}
	}
	rivalResult := measure(t, Growth{Nodes: 20, Rival: true})
	if rivalResult.DatagramsPerSecond < 5*small.DatagramsPerSecond || rivalResult.FalseDeaths[1] == 0 {
		t.Errorf("the rival has %+v, want a higher send rate and false deaths", rivalResult)
	}
}

// measure runs a growth measurement without loss and at a loss of 30%.
func measure(t *testing.T, g Growth) GrowthResult {
	t.Helper()
	g.Seed, g.Losses, g.NodeHours, g.Cut = 1, []float64{0, 0.3}, 0.1, 10*second
	out, err := g.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestHalvesMergeSoonAfterACut: after a cut, halves with deaths and joins in each merge at most 5 s later
// than halves without changes, and no node sends more than 30 kB in a second for the merge.
func TestHalvesMergeSoonAfterACut(t *testing.T) {
	unchanged, changed := measure(t, Growth{Nodes: 20}), measure(t, Growth{Nodes: 20, ChangesPerHalf: 3})
	if changed.Heal == 0 || changed.Heal > unchanged.Heal+5*second || changed.PeakBytes == 0 || changed.PeakBytes > 30_000 {
		t.Errorf("the merge is too slow or too costly: without changes %+v, with changes %+v", unchanged, changed)
	}
}

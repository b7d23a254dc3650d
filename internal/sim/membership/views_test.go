package membership

import (
	"testing"

	"wrenspread/internal/sim"
)

// Drawn schedules of each sort break nothing. The long series is "wrenspread-lab sim".
func TestSchedules(t *testing.T) {
	for name, play := range map[string]func(Options) sim.Play{"wild": Wild, "mild": Mild, "pairs": Pairs} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := play(Options{Nodes: 5})
			for seed := uint64(1); seed <= 8; seed++ {
				faults := p.Faults(seed)
				if _, broken := p.Run(seed, faults); broken != nil {
					t.Fatal(p.Explain(seed, faults, broken))
				}
			}
		})
	}
}

// What a node sends does not grow with the fleet, and nobody is taken for dead at any loss up to 30%; the rival's cost does grow, and it
// does take some for dead.
func TestGrowth(t *testing.T) {
	few, many := grown(t, Growth{Nodes: 3}), grown(t, Growth{Nodes: 40})
	if many.Sent > 1.2*few.Sent || many.Bytes > 1.2*few.Bytes {
		t.Errorf("3 nodes: %+v, 40 nodes: %+v", few, many)
	}
	for _, g := range []Grown{few, many} {
		if g.False[0] > 0 || g.False[1] > 0 {
			t.Errorf("false deaths: %+v", g)
		}
	}
	plain := grown(t, Growth{Nodes: 20, Rival: true})
	if plain.Sent < 5*few.Sent || plain.False[1] == 0 {
		t.Errorf("the rival: %+v", plain)
	}
}

func grown(t *testing.T, g Growth) Grown {
	t.Helper()
	g.Seed, g.Losses, g.Hours, g.Cut = 1, []float64{0, 0.3}, 0.1, 10*second
	out, err := g.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Halves that were apart, with deaths and joins in each, are one soon after, and no node sends more for it than its pace allows.
func TestGrowthApart(t *testing.T) {
	calm, moved := grown(t, Growth{Nodes: 20}), grown(t, Growth{Nodes: 20, Moves: 3})
	if moved.Heal == 0 || moved.Heal > calm.Heal+5*second || moved.Peak == 0 || moved.Peak > 30_000 {
		t.Errorf("calm %+v, moved %+v", calm, moved)
	}
}

package scale

import (
	"context"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/sim/membership"
)

const viewCut = 30 * time.Second // of halves, before they heal

// Apart has the fleet's halves apart for a while, on the simulation's clock, with one node of forty of each
// half that dies meanwhile and as many that come, and then together until all have one view.
func Apart(cut *time.Duration) func(ctx context.Context, run Run, sizes []int, say func(Point)) error {
	return func(ctx context.Context, run Run, sizes []int, say func(Point)) error {
		return run.points(
			ctx,
			"apart",
			"members",
			sizes,
			map[string]int{"cut_s": int(cut.Seconds())},
			say,
			func(n int) (map[string]float64, error) {
				g, err := membership.Growth{Nodes: n, Seed: 1, Cut: *cut, Moves: max(1, n/40)}.Measure(ctx)
				return map[string]float64{
					"moves":                float64(4 * max(1, n/40)),
					"heal_s":               seconds(g.Heal),
					"peak_bytes_per_s":     float64(g.Peak),
					"datagram_bytes_per_s": g.Bytes,
				}, err
			},
		)
	}
}

// View measures the view of the fleet by its members, on the simulation's clock and network. Its processor
// time and memory are those of the whole simulation, shared out: more than a node's.
func View(ctx context.Context, run Run, sizes []int, say func(Point)) error {
	return run.points(ctx, "view", "members", sizes, nil, say, func(n int) (map[string]float64, error) {
		began := fleet.OwnCPU()
		g, err := membership.Growth{Nodes: n, Seed: 1, Cut: viewCut}.Measure(ctx)
		if err != nil {
			return nil, err
		}
		return map[string]float64{
			"datagrams_per_s":      g.Sent,
			"datagram_bytes_per_s": g.Bytes,
			"all_joined_s":         seconds(g.Joined),
			"one_joins_s":          seconds(g.Join),
			"one_dies_s": seconds(
				g.Death,
			),
			"heal_s":    seconds(g.Heal),
			"sim_cpu_s": seconds(fleet.OwnCPU()-began) / float64(n),
		}, nil
	})
}

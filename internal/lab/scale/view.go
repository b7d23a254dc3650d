package scale

import (
	"context"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/sim/membership"
)

const partitionTime = 30 * time.Second // how long the halves are apart before they rejoin

// Partition partitions the fleet into halves for the given time, on the simulation's clock, and then rejoins
// them until all nodes have one view. During the partition, one node of forty of each half dies and as many
// join.
func Partition(cut *time.Duration) func(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return func(ctx context.Context, run Run, sizes []int, report func(Point)) error {
		return run.points(
			ctx,
			"apart",
			"members",
			sizes,
			map[string]int{"cut_s": int(cut.Seconds())},
			report,
			func(n int) (map[string]float64, error) {
				g, err := membership.Growth{Nodes: n, Seed: 1, Cut: *cut, ChangesPerHalf: max(1, n/40)}.Measure(ctx)
				return map[string]float64{
					"moves":                float64(4 * max(1, n/40)),
					"heal_s":               seconds(g.Heal),
					"peak_bytes_per_s":     float64(g.PeakBytes),
					"datagram_bytes_per_s": g.BytesPerSecond,
				}, err
			},
		)
	}
}

// View measures the view of the fleet by the number of its members, on the simulation's clock and network.
// Processor time and memory are those of the complete simulation, divided by the members: more than a
// node's.
func View(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(ctx, "view", "members", sizes, nil, report, func(n int) (map[string]float64, error) {
		began := fleet.OwnCPU()
		g, err := membership.Growth{Nodes: n, Seed: 1, Cut: partitionTime}.Measure(ctx)
		if err != nil {
			return nil, err
		}
		return map[string]float64{
			"datagrams_per_s":      g.DatagramsPerSecond,
			"datagram_bytes_per_s": g.BytesPerSecond,
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

package scale

import (
	"context"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/sim/membership"
)

const partitionTime = 30 * time.Second // how long the two halves are partitioned

// Partition returns a measurement that partitions the fleet into halves for the time cut, on the simulation's
// clock, and measures the time from the end of the partition until all nodes have the same view. During the
// partition, one in forty of the fleet's nodes dies in each half, and as many join.
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

// MembershipView measures the membership view of the fleet by the number of members, on the simulation's
// clock and network. The processor time is that of the complete simulation divided by the members, which is
// more than a node's.
func MembershipView(ctx context.Context, run Run, sizes []int, report func(Point)) error {
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

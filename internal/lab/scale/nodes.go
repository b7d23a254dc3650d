package scale

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/backoff"
)

const (
	changeInterval = 300 * time.Millisecond // between two changes of the list
	readyTimeout   = time.Minute
	stopTimeout    = 10 * time.Second
	sampledNodes   = 3 // number of nodes whose sent datagrams are counted
)

// Nodes holds the parameters of a measurement of nodes.
type Nodes struct {
	RegistryRun
	Kind          string   // hollow or real
	StartCommand  []string // command of a process; for hollow nodes, their folder and number are appended
	View          bool     // whether the nodes have a membership view of the fleet
	NotifiedNodes int      // fleet size of which the nodes are notified, if it is greater than their number

	Watchers int // number of further hollow clients of the replica, each with its own subset
	extra    extraNodes
}

// Measure measures nodes at rest and during changes of the list, by the numbers of nodes and backends.
func (n *Nodes) Measure(ctx context.Context, sizes []Sizes) error {
	return n.measureSizes(
		ctx,
		n.Kind,
		sizes,
		func(r rig) (map[string]float64, error) { return n.measureUse(ctx, r) },
	)
}

// measureSizes records the figures that do returns. It starts new nodes for each size and repetition.
func (n *Nodes) measureSizes(
	ctx context.Context,
	measurement string,
	sizes []Sizes,
	do func(rig) (map[string]float64, error),
) error {
	return n.record(measurement, func() (points []Point, err error) {
		for _, size := range sizes {
			pointSizes := map[string]int{"nodes": size.Nodes, "backends": size.Backends}
			for name, count := range map[string]int{
				"watchers": n.Watchers, "beside": n.extra.nodes, "restarts_per_h": n.extra.restartsPerHour,
			} {
				if count > 0 {
					pointSizes[name] = count
				}
			}
			p, err := repeated(n.Repeat, pointSizes, func() (f map[string]float64, err error) {
				err = n.withNodes(ctx, size, func(r rig) error {
					f, err = do(r)
					return err
				})
				return f, err
			})
			if err != nil {
				return nil, err
			}
			n.Report(p)
			points = append(points, p)
		}
		return points, nil
	})
}

// measureUse measures the resources that the nodes use at rest and during changes of the list.
func (n *Nodes) measureUse(ctx context.Context, r rig) (map[string]float64, error) {
	sentBefore, err := trafficSentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	before, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	backoff.Sleep(ctx, n.RestTime)
	afterRest, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	start, changes := time.Now(), 0
	for ; time.Since(start) < n.RestTime-changeInterval; changes++ {
		if _, err := registerRestart(ctx, r.k, changes, r.Backends); err != nil {
			return nil, err
		}
		backoff.Sleep(ctx, time.Until(start.Add(time.Duration(changes+1)*changeInterval)))
	}
	backoff.Sleep(ctx, time.Until(start.Add(n.RestTime)))
	if _, err := r.k.Remove(ctx, fmt.Sprintf("s-%08x", r.Backends-1), nil); err != nil {
		return nil, err
	}
	changes++
	if !n.Subsets { // with subsets, only some nodes have had the removed server
		// Without this wait, the measurement could end before the nodes have processed the last changes.
		if err := r.awaitStat(ctx, "discovered", r.Backends-1); err != nil {
			return nil, err
		}
	}
	afterChanges, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	sentAfter, err := trafficSentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	took := 2 * n.RestTime.Seconds() * min(sampledNodes, float64(r.Nodes))
	rest, work, nodeCount := afterRest.minus(before), afterChanges.minus(afterRest), float64(r.Nodes)
	perRest := func(total float64) float64 { return total / n.RestTime.Seconds() / nodeCount }
	perChange := func(rest, work float64) float64 {
		return max(0, work-rest) / float64(changes) / nodeCount
	}
	return map[string]float64{
		"rest_cores":     perRest(seconds(rest.CPU)),
		"rest_bytes_in":  perRest(rest.Read),
		"rest_bytes_out": perRest(rest.Written),
		"change_cpu_s": perChange(
			seconds(rest.CPU),
			seconds(work.CPU),
		),
		"change_bytes_in": perChange(rest.Read, work.Read),
		"change_bytes_out": perChange(
			rest.Written,
			work.Written,
		),
		"memory_bytes":         afterChanges.RSS / nodeCount,
		"descriptors":          afterChanges.FDs / nodeCount,
		"datagrams_per_s":      (sentAfter.datagrams - sentBefore.datagrams) / took,
		"datagram_bytes_per_s": (sentAfter.bytes - sentBefore.bytes) / took,
	}, nil
}

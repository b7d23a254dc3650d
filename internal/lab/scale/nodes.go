package scale

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/backoff"
)

const (
	changeInterval = 300 * time.Millisecond // between two changes
	readyTimeout   = time.Minute
	stopTimeout    = 10 * time.Second
	sampledNodes   = 3 // number of nodes whose figures of datagrams are read
)

// Nodes says which nodes are measured.
type Nodes struct {
	Lists
	Kind          string   // hollow or real
	Start         []string // command; for a hollow process, its folder and number of nodes are appended
	View          bool     // whether nodes have a view of the fleet
	NotifiedNodes int      // size of the fleet of which nodes are notified, if greater than their number

	Watchers int // further hollow clients of the replica, each with its own subset
	extra    extraNodes
}

// Measure measures nodes at rest and during changes, by the number of nodes and of backends that they know.
func (n *Nodes) Measure(ctx context.Context, sizes []Sizes) error {
	return n.measureSizes(
		ctx,
		n.Kind,
		sizes,
		func(r rig) (map[string]float64, error) { return n.measureUse(ctx, r) },
	)
}

// measureSizes records what do returns, with fresh nodes for each size and repetition.
func (n *Nodes) measureSizes(
	ctx context.Context,
	what string,
	sizes []Sizes,
	do func(rig) (map[string]float64, error),
) error {
	return n.record(what, func() (all []Point, err error) {
		for _, size := range sizes {
			by := map[string]int{"nodes": size.Nodes, "backends": size.Backends}
			for name, more := range map[string]int{
				"watchers": n.Watchers, "beside": n.extra.nodes, "restarts_per_h": n.extra.restarts,
			} {
				if more > 0 {
					by[name] = more
				}
			}
			p, err := repeated(n.Repeat, by, func() (f map[string]float64, err error) {
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
			all = append(all, p)
		}
		return all, nil
	})
}

// measureUse measures what the nodes use at rest and during changes.
func (n *Nodes) measureUse(ctx context.Context, r rig) (map[string]float64, error) {
	sent, err := trafficSentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	begun, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	backoff.Sleep(ctx, n.RestTime)
	rested, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	start, made := time.Now(), 0
	for ; time.Since(start) < n.RestTime-changeInterval; made++ {
		if _, err := registerRestart(ctx, r.k, made, r.Backends); err != nil {
			return nil, err
		}
		backoff.Sleep(ctx, time.Until(start.Add(time.Duration(made+1)*changeInterval)))
	}
	backoff.Sleep(ctx, time.Until(start.Add(n.RestTime)))
	if _, err := r.k.Remove(ctx, fmt.Sprintf("s-%08x", r.Backends-1), nil); err != nil {
		return nil, err
	}
	made++
	if !n.Subsets { // with subsets, only some nodes have the removed server
		// Without this wait the measured use could lack that of the last changes.
		if err := r.awaitStat(ctx, "discovered", r.Backends-1); err != nil {
			return nil, err
		}
	}
	worked, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	sentAll, err := trafficSentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	took := 2 * n.RestTime.Seconds() * min(sampledNodes, float64(r.Nodes))
	rest, work, each := rested.minus(begun), worked.minus(rested), float64(r.Nodes)
	perRest := func(all float64) float64 { return all / n.RestTime.Seconds() / each }
	perChange := func(rest, work float64) float64 {
		return max(0, work-rest) / float64(made) / each
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
		"memory_bytes":         worked.RSS / each,
		"descriptors":          worked.FDs / each,
		"datagrams_per_s":      (sentAll.datagrams - sent.datagrams) / took,
		"datagram_bytes_per_s": (sentAll.bytes - sent.bytes) / took,
	}, nil
}

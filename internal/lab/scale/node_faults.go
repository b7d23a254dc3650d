package scale

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

// RackLoss measures the loss of a rack: its nodes are killed at once, and the leases of its backends are no
// longer renewed.
func (n *Nodes) RackLoss(ctx context.Context, p Plan, sizes []Sizes) error {
	n.extra = extraNodes{nodes: int(p.Assumed.RackNodes), leaseTTL: registry.MaxTTL}
	return n.measureSizes(ctx, "rack", sizes, func(r rig) (map[string]float64, error) {
		return r.loseRack(ctx, int(p.Assumed.RackBackends), time.Duration(p.Assumed.TTL*float64(time.Second)))
	})
}

// loseRack registers the first backends, as many as lost says, with leases of length ttl that nobody renews,
// and kills the extra nodes. All other entries have leases too, because the registry bounds the entries that
// may expire at once to a share of the leased entries.
func (r rig) loseRack(ctx context.Context, lost int, ttl time.Duration) (map[string]float64, error) {
	if err := concurrently(ctx, 0, lost, registerEntry(r.k, ttl)); err != nil {
		return nil, err
	}
	renewed := time.Now()
	var viewSettled, settled time.Duration
	f, err := r.measureCost(ctx, func() error {
		if err := r.extra.Kill(); err != nil {
			return err
		}
		killed := time.Now()
		g, ctx := errgroup.WithContext(ctx)
		if r.view {
			g.Go(func() error {
				err := r.awaitStat(ctx, "fleet.alive", r.Nodes)
				viewSettled = time.Since(killed)
				return err
			})
		}
		g.Go(func() error {
			backoff.Sleep(ctx, time.Until(renewed.Add(ttl))) // no lease expires before that
			err := r.awaitEndpoints(ctx, entryNames(lost, r.Backends))
			settled = time.Since(renewed.Add(ttl))
			return err
		})
		return g.Wait()
	})
	if err != nil {
		return nil, err
	}
	f["lost_backends"], f["ttl_s"], f["settled_s"] = float64(lost), seconds(ttl), seconds(settled)
	if r.view {
		f["view_s"] = seconds(viewSettled)
	}
	return f, nil
}

// RollingReplacement measures the rolling replacement of nodes and backends. Each value of restartsPerHour is
// the rate of both together, which is divided in proportion to their numbers in the plan.
func (n *Nodes) RollingReplacement(
	ctx context.Context, p Plan, sizes []Sizes, restartsPerHour []int, length time.Duration) error {
	for _, perHour := range restartsPerHour {
		// share of the fleet that restarts in a second
		share := float64(perHour) / (p.Demand.Nodes + p.Demand.Backends) / time.Hour.Seconds()
		n.extra = extraNodes{
			nodes: int(p.Assumed.RackNodes), restartInterval: interval(share * p.Demand.Nodes),
			restartsPerHour: perHour,
		}
		err := n.measureSizes(
			ctx,
			"roll",
			sizes,
			func(r rig) (map[string]float64, error) { return r.roll(ctx, interval(share*p.Demand.Backends), length) },
		)
		if err != nil {
			return fmt.Errorf("%d restarts an hour: %w", perHour, err)
		}
	}
	return nil
}

// interval returns the time between two events that occur at a rate a second.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// roll replaces backends one by one, each by a backend with another name, and waits until every node has
// exactly the registered backends.
func (r rig) roll(
	ctx context.Context, replaceInterval, length time.Duration) (map[string]float64, error) {
	var replaced int
	var written, settled time.Duration
	f, err := r.measureCost(ctx, func() error {
		start := time.Now()
		for ; time.Duration(replaced)*replaceInterval < length; replaced++ {
			if !backoff.Sleep(ctx, time.Until(start.Add(time.Duration(replaced)*replaceInterval))) {
				return ctx.Err()
			}
			if _, err := r.k.Remove(ctx, entryName(replaced), nil); err != nil {
				return err
			}
			if _, err := r.k.Register(ctx, entryOf(r.Backends+replaced), 0, nil); err != nil {
				return err
			}
		}
		backoff.Sleep(ctx, time.Until(start.Add(length)))
		written = time.Since(start)
		err := r.awaitEndpoints(ctx, entryNames(replaced, r.Backends+replaced))
		settled = time.Since(start) - written
		return err
	})
	if err != nil {
		return nil, err
	}
	measuredSeconds := f["took_s"] + 1 // measureCost measures for one second more than the replacement takes
	return map[string]float64{
		"replaced":             float64(replaced),
		"replaced_per_s":       float64(replaced) / seconds(written),
		"settled_s":            seconds(settled),
		"node_cores":           f["node_cpu_s"] / measuredSeconds,
		"node_bytes_in":        f["node_bytes_in"] / measuredSeconds,
		"node_bytes_kept":      f["node_bytes_kept"] / measuredSeconds,
		"node_peak_cores":      f["node_peak_cores"],
		"node_peak_bytes":      f["node_peak_bytes"],
		"node_memory_bytes":    f["node_memory_bytes"],
		"replica_cores":        f["replica_cpu_s"] / measuredSeconds,
		"replica_bytes_out":    f["replica_bytes_out"] / measuredSeconds,
		"replica_peak_cores":   f["replica_peak_cores"],
		"replica_peak_bytes":   f["replica_peak_bytes"],
		"replica_memory_bytes": f["replica_memory_bytes"],
	}, nil
}

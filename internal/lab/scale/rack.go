package scale

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

// Rack measures the loss of a rack: its nodes are killed at once, and the leases of its backends are no
// longer renewed.
func (n *Nodes) Rack(ctx context.Context, p Plan, sizes []Sizes) error {
	n.extra = extraNodes{nodes: int(p.Assumed.RackNodes), lease: registry.MaxTTL}
	return n.measureSizes(ctx, "rack", sizes, func(r rig) (map[string]float64, error) {
		return r.rack(ctx, int(p.Assumed.RackBackends), time.Duration(p.Assumed.TTL*float64(time.Second)))
	})
}

// rack ends the renewals of as many backends as lost says. All entries have leases, as those that may
// expire at once are a share of the leased entries.
func (r rig) rack(ctx context.Context, lost int, ttl time.Duration) (map[string]float64, error) {
	if err := concurrently(ctx, 0, lost, registerEntry(r.k, ttl)); err != nil {
		return nil, err
	}
	renewed := time.Now()
	var known, settled time.Duration
	f, err := r.measureCost(ctx, func() error {
		if err := r.extra.Kill(); err != nil {
			return err
		}
		killed := time.Now()
		g, ctx := errgroup.WithContext(ctx)
		if r.View {
			g.Go(func() error {
				err := r.awaitStat(ctx, "fleet.alive", r.Nodes)
				known = time.Since(killed)
				return err
			})
		}
		g.Go(func() error {
			backoff.Sleep(ctx, time.Until(renewed.Add(ttl))) // no lease expires earlier
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
	if r.View {
		f["view_s"] = seconds(known)
	}
	return f, nil
}

// Roll measures rolling replacement of nodes and backends. Each value of restarts is a rate an hour for
// both together, divided in proportion to their numbers in the plan.
func (n *Nodes) Roll(ctx context.Context, p Plan, sizes []Sizes, restarts []int, last time.Duration) error {
	for _, perHour := range restarts {
		// share of the fleet that restarts in a second
		share := float64(perHour) / (p.Plan.Nodes + p.Plan.Backends) / time.Hour.Seconds()
		n.extra = extraNodes{
			nodes: int(p.Assumed.RackNodes), every: interval(share * p.Plan.Nodes), restarts: perHour,
		}
		err := n.measureSizes(
			ctx,
			"roll",
			sizes,
			func(r rig) (map[string]float64, error) { return r.roll(ctx, interval(share*p.Plan.Backends), last) },
		)
		if err != nil {
			return fmt.Errorf("%d restarts an hour: %w", perHour, err)
		}
	}
	return nil
}

// interval is the time between two events that come at a rate a second.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// roll replaces backends one by one, each by a backend of another name, and waits until every node has
// exactly the remaining ones.
func (r rig) roll(ctx context.Context, pace, last time.Duration) (map[string]float64, error) {
	var done int
	var written, settled time.Duration
	f, err := r.measureCost(ctx, func() error {
		start := time.Now()
		for ; time.Duration(done)*pace < last; done++ {
			if !backoff.Sleep(ctx, time.Until(start.Add(time.Duration(done)*pace))) {
				return ctx.Err()
			}
			if _, err := r.k.Remove(ctx, entryName(done), nil); err != nil {
				return err
			}
			if _, err := r.k.Register(ctx, entryOf(r.Backends+done), 0, nil); err != nil {
				return err
			}
		}
		backoff.Sleep(ctx, time.Until(start.Add(last)))
		written = time.Since(start)
		err := r.awaitEndpoints(ctx, entryNames(done, r.Backends+done))
		settled = time.Since(start) - written
		return err
	})
	if err != nil {
		return nil, err
	}
	over := f["took_s"] + 1 // measureCost continues for one second after the play
	return map[string]float64{
		"replaced":             float64(done),
		"replaced_per_s":       float64(done) / seconds(written),
		"settled_s":            seconds(settled),
		"node_cores":           f["node_cpu_s"] / over,
		"node_bytes_in":        f["node_bytes_in"] / over,
		"node_bytes_kept":      f["node_bytes_kept"] / over,
		"node_peak_cores":      f["node_peak_cores"],
		"node_peak_bytes":      f["node_peak_bytes"],
		"node_memory_bytes":    f["node_memory_bytes"],
		"replica_cores":        f["replica_cpu_s"] / over,
		"replica_bytes_out":    f["replica_bytes_out"] / over,
		"replica_peak_cores":   f["replica_peak_cores"],
		"replica_peak_bytes":   f["replica_peak_bytes"],
		"replica_memory_bytes": f["replica_memory_bytes"],
	}, nil
}

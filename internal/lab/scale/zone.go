package scale

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"indigotack/internal/pause"
)

const (
	zones     = 7
	operators = 64 // that write at once
	lookEvery = 10 * time.Millisecond
)

// Zone plays a zone's backends gone at once and back at once, before nodes that follow.
func (n *Nodes) Zone(ctx context.Context, sizes []Sizes) error {
	return n.record("zone", func() (all []Point, err error) {
		for _, size := range sizes {
			by := map[string]int{"nodes": size.Nodes, "backends": size.Backends}
			p, err := repeated(n.Repeat, by, func() (f map[string]float64, err error) {
				err = n.with(ctx, size, func(r rig) error {
					f, err = r.zone(ctx)
					return err
				})
				return f, err
			})
			if err != nil {
				return nil, err
			}
			n.Say(p)
			all = append(all, p)
		}
		return all, nil
	})
}

// zone takes the entries of a zone away, and puts them back as servers that have just started.
func (r rig) zone(ctx context.Context) (map[string]float64, error) {
	lost := r.Backends / zones
	gone, err := r.wave(ctx, lost, r.Backends-lost, func(ctx context.Context, i int) error {
		_, err := r.k.Remove(ctx, entryName(i), nil)
		return err
	})
	if err != nil {
		return nil, err
	}
	back, err := r.wave(ctx, lost, r.Backends, func(ctx context.Context, i int) error {
		_, err := change(ctx, r.k, i, r.Backends)
		return err
	})
	for name, f := range back {
		gone["back_"+name] = f
	}
	return gone, err
}

// wave makes changes as fast as they are taken, and waits until every node knows of so many servers.
func (r rig) wave(ctx context.Context, changes, left int, one func(context.Context, int) error) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	nodes, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	service, err := useOf(r.service.Pid)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	var g errgroup.Group
	g.SetLimit(operators)
	for i := range changes {
		g.Go(func() error { return one(ctx, i) })
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	written := time.Now()
	if err := r.all(ctx, "discovered", left); err != nil {
		return nil, err
	}
	settled := time.Now()
	pause.For(ctx, time.Second) // what is kept is written
	nodesAfter, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	serviceAfter, err := useOf(r.service.Pid)
	work, served, each := nodesAfter.minus(nodes), serviceAfter.minus(service), float64(r.Nodes)
	return map[string]float64{"changes": float64(changes), "written_s": seconds(written.Sub(began)), "settled_s": seconds(settled.Sub(written)),
		"node_cpu_s": seconds(work.CPU) / each, "node_bytes_in": work.Read / each, "node_bytes_kept": work.Written / each,
		"replica_cpu_s": seconds(served.CPU), "replica_bytes_out": served.Written}, err
}

// all waits until a figure of every node is so much.
func (r rig) all(ctx context.Context, figure string, want int) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for i, at := range r.controls {
		for {
			f, err := statsOf(ctx, at)
			if err != nil {
				return err
			}
			if f[figure] == float64(want) {
				break
			}
			if !pause.For(ctx, lookEvery) {
				return fmt.Errorf("node %d of %d has %s %v, not %d: %w", i, len(r.controls), figure, f[figure], want, ctx.Err())
			}
		}
	}
	return nil
}

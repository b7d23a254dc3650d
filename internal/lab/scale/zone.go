package scale

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/registry/client"
)

const (
	zones     = 7
	operators = 64 // that write at once
)

// Zone plays a zone's backends gone at once and back at once, before nodes that follow.
func (n *Nodes) Zone(ctx context.Context, sizes []Sizes) error {
	return n.played(ctx, "zone", sizes, func(r rig) (map[string]float64, error) { return r.zone(ctx) })
}

// zone takes the entries of a zone away, and puts them back as servers that have just started.
func (r rig) zone(ctx context.Context) (map[string]float64, error) {
	lost := r.Backends / zones
	gone, err := r.wave(ctx, lost, namesOf(lost, r.Backends), func(ctx context.Context, i int) error {
		_, err := r.k.Remove(ctx, entryName(i), nil)
		return err
	})
	if err != nil {
		return nil, err
	}
	back, err := r.wave(ctx, lost, namesOf(0, r.Backends), registering(r.k, 0))
	for name, f := range back {
		gone["back_"+name] = f
	}
	return gone, err
}

// wave makes changes as fast as they are taken, and waits until every node knows of these servers and no
// others.
func (r rig) wave(
	ctx context.Context,
	changes int,
	left []string,
	one func(context.Context, int) error,
) (map[string]float64, error) {
	var written, settled time.Duration
	f, err := r.spent(ctx, func() error {
		began := time.Now()
		if err := together(ctx, 0, changes, one); err != nil {
			return err
		}
		written = time.Since(began)
		err := r.know(ctx, left)
		settled = time.Since(began) - written
		return err
	})
	if err != nil {
		return nil, err
	}
	f["changes"], f["written_s"], f["settled_s"] = float64(changes), seconds(written), seconds(settled)
	return f, nil
}

// together makes calls, many at a time.
func together(ctx context.Context, from, to int, one func(context.Context, int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(operators)
	for i := from; i < to; i++ {
		g.Go(func() error { return one(ctx, i) })
	}
	return g.Wait()
}

// registering gives a call that registers an entry by its number, as a server that has just started.
func registering(k *client.Client, ttl time.Duration) func(context.Context, int) error {
	return func(ctx context.Context, i int) error {
		_, err := k.Register(ctx, entryOf(i), ttl, nil)
		return err
	}
}

// namesOf are those of entries from one number up to another.
func namesOf(from, to int) (all []string) {
	for i := from; i < to; i++ {
		all = append(all, entryName(i))
	}
	return all
}

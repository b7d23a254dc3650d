package scale

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/registry/client"
)

const (
	zoneCount        = 7
	concurrentWrites = 64 // calls made at once
)

// Zone measures the loss and the return of all backends of a zone at once, with nodes that follow the list.
func (n *Nodes) Zone(ctx context.Context, sizes []Sizes) error {
	return n.measureSizes(ctx, "zone", sizes, func(r rig) (map[string]float64, error) { return r.zone(ctx) })
}

// zone removes the entries of a zone, and registers them again as servers that have just started.
func (r rig) zone(ctx context.Context) (map[string]float64, error) {
	lost := r.Backends / zoneCount
	gone, err := r.applyAndAwait(
		ctx,
		lost,
		entryNames(lost, r.Backends),
		func(ctx context.Context, i int) error {
			_, err := r.k.Remove(ctx, entryName(i), nil)
			return err
		},
	)
	if err != nil {
		return nil, err
	}
	back, err := r.applyAndAwait(ctx, lost, entryNames(0, r.Backends), registerEntry(r.k, 0))
	for name, f := range back {
		gone["back_"+name] = f
	}
	return gone, err
}

// applyAndAwait makes changes as fast as the registry accepts them, and waits until every node has exactly
// the remaining servers.
func (r rig) applyAndAwait(
	ctx context.Context,
	changes int,
	remaining []string,
	one func(context.Context, int) error,
) (map[string]float64, error) {
	var written, settled time.Duration
	f, err := r.measureCost(ctx, func() error {
		began := time.Now()
		if err := concurrently(ctx, 0, changes, one); err != nil {
			return err
		}
		written = time.Since(began)
		err := r.awaitEndpoints(ctx, remaining)
		settled = time.Since(began) - written
		return err
	})
	if err != nil {
		return nil, err
	}
	f["changes"], f["written_s"], f["settled_s"] = float64(changes), seconds(written), seconds(settled)
	return f, nil
}

// concurrently makes the calls from one number up to another, concurrentWrites at a time.
func concurrently(ctx context.Context, from, to int, one func(context.Context, int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(concurrentWrites)
	for i := from; i < to; i++ {
		g.Go(func() error { return one(ctx, i) })
	}
	return g.Wait()
}

// registerEntry returns a call that registers the i-th entry, as a server that has just started.
func registerEntry(k *client.Client, ttl time.Duration) func(context.Context, int) error {
	return func(ctx context.Context, i int) error {
		_, err := k.Register(ctx, entryOf(i), ttl, nil)
		return err
	}
}

// entryNames are the names of the entries from one number up to another, which is excluded.
func entryNames(from, to int) (all []string) {
	for i := from; i < to; i++ {
		all = append(all, entryName(i))
	}
	return all
}

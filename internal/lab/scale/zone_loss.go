package scale

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/registry/client"
)

const (
	zoneCount        = 7
	concurrentWrites = 64 // number of calls in flight at once
)

// ZoneLoss measures nodes that follow the list while all backends of a zone are lost at once, and return at
// once.
func (n *Nodes) ZoneLoss(ctx context.Context, sizes []Sizes) error {
	return n.measureSizes(ctx, "zone", sizes, func(r rig) (map[string]float64, error) { return r.loseZone(ctx) })
}

// loseZone removes the entries of a zone, and registers them again as servers that have just started.
func (r rig) loseZone(ctx context.Context) (map[string]float64, error) {
	lost := r.Backends / zoneCount
	figures, err := r.applyAndAwait(
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
	figuresBack, err := r.applyAndAwait(ctx, lost, entryNames(0, r.Backends), registerEntry(r.k, 0))
	for name, f := range figuresBack {
		figures["back_"+name] = f
	}
	return figures, err
}

// applyAndAwait makes changes as fast as the registry accepts them, and waits until every node has exactly
// the remaining servers.
func (r rig) applyAndAwait(
	ctx context.Context,
	changes int,
	remaining []string,
	change func(context.Context, int) error,
) (map[string]float64, error) {
	var written, settled time.Duration
	f, err := r.measureCost(ctx, func() error {
		began := time.Now()
		if err := concurrently(ctx, 0, changes, change); err != nil {
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

// concurrently calls the function with each number from the first up to the last, which is excluded;
// concurrentWrites calls run at a time.
func concurrently(ctx context.Context, from, to int, call func(context.Context, int) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(concurrentWrites)
	for i := from; i < to; i++ {
		g.Go(func() error { return call(ctx, i) })
	}
	return g.Wait()
}

// registerEntry returns a function that registers the i-th entry, as a server that has just started.
func registerEntry(k *client.Client, ttl time.Duration) func(context.Context, int) error {
	return func(ctx context.Context, i int) error {
		_, err := k.Register(ctx, entryOf(i), ttl, nil)
		return err
	}
}

// entryNames returns the names of the entries with the numbers from the first up to the last, which is
// excluded.
func entryNames(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, entryName(i))
	}
	return names
}

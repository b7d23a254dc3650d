package sim

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Played is one schedule and what it came to.
type Played struct {
	Seed   uint64
	Faults []Fault
	Broken *Broken // nil: all held
}

// Series plays the schedules of seeds from first on, some at once, until ctx ends. Each is told, from several
// goroutines.
func (p Play) Series(ctx context.Context, first uint64, n, together int, told func(Played)) error {
	var g errgroup.Group
	g.SetLimit(together)
	for i := range uint64(n) {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			one := Played{Seed: first + i, Faults: p.Faults(first + i)}
			_, one.Broken = p.Run(one.Seed, one.Faults)
			told(one)
			return nil
		})
	}
	return g.Wait()
}

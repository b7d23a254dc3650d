package sim

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// ScheduleResult is a schedule of faults and the result of its simulation.
type ScheduleResult struct {
	Seed      uint64
	Faults    []Fault
	Violation *Violation // nil: no check failed
}

// Series simulates the schedules of n consecutive seeds from first on, up to parallel of them at a time,
// until all are done or ctx ends. It passes each result to report, from several goroutines at once.
func (p Play) Series(ctx context.Context, first uint64, n, parallel int, report func(ScheduleResult)) error {
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range uint64(n) {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			result := ScheduleResult{Seed: first + i, Faults: p.Faults(first + i)}
			_, result.Violation = p.Run(result.Seed, result.Faults)
			report(result)
			return nil
		})
	}
	return g.Wait()
}

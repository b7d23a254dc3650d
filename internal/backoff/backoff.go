// Package backoff waits between attempts. Sleep waits for a given time or until a context ends. FullJitter
// draws random waits whose bound grows with each failure, so that clients that failed at the same time do not
// retry at the same time.
package backoff

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it did: false means that ctx ended first. It does not wait if d is 0
// or less.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// FullJitter is an exponential backoff whose waits are drawn uniformly between 0 and a bound. The bound
// starts at First and doubles with each wait until it reaches Max. It is not safe for concurrent use.
type FullJitter struct {
	First time.Duration // bound of the first wait
	Max   time.Duration // maximum of the bound
	bound time.Duration // bound of the next wait; 0: no wait has been drawn yet
}

// Next draws the next wait, at least 1 ns. draw returns a random number from 0 to n-1, as rand.Int64N does.
func (b *FullJitter) Next(draw func(n int64) int64) time.Duration {
	if b.bound == 0 {
		b.bound = b.First
	}
	wait := time.Duration(draw(int64(b.bound)) + 1)
	b.bound = min(2*b.bound, b.Max)
	return wait
}

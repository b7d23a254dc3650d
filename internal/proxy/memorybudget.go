package proxy

import (
	"context"
	"errors"
)

// memoryBudget bounds how many messages that are not small are in memory at a time, in each direction, so
// that they take an eighth of the memory at most.
type memoryBudget chan struct{}

var errNoMemory = errors.New("no room for long messages")

func newMemoryBudget(memoryMB int) memoryBudget {
	return make(memoryBudget, max(8, memoryMB<<20/8/messageMemory))
}

// reserveOnce returns a function that takes a place of the budget once, and sets back to what returns it.
func (b memoryBudget) reserveOnce(release *func()) func(context.Context) error {
	return func(ctx context.Context) error {
		if *release != nil {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, memoryWait)
		defer cancel()
		select {
		case b <- struct{}{}:
			*release = func() { <-b }
			return nil
		case <-ctx.Done():
			return errNoMemory
		}
	}
}

// releaseBudget returns the place of the budget that a response has taken.
func (c *conn) releaseBudget() {
	if c.releaseMemory != nil {
		c.releaseMemory()
		c.releaseMemory = nil
	}
}

package proxy

import (
	"context"
	"errors"
)

// memoryBudget bounds how many messages over maxSmallBody are in memory at a time in one direction (requests
// or responses), so that they take at most an eighth of the memory.
type memoryBudget chan struct{}

// errNoMemory means that no memory for a message became free within memoryWait.
var errNoMemory = errors.New("no room for long messages")

// newMemoryBudget returns the budget of one direction for a proxy that may use memoryMB megabytes.
func newMemoryBudget(memoryMB int) memoryBudget {
	return make(memoryBudget, max(8, memoryMB<<20/8/messageMemory))
}

// reserveOnce returns a function that reserves the memory of one message, and sets release to the
// function that returns it. Further calls reserve nothing.
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

// releaseBudget returns the memory that is reserved for a response, if any.
func (c *conn) releaseBudget() {
	if c.releaseMemory != nil {
		c.releaseMemory()
		c.releaseMemory = nil
	}
}

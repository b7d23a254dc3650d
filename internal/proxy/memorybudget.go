package proxy

import (
	"context"
	"errors"
)

// memoryBudget bounds how many messages that are not small are held at a time, each
// way, so that an eighth of the memory does for them.
type memoryBudget chan struct{}

var errNoMemory = errors.New("no room for long messages")

func newMemoryBudget(memoryMB int) memoryBudget {
	return make(memoryBudget, max(8, memoryMB<<20/8/messageMemory))
}

// reserveOnce gives a way to take room once, and notes how to give it back.
func (r memoryBudget) reserveOnce(back *func()) func(context.Context) error {
	return func(ctx context.Context) error {
		if *back != nil {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, memoryWait)
		defer cancel()
		select {
		case r <- struct{}{}:
			*back = func() { <-r }
			return nil
		case <-ctx.Done():
			return errNoMemory
		}
	}
}

// releaseBudget gives back what an answer has taken.
func (c *conn) releaseBudget() {
	if c.releaseMemory != nil {
		c.releaseMemory()
		c.releaseMemory = nil
	}
}

package proxy

import (
	"errors"
	"sync"
)

// errResponseCut is the error of a response that the proxy has cancelled.
var errResponseCut = errors.New("response cancelled by the proxy")

// canceller lets one goroutine interrupt an operation that another goroutine runs. A cancellation that comes
// after the operation has no effect on what the other goroutine does next.
type canceller struct {
	mu        sync.Mutex
	interrupt func() // interrupts the operation; nil before the operation begins and after it ends
	finished  bool
	cancelled bool
}

// begin registers the function by which cancel interrupts the operation.
func (c *canceller) begin(interrupt func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = interrupt
}

// cancel interrupts the operation, unless it has finished. If the operation has not begun yet, isCancelled
// reports the cancellation to it.
func (c *canceller) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	if c.cancelled = true; c.interrupt != nil {
		c.interrupt()
	}
}

// isCancelled reports whether the operation has been cancelled. The operation has to call it after each step
// that would undo the effect of interrupt, such as setting a new deadline.
func (c *canceller) isCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled
}

// finish marks the operation as ended, and returns errResponseCut if it was cancelled, otherwise err.
func (c *canceller) finish(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished, c.interrupt = true, nil; c.cancelled {
		return errResponseCut
	}
	return err
}

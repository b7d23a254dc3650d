package proxy

import (
	"errors"
	"sync"
)

// errResponseCut ends an answer that this proxy may not go on with.
var errResponseCut = errors.New("the answer is cut off")

// canceller ends from elsewhere what one goroutine is busy with, and never what comes after that.
type canceller struct {
	mu        sync.Mutex
	interrupt func() // breaks what is under way; nil: it has not begun, or is over
	finished  bool
	cancelled bool
}

// begin begins what end breaks.
func (c *canceller) begin(interrupt func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = interrupt
}

// cancel ends it.
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

// isCancelled reports whether it is to end. It is asked after all that would undo what end did.
func (c *canceller) isCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled
}

// finish says that it is over, and how.
func (c *canceller) finish(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished, c.interrupt = true, nil; c.cancelled {
		return errResponseCut
	}
	return err
}

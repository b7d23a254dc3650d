package listener

import (
	"context"
	"time"

	"wrenspread/internal/proxy/memory"
)

const (
	// headMemoryWait is how long a head waits for memory before its request is rejected.
	headMemoryWait = 100 * time.Millisecond
	// reclaimInterval is the time between two evictions for want of memory, as a connection needs some to end.
	reclaimInterval = 5 * time.Millisecond
	// minIncompleteTime is the time that a client has to send its request, however short memory is.
	minIncompleteTime = time.Second
)

// admitHead reserves the memory of the current head, as far as it has come, and of its request. If there is
// none for headMemoryWait, it rejects the request and returns an error. The HTTP server writes nothing
// meanwhile, as it reads the head of the next request only when the previous response has been written.
func (c *Conn) admitHead() error {
	cost := memory.Request + c.framing.headCost()
	if c.framing.headBytes == 0 || cost <= c.headReserved {
		return nil
	}
	more := cost - c.headReserved
	c.mu.Unlock() // closing a connection that is not in use, for its memory, takes other locks first
	ctx, cancel := context.WithTimeout(context.Background(), headMemoryWait)
	err := c.memory.Grow(ctx, more, nil)
	cancel()
	c.mu.Lock()
	if err != nil {
		return c.respondUnread(endForMemory)
	}
	c.headReserved = cost
	return nil
}

// Memory returns the reservation of the connection. It holds what its requests and their responses take until
// the connection is idle again.
func (c *Conn) Memory() *memory.Reservation { return c.memory }

// releaseRequestMemory returns what has been reserved for the last request.
func (c *Conn) releaseRequestMemory() {
	c.headReserved = 0
	c.memory.ShrinkTo(memory.Connection + int64(len(c.pipelined)))
}

// reclaim frees memory for ordinary requests.
func (l *Listener) reclaim() {
	now := time.Now().UnixNano()
	last := l.reclaimedAt.Load()
	if now-last >= int64(reclaimInterval) && l.reclaimedAt.CompareAndSwap(last, now) {
		l.evict()
	}
}

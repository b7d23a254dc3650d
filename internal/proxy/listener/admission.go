package listener

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/memory"
)

const (
	// headMemoryWait is how long a head waits for memory before its request is rejected.
	headMemoryWait = 100 * time.Millisecond
	// reclaimInterval is the time between two evictions for want of memory, as a connection needs some to end.
	reclaimInterval = 5 * time.Millisecond
	// minIncompleteTime is the time that a client has to send its request, however short memory is.
	minIncompleteTime = time.Second
	// rejectionWriteTimeout bounds the write of a rejection.
	rejectionWriteTimeout = 500 * time.Millisecond
	rejectionBody         = "no memory for the request\n"
)

// rejection is the response to a request whose head there is no memory for. Nothing of it has been forwarded.
var rejection = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Retry-After: 1\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(rejectionBody)) + "\r\n\r\n" +
	rejectionBody)

// errRejected ends the connection. The HTTP server writes nothing for an error of a read.
var errRejected = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request has been rejected")}

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
	if err != nil {
		c.reject()
	}
	c.mu.Lock()
	if err != nil {
		return errRejected
	}
	c.headReserved = cost
	return nil
}

// reject writes the rejection.
func (c *Conn) reject() {
	c.memory.ShrinkTo(memory.Connection)
	besteffort.SocketOption(c.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout)))
	besteffort.Output(c.Write(rejection))
	if c.listener.OnReject != nil {
		c.listener.OnReject()
	}
}

// Memory returns the reservation of the connection. It holds what its requests and their responses take until
// the connection is idle again.
func (c *Conn) Memory() *memory.Reservation { return c.memory }

// releaseRequestMemory returns what has been reserved for the last request.
func (c *Conn) releaseRequestMemory() {
	c.headReserved = 0
	c.memory.ShrinkTo(memory.Connection + int64(len(c.pipelined)))
}

// ErrEvicted is the error of a request that is not complete, and is not read further so that its memory can
// be used for others.
var ErrEvicted = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("evicted for want of memory")}

// reclaim frees memory for ordinary requests.
func (l *Listener) reclaim() {
	now := time.Now().UnixNano()
	last := l.reclaimedAt.Load()
	if now-last >= int64(reclaimInterval) && l.reclaimedAt.CompareAndSwap(last, now) {
		l.evict()
	}
}

// evictIncomplete ends the oldest request that is not complete and began at latest or earlier. It reports
// whether there was one.
func (l *Listener) evictIncomplete(latest time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *Conn
	for c := range l.open {
		if at := c.StartedAt(); !at.After(latest) && c.isIncomplete() {
			oldest, latest = c, at
		}
	}
	return oldest != nil && oldest.evictIncomplete()
}

// isIncomplete reports whether a request is being received, has not come to its end, and may be evicted.
func (c *Conn) isIncomplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIncompleteLocked()
}

func (c *Conn) isIncompleteLocked() bool {
	return c.state == active && !c.inFlight && !c.evicted && !c.isStreamed && c.arrival.completeAt.IsZero() &&
		!c.framing.isBetweenRequests()
}

// evictIncomplete ends the read of a request that is not complete. Its client gets a rejection.
func (c *Conn) evictIncomplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIncompleteLocked() {
		return false
	}
	c.evicted = true
	besteffort.SocketOption(c.Conn.SetReadDeadline(time.Unix(1, 0)))
	return true
}

// SetStreamed notes that the current request is being forwarded while it comes, so that it can't be evicted
// any more. It returns false if it has been evicted.
func (c *Conn) SetStreamed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStreamed = true
	return !c.evicted
}

// evictedError returns the error of a read of a request that has been evicted. The HTTP server writes nothing
// for a head that can't be read, so the rejection of a request without a complete head is written here.
func (c *Conn) evictedError() error {
	if !c.framing.headEnded() {
		c.mu.Unlock()
		c.reject()
		c.mu.Lock()
	}
	return ErrEvicted
}

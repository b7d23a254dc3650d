package listener

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/memory"
)

// endWriteTimeout bounds the write of the response to a request that is not read further.
const endWriteTimeout = 500 * time.Millisecond

// Errors of a read of a request that is not complete and is not read further. The HTTP server writes nothing
// for them.
var (
	ErrEvicted     = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory for the request")}
	ErrDraining    = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the proxy is shutting down")}
	errHeadTimeout = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head does not come")}
)

// requestEnd is a reason for which a request that is not complete is not read further.
type requestEnd struct {
	err      error
	response []byte // nothing of the request has been forwarded
	count    func(*Counts) *atomic.Int64
}

var (
	endForMemory = newRequestEnd(ErrEvicted, http.StatusServiceUnavailable, "Retry-After: 1\r\n",
		func(counts *Counts) *atomic.Int64 { return &counts.EndedForMemory })
	endForDrain = newRequestEnd(ErrDraining, http.StatusServiceUnavailable, "Retry-After: 1\r\n",
		func(counts *Counts) *atomic.Int64 { return &counts.EndedForDrain })
	endForTimeout = newRequestEnd(errHeadTimeout, http.StatusRequestTimeout, "",
		func(counts *Counts) *atomic.Int64 { return &counts.EndedForTimeout })
)

func newRequestEnd(
	err *net.OpError,
	status int,
	header string,
	count func(*Counts) *atomic.Int64,
) *requestEnd {
	body := err.Err.Error() + "\n"
	const format = "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%s" +
		"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
	response := fmt.Appendf(nil, format, status, http.StatusText(status), header, len(body), body)
	return &requestEnd{err, response, count}
}

// respondUnread writes the response to a request that the HTTP server will not get, and returns the error
// that makes the server close the connection. The server writes nothing meanwhile, as it reads the head of
// the next request only when the previous response has been written. The caller holds c.mu, which is not held
// during the write.
func (c *Conn) respondUnread(end *requestEnd) error {
	c.mu.Unlock()
	defer c.mu.Lock()
	end.count(c.listener.counts).Add(1)
	c.memory.ShrinkTo(memory.Connection)
	besteffort.SocketOption(c.SetWriteDeadline(time.Now().Add(endWriteTimeout)))
	besteffort.Output(c.Write(end.response))
	if end == endForMemory && c.listener.OnReject != nil {
		c.listener.OnReject()
	}
	return end.err
}

// endedError returns the error of a read of a request that endIncomplete has ended. If the head is complete,
// the request's handler responds.
func (c *Conn) endedError() error {
	if c.framing.headEnded() {
		c.ended.count(c.listener.counts).Add(1)
		return c.ended.err
	}
	return c.respondUnread(c.ended)
}

// timeoutError returns the error of a read whose deadline has passed. A client that has sent a part of a head
// gets a response: it may be writing the last part just now.
func (c *Conn) timeoutError(err error) error {
	if c.state == closed || c.inFlight || c.framing.headEnded() {
		return err
	}
	return c.respondUnread(endForTimeout)
}

// evictIncomplete ends the oldest request that is not complete and began at latest or earlier. It reports
// whether there was one.
func (l *Listener) evictIncomplete(latest time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *Conn
	for c := range l.open {
		if at := c.StartedAt(); !at.After(latest) && c.mayEvict() {
			oldest, latest = c, at
		}
	}
	return oldest != nil && oldest.endIncomplete(endForMemory)
}

// EndIncomplete ends all requests that have not come completely, each with a response.
func (l *Listener) EndIncomplete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.endIncomplete(endForDrain)
	}
}

// mayEvict reports whether a request is being received that has not come to its end, and that no backend
// gets yet.
func (c *Conn) mayEvict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIncomplete() && !c.isStreamed
}

// isIncomplete reports whether a request is being received that has not come to its end. The caller holds
// c.mu.
func (c *Conn) isIncomplete() bool {
	return c.state == active && !c.inFlight && c.ended == nil && c.arrival.completeAt.IsZero() &&
		!c.framing.isBetweenRequests()
}

// endIncomplete ends the read of a request that is not complete. It reports whether there was one.
func (c *Conn) endIncomplete(end *requestEnd) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIncomplete() || c.isStreamed && end == endForMemory {
		return false
	}
	c.ended = end
	besteffort.SocketOption(c.Conn.SetReadDeadline(abort))
	return true
}

// SetStreamed notes that the current request is being forwarded while it comes, so that it can't be evicted
// any more. It returns false if it has been ended.
func (c *Conn) SetStreamed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStreamed = true
	return c.ended == nil
}

package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/memory"
)

const (
	pipelinedReadSize = 1 << 10 // bytes; buffer size of a read behind a request in flight
)

// abort is the read deadline that ends a read at once, also that of net/http.
var abort = time.Unix(1, 0)

// Conn is a client's connection. It passes only requests of unambiguous length to the HTTP server, and
// buffers what the client sends behind a request in flight.
type Conn struct {
	net.Conn
	listener  *Listener
	raw       syscall.RawConn // nil: not a socket
	startedAt atomic.Int64    // Unix nanoseconds of the first byte of the current request, or of the accept
	release   func()          // frees the slot of the connection
	memory    *memory.Reservation

	mu             sync.Mutex // protects the fields below
	state          state
	closedAt       time.Time   // when closeUnused closed it; zero: it did not
	closeReason    CloseReason // of closeUnused
	closedNew      bool        // by closeUnused, before its first byte came
	sendingEnded   bool        // endSending has ended the sending side
	resetOnClose   bool        // Close resets the connection
	readError      error       // the error with which the client's side ended; nil until then
	hasUnreadBytes bool        // the client ended its side, but bytes before the end are unread
	framing        framing
	aborted        bool        // the HTTP server has ended its read by the deadline abort
	ended          *requestEnd // why its current request is not read to its end; nil: it is
	isStreamed     bool        // its current request is being forwarded while it comes
	inFlight       bool        // the HTTP server has a complete request and has not finished serving it
	hasReceived    bool        // some bytes of the client have been passed to the HTTP server
	pipelined      []byte      // bytes received behind the end of the current request
	arrival        arrivalTracker
	headReserved   int64 // bytes of memory reserved for the current head and its request
	pacer          pacer
	nextPause      time.Duration // before the next read
}

// Read withholds the bytes behind a head of ambiguous length, and a head for which there is no memory. It
// returns no bytes beyond the end of a request, because an error in the bytes behind a request must not end
// that request. The HTTP server never runs two reads at a time.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBackgroundRead(p) {
		return 0, c.readBehindRequest(p)
	}
	c.pause()
	switch {
	case c.framing.err != nil:
		return 0, c.framing.err
	case c.readError != nil:
		return 0, c.readError // also with pipelined bytes: a client that has left gets no more responses
	case len(c.pipelined) > 0:
		n, err := c.passOn(p[:copy(p, c.pipelined)], c.arrival.lastPipelined)
		c.removePipelined(n)
		return n, err
	}
	n, err := c.receive(p)
	if err != nil {
		return 0, err
	}
	c.countRead(p[:n])
	passed, err := c.passOn(p[:n], func(int) time.Time { return c.arrival.receivedAt })
	if passed < n {
		c.memory.Charge(int64(n - passed))
		c.pipelined = append([]byte(nil), p[passed:n]...)
		c.arrival.appendPipelined(n-passed, c.arrival.receivedAt)
	}
	return passed, err
}

// passOn tracks bytes that are to be passed to the HTTP server, and returns how many of them may be passed.
// It returns an error if they are ambiguous, or if there is no memory for their head.
func (c *Conn) passOn(p []byte, arrivedAt func(n int) time.Time) (int, error) {
	n, err := c.followFraming(p, arrivedAt)
	if err == nil {
		err = c.admitHead()
	}
	if err != nil {
		return 0, err
	}
	return n, nil
}

// readBehindRequest reads what the client sends behind a request in flight into the buffer for pipelined
// bytes. It returns when the client has ended its side. p is for the first byte.
func (c *Conn) readBehindRequest(p []byte) error {
	if c.framing.chunked {
		c.arrival.endChunked()
	}
	for buf := p; ; {
		switch {
		case c.framing.err != nil:
			return c.framing.err
		case c.readError != nil:
			return c.readError
		case len(c.pipelined) >= MaxHead || len(c.pipelined) > 0 && !c.memory.TryGrowSpare(int64(len(buf))):
			return c.waitForClientEnd()
		}
		n, err := c.receive(buf)
		if len(c.pipelined) > 0 {
			c.memory.Shrink(int64(len(buf) - n))
		}
		if err != nil {
			return err
		}
		c.arrival.appendPipelined(n, c.arrival.receivedAt)
		if c.pipelined = append(c.pipelined, buf[:n]...); len(buf) < pipelinedReadSize {
			buf = make([]byte, pipelinedReadSize)
		}
	}
}

// removePipelined removes the first n pipelined bytes.
func (c *Conn) removePipelined(n int) {
	c.memory.Shrink(int64(n))
	c.arrival.removePipelined(n)
	if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
		c.pipelined = nil
	}
}

// isBackgroundRead reports whether a read is the background read that the HTTP server runs during a handler
// to detect that the client leaves. Such a read asks for one byte, and detects nothing more once it has that
// byte, so Read returns no byte to it. The end of a chunked request is not known here, but in a chunked body
// the server reads a single byte only in its background read.
func (c *Conn) isBackgroundRead(p []byte) bool { return c.inFlight || c.framing.chunked && len(p) == 1 }

// followFraming tracks the framing of the bytes that are to be passed to the HTTP server, and returns how
// many of them may be passed. arrivedAt tells when the last of the first n bytes came. At the first byte of a
// later request followFraming starts HeadTimeout.
func (c *Conn) followFraming(p []byte, arrivedAt func(n int) time.Time) (int, error) {
	if c.framing.isBetweenRequests() {
		c.arrival.begin()
		c.framing.begin()
	}
	if c.framing.isBetweenRequests() && c.hasReceived {
		now := time.Now()
		c.countRequest(now)
		c.startedAt.Store(now.UnixNano())
		if d := c.listener.HeadTimeout; d > 0 { // the HTTP server starts its own timeout at the fourth byte
			besteffort.SocketOption(c.Conn.SetReadDeadline(now.Add(d)))
		}
	}
	c.hasReceived = true
	n := c.framing.follow(p)
	if n == 0 && c.framing.err != nil {
		return 0, c.framing.err
	}
	if c.framing.requestEnded && c.arrival.completeAt.IsZero() { // it may have been known before it was read
		c.arrival.completeAt = arrivedAt(n)
	}
	c.inFlight, c.framing.requestEnded = c.inFlight || c.framing.requestEnded, false
	return n, nil
}

// SetReadDeadline sets the read deadline. If the proxy has closed the connection, the deadline that has
// already expired remains.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed || c.ended != nil {
		return nil
	}
	c.aborted = t.Equal(abort)
	return c.Conn.SetReadDeadline(t)
}

// StartedAt returns when the first byte of the current request came, or when the connection was accepted
// if no request has begun.
func (c *Conn) StartedAt() time.Time { return time.Unix(0, c.startedAt.Load()) }

// Pending reports whether bytes have come behind the current request, read or not.
func (c *Conn) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pipelined) > 0 || c.inFlight && c.hasUnread()
}

package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/internal/besteffort"
)

const (
	// lingerTimeout is for a client to close after the proxy has: a round trip,
	// around the planet at most, and a busy client's own time.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes are read of what a client still sends then: some of the
	// longest requests. One that sends more reads no answer.
	maxLingerBytes    = 256 << 10
	pipelinedReadSize = 1 << 10 // bytes read at a time behind a request in flight
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	listener  *Listener
	startedAt atomic.Int64 // when the request under way did, or the connection
	release   func()

	mu             sync.Mutex // of what follows
	state          state
	evictedUnused  bool  // it gave way ahead of its first byte
	readError      error // how the client's side has; nil: it has not
	hasUnreadBytes bool  // there are bytes ahead of that
	framing        framing
	inFlight       bool   // the server has a whole request, and has not ended it
	hasReceived    bool   // something has come before
	pipelined      []byte // what came after the end of a request
}

// Read holds back what follows a head of ambiguous length. It ends at the end
// of a request: an error in what comes behind a request must not end the
// request. The server never has two reads at a time.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	background := c.isBackgroundRead(p)
	for buf := p; ; {
		switch {
		case c.framing.err != nil:
			return 0, c.framing.err
		case c.readError != nil:
			return 0, c.readError // whatever is kept: a client that has left is owed no more
		case len(c.pipelined) > 0 && !background:
			n, err := c.followFraming(p[:copy(p, c.pipelined)])
			c.pipelined = c.pipelined[n:]
			return n, err
		case len(c.pipelined) >= MaxHead:
			return 0, c.waitForClientEnd()
		}
		n, err := c.receive(buf)
		if err != nil {
			return 0, err
		}
		if !background {
			passed, err := c.followFraming(p[:n])
			c.pipelined = append([]byte(nil), p[passed:n]...)
			return passed, err
		}
		if c.pipelined = append(c.pipelined, buf[:n]...); len(buf) < pipelinedReadSize {
			buf = make([]byte, pipelinedReadSize)
		}
	}
}

// isBackgroundRead reports whether a read is the server's beside a handler, by which it hears that the client
// leaves. It asks for one byte, and hears nothing more once it has one: so it gets none. Where the request
// ends is not known of one in chunks, but there the server reads one byte at no other time.
func (c *Conn) isBackgroundRead(p []byte) bool { return c.inFlight || c.framing.chunked && len(p) == 1 }

// receive takes what the client has sent, unless the connection has been closed.
func (c *Conn) receive(p []byte) (int, error) {
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n == 0 && err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.readError = err
		}
		return 0, err
	}
	if c.state == closed {
		return 0, io.EOF // upon another error the server says 400
	}
	c.state = active
	return n, nil
}

// followFraming follows what the server is given, and tells how much that is.
func (c *Conn) followFraming(p []byte) (int, error) {
	if c.framing.isBetweenRequests() && c.hasReceived {
		now := time.Now()
		c.startedAt.Store(now.UnixNano())
		if d := c.listener.HeadTimeout; d > 0 { // the server begins to count at the fourth byte
			besteffort.SocketOption(c.Conn.SetReadDeadline(now.Add(d)))
		}
	}
	c.hasReceived = true
	n := c.framing.follow(p)
	if n == 0 && c.framing.err != nil {
		return 0, c.framing.err
	}
	c.inFlight, c.framing.requestEnded = c.inFlight || c.framing.requestEnded, false
	return n, nil
}

// SetReadDeadline leaves a connection that has been closed as it is.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// StartedAt is when the first byte of the request under way came, or the connection.
func (c *Conn) StartedAt() time.Time { return time.Unix(0, c.startedAt.Load()) }

// Pending reports whether something has been read behind the request under way.
func (c *Conn) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pipelined) > 0
}

// Close ends the connection, and then gives its place to another. A close over bytes that nobody has read is
// a reset, which may destroy an answer on its way; so the client gets Connection: close first, and has some
// time to close.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.state = closed
	ended := c.readError != nil && !c.hasUnreadBytes || c.evictedUnused
	c.mu.Unlock()
	if !ended && !c.listener.skipLinger.Load() {
		c.linger()
	}
	err := c.Conn.Close()
	c.release()
	return err
}

// linger ends the proxy's side, and drops what comes until the client's ends.
func (c *Conn) linger() {
	writeCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil {
		return
	}
	besteffort.SocketOption(c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)))
	buf := make([]byte, 1<<10)
	for received := 0; received < maxLingerBytes; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		received += n
	}
}

package accept

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTime is for a client to close after the node has: a round trip,
	// around the planet at most, and a busy client's own time.
	lingerTime = 500 * time.Millisecond
	// lingerBytes are read of what a client still sends then: some of the
	// longest requests. One that sends more reads no answer.
	lingerBytes = 256 << 10
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	listener *Listener
	began    atomic.Int64 // when the request under way did, or the connection
	free     func()

	mu      sync.Mutex // of what follows
	state   state
	ended   bool // the client's side has
	framing framing
	served  bool   // something has come before
	behind  []byte // what came with the end of a request
}

// Read holds back what follows a head of ambiguous length. It ends at the end
// of a request: beside a handler the server reads one byte ahead, and an error
// in what comes behind a request must not end the request. The server never
// has two reads at a time.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.err != nil {
		return 0, c.framing.err
	}
	if len(c.behind) > 0 {
		n = copy(p, c.behind)
		c.behind = c.behind[n:]
	} else if n, err = c.receive(p); err != nil {
		return 0, err
	}
	if c.framing.between() && c.served {
		c.began.Store(time.Now().UnixNano())
	}
	c.served = true
	passed := c.framing.pass(p[:n])
	if passed < n && c.framing.err == nil {
		c.behind = append(append([]byte(nil), p[passed:n]...), c.behind...)
	}
	if passed == 0 && c.framing.err != nil {
		return 0, c.framing.err
	}
	return passed, nil
}

// receive takes what the client has sent, unless the connection has been closed.
func (c *Conn) receive(p []byte) (int, error) {
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n == 0 && err != nil {
		c.ended = c.ended || !errors.Is(err, os.ErrDeadlineExceeded)
		return 0, err
	}
	if c.state == closed {
		return 0, net.ErrClosed
	}
	c.state = active
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

// Began is when the first byte of the request under way came, or the connection.
func (c *Conn) Began() time.Time { return time.Unix(0, c.began.Load()) }

// Close ends the connection, and then gives its place to another. A close over
// bytes that nobody has read is a reset, which may destroy an answer on its
// way; so the client is told first, and has some time to close.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.state = closed
	ended := c.ended
	c.mu.Unlock()
	if !ended && !c.listener.hurried.Load() {
		c.linger()
	}
	err := c.Conn.Close()
	c.free()
	return err
}

// linger ends the node's side, and drops what comes until the client's ends.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	buf := make([]byte, 1<<10)
	for got := 0; got < lingerBytes; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		got += n
	}
}

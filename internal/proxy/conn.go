package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// lateResponseWait is how long a connection is left alone after an answer. A second
// answer to the same request comes some milliseconds late, and nothing in it
// tells it from the next request's; by then it shows as something unasked. The
// next request waits for the rest of it, which takes no longer than a new
// connection and costs the server nothing.
const lateResponseWait = 5 * time.Millisecond

// errNoCapacity says that this proxy has reached its limit of connections.
var errNoCapacity = errors.New("too many connections")

// isLocalLimit reports whether the proxy itself could not open a connection, which says nothing of the server.
func isLocalLimit(err error) bool {
	for _, limit := range []error{
		errNoCapacity,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.EADDRNOTAVAIL,
	} {
		if errors.Is(err, limit) {
			return true
		}
	}
	return false
}

type conn struct {
	net.Conn
	backend       *backend
	pool          *pool
	budget        io.LimitedReader // what one answer may take
	reader        *bufio.Reader
	readError     error  // how reading ended, if the connection did
	releaseMemory func() // gives back what its answer has taken of the pool's; nil: nothing
	idleSince     time.Time
}

// Read notes how the connection ended, which tells a break from an answer
// that can't be read, or is longer than its budget.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readError = err
	return n, err
}

// get finds an idle connection or dials. An error proves that nothing was sent.
func (p *pool) get(ctx context.Context, id balancer.EndpointID) (*conn, error) {
	b, c, dialer, err := p.takeConn(id)
	for ; c != nil; b, c, dialer, err = p.takeConn(id) {
		// A connection that its server has closed, or on which it said
		// something unasked, would end as a reset that may have run. Nothing
		// has been forwarded it, so another one can do.
		if p.pause(ctx, lateResponseWait-time.Since(c.idleSince)) && isOpenAndEmpty(c.Conn) {
			return c, nil
		}
		c.closeDirty()
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	raw, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		p.mu.Lock()
		p.openConnections--
		p.mu.Unlock()
		return nil, err
	}
	c = &conn{Conn: raw, backend: b, pool: p}
	c.budget.R = c
	c.reader = bufio.NewReader(&c.budget)
	return c, nil
}

// takeConn returns an idle connection, the one used last of those that have rested,
// or the backend with leave to dial it.
func (p *pool) takeConn(id balancer.EndpointID) (*backend, *conn, net.Dialer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return nil, nil, p.dialer, fmt.Errorf("server %d is not listed", id)
	}
	now := time.Now()
	p.closeExpiredLocked(b, now)
	if n := len(b.idle); n > 0 {
		i := n - 1
		for i > 0 && now.Sub(b.idle[i].idleSince) < lateResponseWait {
			i--
		}
		c := b.idle[i]
		b.idle = slices.Delete(b.idle, i, i+1)
		return b, c, p.dialer, nil
	}
	if p.openConnections >= p.limit() && !p.evict() {
		return nil, nil, p.dialer, errNoCapacity
	}
	p.openConnections++
	return b, nil, p.dialer, nil
}

// closeDirty closes a connection that is not known to be at an answer's end.
func (c *conn) closeDirty() {
	c.releaseBudget()
	besteffort.Close(c.Conn)
	c.pool.mu.Lock()
	c.pool.openConnections--
	c.pool.mu.Unlock()
}

// release puts a connection back that has been read cleanly to its end.
func (c *conn) release() {
	c.releaseBudget() // from here on it is the next attempt's
	besteffort.SocketOption(c.SetDeadline(time.Time{}))
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.backend.closed {
		besteffort.Close(c.Conn)
		c.pool.openConnections--
		return
	}
	c.idleSince = time.Now()
	if c.backend.idle = append(c.backend.idle, c); !c.backend.isIdleCandidate {
		c.backend.isIdleCandidate, c.pool.idleCandidates = true, append(c.pool.idleCandidates, c.backend)
	}
}

// isOpenAndEmpty reports whether an idle connection is open with nothing to read.
func isOpenAndEmpty(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

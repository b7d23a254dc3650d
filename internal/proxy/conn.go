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

// lateResponseWait is the minimum time for which a connection is idle after a response before it is reused. A
// backend may send a second response to the same request some milliseconds late. On an idle connection such
// bytes are recognised as unsolicited; on one that is in use again, only their content shows what they are
// (repeatedresponse.go). If a request needs the connection earlier, it waits for the rest of this time, which
// takes no longer than a new connection and costs the backend nothing.
const lateResponseWait = 5 * time.Millisecond

// errNoCapacity means that the pool has reached its limit of connections.
var errNoCapacity = errors.New("too many connections")

// isLocalLimit reports whether a limit of the proxy or of its system kept it from opening a connection. Such
// an error shows nothing about the backend.
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

// conn is a connection to a backend, idle in the pool or in use by one attempt.
type conn struct {
	net.Conn
	backend   *backend
	pool      *pool
	budget    io.LimitedReader // bounds the bytes that a response may take
	reader    *bufio.Reader
	readError error // of the last read; nil if the connection has not broken
	memory    responseMemory
	idleSince time.Time
	number    uint64 // distinguishes the connections of the pool
	history   responseHistory
}

// Read records the error that ended the connection, if any: it distinguishes a broken connection from a
// response that is malformed or exceeds its budget.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readError = err
	if headErr := c.memory.admitHead(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// get returns an idle connection or dials a new one. An error proves that nothing was sent.
func (p *pool) get(ctx context.Context, id balancer.EndpointID) (*conn, error) {
	b, c, dialer, err := p.takeConn(id)
	for ; c != nil; b, c, dialer, err = p.takeConn(id) {
		// A request on a connection that the backend has closed, or on which it has sent unsolicited bytes,
		// would end in a reset, and might count as executed. Nothing of the request has been sent here, so
		// another connection can serve it.
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
	c = &conn{Conn: raw, backend: b, pool: p, number: p.connNumbers.Add(1)}
	c.budget.R = c
	c.reader = bufio.NewReader(&c.budget)
	return c, nil
}

// takeConn returns an idle connection: the most recently used of those that have been idle for
// lateResponseWait, otherwise the one that has been idle longest. If there is no idle connection, it counts a
// new one as open, and returns the backend and the dialer with which the caller has to open it.
func (p *pool) takeConn(id balancer.EndpointID) (*backend, *conn, net.Dialer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return nil, nil, p.dialer, fmt.Errorf("take connection: endpoint %d is not listed", id)
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

// closeDirty closes a connection that is not known to be at the end of a response.
func (c *conn) closeDirty() {
	c.memory.release()
	besteffort.Close(c.Conn)
	c.pool.mu.Lock()
	c.pool.openConnections--
	c.pool.mu.Unlock()
}

// release returns a connection to the pool after its response has been read cleanly to the end.
func (c *conn) release() {
	c.memory.release() // first: once it is in the pool, the connection belongs to the next attempt
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

// isOpenAndEmpty reports whether an idle connection is open and has no bytes to read.
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

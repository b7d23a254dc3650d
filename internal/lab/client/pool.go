package client

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
)

// conn is a connection to a node, which carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	node   string
	lastID string // ID of the previous request
	used   bool   // at least one request was answered on it
}

const (
	dialTimeout = time.Second
	maxIdleTime = 8 * time.Second // clients close connections that were idle for longer
)

// pool holds the clients' idle connections.
type pool struct {
	mu           sync.Mutex
	idle         map[string][]idleConn // by address; the most recently used connection is the last
	onExtraBytes func(c *conn)         // called when bytes arrive outside of an answer
	closed       bool
}

// idleConn is an idle connection with the time at which it became idle.
type idleConn struct {
	*conn
	since time.Time
}

// take returns an idle connection to an address, or a new one. fresh requires a new one.
func (p *pool) take(node, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.reusable(p.onExtraBytes) {
			return c, nil
		}
		besteffort.Close(c)
	}
	nc, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReader(nc), node: node}, nil
}

// pop removes and returns the most recently used idle connection to an address, or nil.
func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c.conn
}

// reusable reports whether the connection is still open and no bytes have arrived since the last answer.
func (c *conn) reusable(extra func(*conn)) bool {
	if c.reader.Buffered() > 0 {
		extra(c)
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if n > 0 {
		extra(c)
	}
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

// put adds an idle connection to the pool, or closes the connection if the pool is closed.
func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		besteffort.Close(c)
		return
	}
	p.idle[address] = append(p.idle[address], idleConn{c, time.Now()})
}

// sweep closes connections that were idle for longer than maxIdleTime, or all connections if the pool is
// closed.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		expired := 0
		for expired < len(conns) && (p.closed || time.Since(conns[expired].since) > maxIdleTime) {
			besteffort.Close(conns[expired])
			expired++
		}
		p.idle[address] = conns[expired:]
	}
}

// close closes the idle connections. A connection that is put back later is closed too.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.sweep()
}

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

// conn is a connection to a node, for one request at a time.
type conn struct {
	net.Conn
	in     *bufio.Reader
	node   string
	lastID string // of the request before
	used   bool
}

const (
	dialTime = time.Second
	idleTime = 8 * time.Second // clients leave what they have not used for so long
)

// pool keeps clients' connections.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]kept // by address, the last used last
	extra  func(c *conn)     // told of bytes that nobody asked for
	closed bool
}

type kept struct {
	*conn
	since time.Time
}

// take gives an idle connection to an address, or a new one.
func (p *pool) take(node, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.quiet(p.extra) {
			return c, nil
		}
		besteffort.Close(c)
	}
	nc, err := net.DialTimeout("tcp4", address, dialTime)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, in: bufio.NewReader(nc), node: node}, nil
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c.conn
}

// quiet reports whether the connection is still there, with nothing said on it since the last answer.
func (c *conn) quiet(extra func(*conn)) bool {
	if c.in.Buffered() > 0 {
		extra(c)
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var seen error
	err = raw.Control(func(fd uintptr) {
		n, _, seen = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if n > 0 {
		extra(c)
	}
	return err == nil && errors.Is(seen, unix.EAGAIN)
}

func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		besteffort.Close(c)
		return
	}
	p.idle[address] = append(p.idle[address], kept{c, time.Now()})
}

// sweep closes what has stood idle for too long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, all := range p.idle {
		old := 0
		for old < len(all) && (p.closed || time.Since(all[old].since) > idleTime) {
			besteffort.Close(all[old])
			old++
		}
		p.idle[address] = all[old:]
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.sweep()
}

// Package accept is what clients' connections pass ahead of the HTTP server:
// they are bounded in number, and nothing of ambiguous length gets through.
package accept

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/internal/pause"
)

// outliveStep is the time between two looks at connections that are to end.
const outliveStep = 50 * time.Millisecond

// Listener holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type Listener struct {
	net.Listener
	slots chan struct{}

	mu     sync.Mutex
	idle   map[net.Conn]time.Time // since when
	ending bool                   // none is to stay idle any more
}

// Limit has ln accept most connections at a time.
func Limit(ln net.Listener, most int) *Listener {
	return &Listener{Listener: ln, slots: make(chan struct{}, most), idle: map[net.Conn]time.Time{}}
}

// Accept makes room by closing the connection that has been idle longest:
// clients that keep connections without using them must not shut out others.
// With none idle, those that come wait in the listener's queue.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.evict()
		l.slots <- struct{}{}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	lc := &Conn{Conn: c, free: sync.OnceFunc(func() { <-l.slots })}
	lc.began.Store(time.Now().UnixNano())
	return lc, nil
}

// Outlive returns when ctx ends, or all connections have and the least time is over.
func (l *Listener) Outlive(ctx context.Context, least time.Duration) {
	for ok := pause.For(ctx, least); ok && len(l.slots) > 0; {
		ok = pause.For(ctx, outliveStep)
	}
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	state   atomic.Int32 // active, idle or closed
	began   atomic.Int64 // when the request under way did, or the connection
	free    func()
	framing framing
	served  bool   // something has come before
	behind  []byte // what came with the end of a request
}

// Read holds back what follows a head of ambiguous length. It ends at the end
// of a request: beside a handler the server reads one byte ahead, and an error
// in what comes behind a request must not end the request. The server never
// has two reads at a time.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.framing.err != nil {
		return 0, c.framing.err
	}
	if len(c.behind) > 0 {
		n = copy(p, c.behind)
		c.behind = c.behind[n:]
	} else if n, err = c.Conn.Read(p); err != nil && n == 0 {
		return 0, err
	}
	if !c.state.CompareAndSwap(idle, active) && c.state.Load() == closed {
		return 0, net.ErrClosed
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

// Began is when the first byte of the request under way came, or the connection.
func (c *Conn) Began() time.Time { return time.Unix(0, c.began.Load()) }

// Close gives the connection's place to another.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.free()
	return err
}

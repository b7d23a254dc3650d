package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"indigotack/internal/pause"
)

// limited holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type limited struct {
	net.Listener
	slots chan struct{}

	mu   sync.Mutex
	idle map[net.Conn]time.Time // since when
}

func limitListener(ln net.Listener, most int) *limited {
	return &limited{Listener: ln, slots: make(chan struct{}, most), idle: map[net.Conn]time.Time{}}
}

// Accept makes room by closing the connection that has been idle longest:
// clients that keep connections without using them must not shut out others.
// With none idle, those that come wait in the listener's queue.
func (l *limited) Accept() (net.Conn, error) {
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
	lc := &limitedConn{Conn: c, free: sync.OnceFunc(func() { <-l.slots })}
	lc.began.Store(time.Now().UnixNano())
	return lc, nil
}

// note follows which connections are idle, for http.Server's ConnState.
func (l *limited) note(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle {
		l.idle[c] = time.Now()
	} else {
		delete(l.idle, c)
	}
}

// outlive returns when ctx ends, or all connections have for some time.
func (l *limited) outlive(ctx context.Context) {
	for ok := pause.For(ctx, outliveLeast); ok && len(l.slots) > 0; {
		ok = pause.For(ctx, shortWait)
	}
}

func (l *limited) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest net.Conn
	for c, since := range l.idle {
		if oldest == nil || since.Before(l.idle[oldest]) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(l.idle, oldest)
		oldest.Close()
	}
}

type limitedConn struct {
	net.Conn
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
func (c *limitedConn) Read(p []byte) (n int, err error) {
	if c.framing.err != nil {
		return 0, c.framing.err
	}
	if len(c.behind) > 0 {
		n = copy(p, c.behind)
		c.behind = c.behind[n:]
	} else if n, err = c.Conn.Read(p); err != nil && n == 0 {
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

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.free()
	return err
}

// InheritedListener gives the clients' socket that the platform holds, whose
// descriptor the environment names. It is shared with other processes: it may
// be closed, but never shut down.
func InheritedListener(number string) (net.Listener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%q is no descriptor", number)
	}
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d can't be used", fd)
	}
	defer f.Close()
	return net.FileListener(f)
}

// Package accept is what clients' connections pass ahead of the HTTP server:
// they are bounded in number, and nothing of ambiguous length gets through.
package accept

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/pause"
)

const (
	outliveStep = 50 * time.Millisecond // between two looks at connections that are to end
	queueTime   = 50 * time.Millisecond // to accept a connection that waits already
	evictStep   = 20 * time.Millisecond // for a client that is told to close to do so, before another is told
)

// Listener holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type Listener struct {
	net.Listener
	HeadTime time.Duration // for a later request's head to come, from its first byte on; 0: the server's matter
	slots    chan struct{}
	hurried  atomic.Bool // no client's close is waited for
	shut     chan struct{}
	once     sync.Once // for that

	mu     sync.Mutex
	idle   map[net.Conn]time.Time // since when
	fresh  map[net.Conn]bool
	ending bool // none is to stay idle any more
}

// Limit has ln accept most connections at a time.
func Limit(ln net.Listener, most int) *Listener {
	return &Listener{Listener: ln, slots: make(chan struct{}, most), shut: make(chan struct{}), idle: map[net.Conn]time.Time{}, fresh: map[net.Conn]bool{}}
}

// Accept makes room by closing the connection that has been idle longest:
// clients that keep connections without using them must not shut out others.
// With none idle, those that come wait in the listener's queue.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.takeSlot() {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) && l.queued() {
		c, err = l.Listener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = net.ErrClosed // the server goes on after a timeout
	}
	if err != nil {
		<-l.slots
		return nil, err
	}
	lc := &Conn{Conn: c, listener: l, free: sync.OnceFunc(func() { <-l.slots })}
	lc.began.Store(time.Now().UnixNano())
	return lc, nil
}

// takeSlot waits for a place, and is false where the listener has been closed.
func (l *Listener) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	again := time.NewTicker(evictStep)
	defer again.Stop()
	for {
		l.evict()
		select {
		case l.slots <- struct{}{}:
			return true
		case <-l.shut:
			return false
		case <-again.C: // the client has not closed, or none was idle
		}
	}
}

// Close leaves what waits in the queue to other processes, if there are any.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.shut) })
	return l.Listener.Close()
}

// Drain ends accepting, and all idle connections. A listener that is closed
// resets what waits in its queue, so that is accepted first, as places get free.
func (l *Listener) Drain() {
	l.closeAllIdle()
	if ln, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || ln.SetDeadline(time.Unix(1, 0)) != nil {
		l.Close()
	}
}

// queued tells whether a connection waits at the end of accepting, and if so
// gives Accept time to take it, unless another process does.
func (l *Listener) queued() bool {
	ln, ok := l.Listener.(interface {
		syscall.Conn
		SetDeadline(time.Time) error
	})
	if !ok {
		return false
	}
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	queue := []unix.PollFd{{Events: unix.POLLIN}}
	raw.Control(func(fd uintptr) {
		queue[0].Fd = int32(fd)
		unix.Poll(queue, 0)
	})
	return queue[0].Revents&unix.POLLIN != 0 && ln.SetDeadline(time.Now().Add(queueTime)) == nil
}

// Hurry has connections close at once from now on.
func (l *Listener) Hurry() { l.hurried.Store(true) }

// Outlive returns when ctx ends, or all connections have and the least time is over.
func (l *Listener) Outlive(ctx context.Context, least time.Duration) {
	for ok := pause.For(ctx, least); ok && len(l.slots) > 0; {
		ok = pause.For(ctx, outliveStep)
	}
}

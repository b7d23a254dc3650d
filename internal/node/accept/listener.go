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

const (
	outliveStep = 50 * time.Millisecond // between two looks at connections that are to end
	evictStep   = 20 * time.Millisecond // for a client that is told to close to do so, before another is told
)

// Listener holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type Listener struct {
	net.Listener
	slots   chan struct{}
	hurried atomic.Bool // no client's close is waited for

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
	l.takeSlot()
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	lc := &Conn{Conn: c, listener: l, free: sync.OnceFunc(func() { <-l.slots })}
	lc.began.Store(time.Now().UnixNano())
	return lc, nil
}

func (l *Listener) takeSlot() {
	select {
	case l.slots <- struct{}{}:
		return
	default:
	}
	again := time.NewTicker(evictStep)
	defer again.Stop()
	for {
		l.evict()
		select {
		case l.slots <- struct{}{}:
			return
		case <-again.C: // the client has not closed, or none was idle
		}
	}
}

// Hurry has connections close at once from now on.
func (l *Listener) Hurry() { l.hurried.Store(true) }

// Outlive returns when ctx ends, or all connections have and the least time is over.
func (l *Listener) Outlive(ctx context.Context, least time.Duration) {
	for ok := pause.For(ctx, least); ok && len(l.slots) > 0; {
		ok = pause.For(ctx, outliveStep)
	}
}

// Package listener accepts clients' connections for the proxy's HTTP server. It bounds their number, closes
// idle ones to free slots, withholds requests whose framing is ambiguous (request smuggling), notices clients
// that leave, and closes connections so that the last response is not lost: by write shutdown, reading to the
// client's end, and then close.
package listener

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/socketoption"
)

const (
	connPollInterval   = 50 * time.Millisecond // between two looks at connections that are to end
	queueAcceptTimeout = 50 * time.Millisecond // to accept a connection that waits already
	// for a client that got Connection: close to do so, before another gets it
	evictRetryInterval = 20 * time.Millisecond
	// minFreshTime is for a new client's first byte to come, before it may give way: a
	// round trip, or two. Clients connect when they have something to send.
	minFreshTime = 100 * time.Millisecond
)

// Listener holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type Listener struct {
	net.Listener
	// for a later request's head to come, from its first byte on; 0: the server's matter
	HeadTimeout time.Duration
	// with all places taken and none idle, after which those who can't be taken are shut; 0: they wait
	FullTimeout time.Duration
	slots       chan struct{}
	full        atomic.Bool // clients who come now are shut
	skipLinger  atomic.Bool // no client's close is waited for
	closed      chan struct{}
	closeOnce   sync.Once // for that

	// Accept's: since when it has found places taken and none idle; zero: the last one was there at once
	fullSince time.Time

	mu       sync.Mutex
	idle     map[net.Conn]time.Time // since when
	fresh    map[net.Conn]time.Time // the same
	draining bool                   // none is to stay idle any more
}

// Limit has ln accept most connections at a time.
func Limit(ln net.Listener, maxConns int) *Listener {
	return &Listener{
		Listener: ln,
		slots:    make(chan struct{}, maxConns),
		closed:   make(chan struct{}),
		idle:     map[net.Conn]time.Time{},
		fresh:    map[net.Conn]time.Time{},
	}
}

// Accept frees slots by closing a connection that is not in use: clients that keep connections without using
// them must not shut out others. With all in use, those that come wait in the listener's queue, and are shut
// unread once that has lasted for FullTimeout: each then knows, and nobody waits behind a queue that gets
// ever longer.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		hasSlot := l.takeSlot()
		c, err := l.acceptNext()
		if err == nil && !hasSlot {
			if hasSlot = l.takeSlot(); !hasSlot {
				besteffort.Close(c)
				continue
			}
		}
		if err != nil {
			if hasSlot {
				l.releaseSlot()
			}
			return nil, err
		}
		conn := &Conn{Conn: c, listener: l, release: sync.OnceFunc(l.releaseSlot)}
		conn.startedAt.Store(time.Now().UnixNano())
		return conn, nil
	}
}

// acceptNext takes the next connection off the queue. Where the system has no
// descriptor left, a client that is not in use gives up its own; the server
// would wait for up to a second.
func (l *Listener) acceptNext() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && l.queued():
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, net.ErrClosed // the server goes on after a timeout
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			l.evictIdle()
			time.Sleep(evictRetryInterval)
		default:
			return c, err
		}
	}
}

// takeSlot waits for a place. It returns false where the listener has been closed, or has had none for
// FullTimeout and now has nobody who gives way.
func (l *Listener) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		l.fullSince = time.Time{}
		return true
	default:
	}
	if l.fullSince.IsZero() {
		l.fullSince = time.Now()
	}
	retry := time.NewTicker(evictRetryInterval)
	defer retry.Stop()
	for {
		full := !l.evictIdle() && l.FullTimeout > 0 && time.Since(l.fullSince) >= l.FullTimeout
		l.full.Store(full) // ahead of the last look for a place
		select {
		case l.slots <- struct{}{}:
			l.full.Store(false)
			return true
		default:
		}
		if full {
			return false
		}
		select {
		case l.slots <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-retry.C: // the client has not closed, or none gave way
		}
	}
}

func (l *Listener) releaseSlot() {
	<-l.slots
	l.full.Store(false)
}

// Full reports whether clients who come now are shut, as far as is known.
func (l *Listener) Full() bool { return l.full.Load() }

// Close leaves what waits in the queue to other processes, if there are any.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Drain ends accepting, and all idle connections. A listener that is closed
// resets what waits in its queue, so that is accepted first, as places get free.
func (l *Listener) Drain() {
	l.closeAllIdle()
	if ln, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok ||
		ln.SetDeadline(time.Unix(1, 0)) != nil {
		besteffort.Close(l)
	}
}

// queued reports whether a connection waits at the end of accepting, and if so gives Accept time to take it,
// unless another process does.
func (l *Listener) queued() bool {
	ln, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && socketoption.Readable(l.Listener) && ln.SetDeadline(time.Now().Add(queueAcceptTimeout)) == nil
}

// SkipLinger has connections close at once from now on.
func (l *Listener) SkipLinger() { l.skipLinger.Store(true) }

// WaitForConns returns when ctx ends, or all connections have and the least time is over.
func (l *Listener) WaitForConns(ctx context.Context, minWait time.Duration) {
	for ok := backoff.Sleep(ctx, minWait); ok && len(l.slots) > 0; {
		ok = backoff.Sleep(ctx, connPollInterval)
	}
}

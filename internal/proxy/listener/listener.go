// Package listener accepts clients' connections for the proxy's HTTP server. It bounds their number, closes
// idle connections to free slots, withholds requests whose framing is ambiguous (request smuggling), detects
// clients that leave, and closes connections without losing the last response: it shuts down writing, reads
// to the client's end, and then closes.
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

	"golang.org/x/time/rate"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/memory"
	"wrenspread/internal/socketoption"
)

const (
	connPollInterval   = 50 * time.Millisecond // between checks of whether all connections have ended
	queueAcceptTimeout = 50 * time.Millisecond // to accept a connection that already waits in the queue
	// evictRetryInterval is the time for an evicted client to close before another client is evicted.
	evictRetryInterval = 20 * time.Millisecond
	// acceptRetryInterval is the pause after an accept that failed for a moment.
	acceptRetryInterval = 5 * time.Millisecond
	// minFreshTime is the time for the first byte of a new client to come before the client can be evicted: one
	// or two round trips, because clients connect when they have something to send.
	minFreshTime = 100 * time.Millisecond
)

// Listener bounds the number of accepted connections, so that clients leave descriptors for the backends.
type Listener struct {
	net.Listener
	// HeadTimeout bounds the time from the first byte of a later request to the end of its head. 0: only the
	// timeouts of the HTTP server apply.
	HeadTimeout time.Duration
	// FullTimeout is how long all slots may be taken, with no connection to evict, before further clients are
	// closed unread. 0: they wait in the queue without limit.
	FullTimeout time.Duration
	// OnAcceptError is called with each error of an accept that is tried again. It may be nil.
	OnAcceptError func(error)
	// OnCrossing is called when a request came behind a close without a response, with the number of such
	// requests so far. It may be nil.
	OnCrossing func(number int64, crossing Crossing)
	// OnReject is called when a request has been rejected because there is no memory for its head. It may be
	// nil.
	OnReject func()
	// OnPause is called when a connection that sends much pauses before its next read. It may be nil.
	OnPause func()

	counts      *Counts
	heavy       *rate.Limiter  // paces connections that send much; nil: they are not paced
	memory      *memory.Budget // admits connections, heads and pipelined bytes; nil: all are admitted
	reclaimedAt atomic.Int64   // Unix nanoseconds of the last call of evictIdle for want of memory
	slots       chan struct{}  // one element for each open connection
	freed       chan struct{}  // receives a value when a connection has ended
	full        atomic.Bool    // new clients are closed unread
	skipLinger  atomic.Bool    // connections close without waiting for their clients
	closed      chan struct{}  // closed by Close
	closeOnce   sync.Once      // closes closed

	// fullSince is the time since which Accept has found all slots taken and no connection to evict. It is zero
	// if the last slot was free at once. Only Accept uses it.
	fullSince time.Time

	mu       sync.Mutex
	open     map[*Conn]struct{}
	linger   map[*Conn]time.Time    // when each connection that waits for its client's end was closed
	idle     map[net.Conn]time.Time // when each idle connection became idle
	fresh    map[net.Conn]time.Time // when each new connection was accepted
	draining bool                   // connections that go idle are closed
}

// AdmitBy makes the listener admit connections, heads and pipelined bytes by a budget of memory. It is called
// before Accept.
func (l *Listener) AdmitBy(budget *memory.Budget) {
	l.memory = budget
	budget.OnShortage(l.reclaim)
}

// CountIn makes the listener count in counts. It is called before Accept.
func (l *Listener) CountIn(counts *Counts) { l.counts = counts }

// Limit returns a Listener that accepts at most maxConns connections of ln at a time.
func Limit(ln net.Listener, maxConns int) *Listener {
	return &Listener{
		Listener: ln,
		counts:   &Counts{},
		slots:    make(chan struct{}, maxConns),
		freed:    make(chan struct{}, 1),
		closed:   make(chan struct{}),
		open:     map[*Conn]struct{}{},
		linger:   map[*Conn]time.Time{},
		idle:     map[net.Conn]time.Time{},
		fresh:    map[net.Conn]time.Time{},
	}
}

// Accept returns the next connection. It frees a slot by closing a connection that is not in use, so that
// clients that keep unused connections do not shut out others. If all slots are in use, or there is no memory
// for another connection, further clients wait in the queue of the socket. When that has lasted for
// FullTimeout, they are closed unread, so that each of them notices and none waits in a queue that keeps
// growing.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		slot := l.waitForSlot()
		c, err := l.acceptNext()
		if err == nil && slot == nil {
			if slot = l.waitForSlot(); slot == nil {
				l.counts.Closes[CloseFull].Add(1)
				besteffort.Close(c)
				continue
			}
		}
		if err != nil {
			if slot != nil {
				l.releaseSlot(slot)
			}
			return nil, err
		}
		conn := &Conn{Conn: c, listener: l, memory: slot, raw: rawConn(c)}
		conn.release = sync.OnceFunc(func() { l.forget(conn, slot) })
		conn.startedAt.Store(time.Now().UnixNano())
		l.mu.Lock()
		l.open[conn] = struct{}{}
		l.mu.Unlock()
		return conn, nil
	}
}

// acceptNext accepts the next connection of the queue. Only the end of the listener ends accepting: any other
// error of the system may be over a moment later, and the HTTP server would end at most of them. If the
// system has no descriptor left, acceptNext evicts a client that is not in use.
func (l *Listener) acceptNext() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			return c, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && l.queued():
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, net.ErrClosed // the HTTP server accepts again after a timeout
		case l.isClosed() || errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			l.noteAcceptError(err)
			l.evictIdle()
			time.Sleep(evictRetryInterval)
		default:
			l.noteAcceptError(err)
			time.Sleep(acceptRetryInterval)
		}
	}
}

// noteAcceptError reports an accept that failed, and is tried again.
func (l *Listener) noteAcceptError(err error) {
	if l.OnAcceptError != nil {
		l.OnAcceptError(err)
	}
}

// isClosed reports whether Close has been called.
func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Close stops accepting. It leaves the connections in the queue to other processes that share the socket.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Drain closes all idle connections and ends accepting. Because closing a listener resets the connections in
// its queue, those are accepted first, as slots get free.
func (l *Listener) Drain() {
	l.closeAllIdle()
	if ln, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok ||
		ln.SetDeadline(time.Unix(1, 0)) != nil {
		besteffort.Close(l)
	}
}

// queued reports whether a connection waits in the queue at the end of accepting. If so, it gives Accept
// queueAcceptTimeout to accept that connection; the time is limited because another process may accept it
// first.
func (l *Listener) queued() bool {
	ln, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && socketoption.Readable(l.Listener) && ln.SetDeadline(time.Now().Add(queueAcceptTimeout)) == nil
}

// SkipLinger makes connections close at once from now on, without waiting for their clients.
func (l *Listener) SkipLinger() { l.skipLinger.Store(true) }

// WaitForConns returns when ctx ends, or when minWait has passed and all connections have been closed.
func (l *Listener) WaitForConns(ctx context.Context, minWait time.Duration) {
	for ok := backoff.Sleep(ctx, minWait); ok && len(l.slots) > 0; {
		ok = backoff.Sleep(ctx, connPollInterval)
	}
}

package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
)

const idleTimeoutFraction = 0.75 // of the settings' idle time: the server must never be the first to close

// pool keeps connections to servers. It never sends anything itself.
type pool struct {
	dialer      net.Dialer
	pause       func(context.Context, time.Duration) bool
	maxIdleTime time.Duration
	forwards    *atomic.Int64 // attempts written completely

	mu                sync.Mutex
	openConnections   int // connections, idle, in use or being dialled
	maxConnections    int
	sharesConnections bool // with another process of this proxy: half of them
	backends          map[balancer.EndpointID]*backend
	idleCandidates    []*backend                   // those with idle connections, and some that had them lately
	barredBackends    map[balancer.EndpointID]bool // nothing is written to them
	memory            memoryBudget                 // for answers that are not small
}

// backend is one process of a server. A restart or a new address makes a new
// one, to which the old one's connections never return.
type backend struct {
	address         string
	startedAtMS     int64
	closed          bool
	draining        bool    // nothing new is to be written to it
	isIdleCandidate bool    // it is among the pool's used ones
	idle            []*conn // the one used last comes last
}

func newPool(s balancer.Settings, maxConnections int) *pool {
	p := &pool{
		maxConnections: maxConnections,
		forwards:       new(atomic.Int64),
		backends:       map[balancer.EndpointID]*backend{},
		barredBackends: map[balancer.EndpointID]bool{},
		memory:         newMemoryBudget(defaultMemoryMB),
		pause:          backoff.Sleep,
		dialer:         net.Dialer{KeepAlive: -1},
	}
	p.configure(s)
	return p
}

// configure takes the settings that concern connections.
func (p *pool) configure(s balancer.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout = s.ConnectTimeout
	if p.maxIdleTime = time.Duration(
		idleTimeoutFraction * float64(s.ConnectionIdleTimeout),
	); s.ConnectionIdleTimeout <= 0 {
		p.maxIdleTime = time.Minute
	}
}

// idleTime is how long a connection may stay idle.
func (p *pool) idleTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxIdleTime
}

// setBackend takes a server's address from the list. Connections to an earlier
// process of it are worthless and are closed.
func (p *pool) setBackend(id balancer.EndpointID, address string, startedAtMS int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.startedAtMS == startedAtMS {
			return
		}
		b.closed = true
		p.closeIdleLocked(b)
	}
	p.backends[id] = &backend{address: address, startedAtMS: startedAtMS}
}

func (p *pool) removeBackend(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.closed = true
		p.closeIdleLocked(b)
		delete(p.backends, id)
	}
}

// closeIdle closes the connections to a server that carry nothing.
func (p *pool) closeIdle(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.closeIdleLocked(b)
	}
}

// halve leaves half of the connections to another process of this proxy, or
// takes them back.
func (p *pool) halve(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharesConnections = on
	for p.openConnections > p.limit() && p.evict() {
	}
}

func (p *pool) limit() int {
	if p.sharesConnections {
		return max(1, p.maxConnections/2)
	}
	return p.maxConnections
}

// barBackend has nothing more written to a server, whatever was picked before, or
// lets it be used again.
func (p *pool) barBackend(id balancer.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.barredBackends, id); on {
		p.barredBackends[id] = true
	}
}

// setDraining reports whether a server takes nothing new.
func (p *pool) setDraining(id balancer.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.draining = on
	}
}

// isBarred reports whether nothing may be written on a connection any more: since its server was picked, that
// has restarted, moved, begun to drain or left the list, or is held.
func (p *pool) isBarred(id balancer.EndpointID, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.backend.closed || c.backend.draining || p.barredBackends[id]
}

func (p *pool) closeIdleLocked(b *backend) {
	for _, c := range b.idle {
		besteffort.Close(c.Conn)
		p.openConnections--
	}
	b.idle = nil
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() bool {
	var oldest *backend
	for _, b := range p.idleCandidates {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	besteffort.Close(oldest.idle[0].Conn)
	oldest.idle = oldest.idle[1:]
	p.openConnections--
	return true
}

// expire closes the connections that have been idle too long.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleCandidates = slices.DeleteFunc(p.idleCandidates, func(b *backend) bool {
		p.closeExpiredLocked(b, now)
		b.isIdleCandidate = len(b.idle) > 0
		return !b.isIdleCandidate
	})
}

func (p *pool) closeExpiredLocked(b *backend, now time.Time) {
	expired := 0
	for expired < len(b.idle) && now.Sub(b.idle[expired].idleSince) >= p.maxIdleTime {
		besteffort.Close(b.idle[expired].Conn)
		expired++
	}
	p.openConnections -= expired
	b.idle = slices.Delete(b.idle, 0, expired)
}

// run expires idle connections until ctx ends.
func (p *pool) run(ctx context.Context) {
	for backoff.Sleep(ctx, max(p.idleTime()/8, 50*time.Millisecond)) {
		p.expire(time.Now())
	}
}

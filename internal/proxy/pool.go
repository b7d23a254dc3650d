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

// idleTimeoutFraction is the fraction of the idle timeout in the settings after which the pool closes a
// connection, so that the backend is never the first to close.
const idleTimeoutFraction = 0.75

// pool holds the connections to backends. It never sends anything itself.
type pool struct {
	dialer      net.Dialer
	pause       func(context.Context, time.Duration) bool // backoff.Sleep; tests replace it
	maxIdleTime time.Duration
	forwards    *atomic.Int64 // attempts whose request was written completely
	connNumbers atomic.Uint64 // the number of the connection opened last
	variety     *responseVariety

	mu                sync.Mutex
	openConnections   int // idle, in use or being dialled
	maxConnections    int
	sharesConnections bool // another process of this proxy has half of maxConnections
	backends          map[balancer.EndpointID]*backend
	idleCandidates    []*backend                   // have idle connections, or had some since the last expire
	barredBackends    map[balancer.EndpointID]bool // set for endpoints to which nothing may be written
}

// backend is one process of an endpoint. After a restart or with a new address the endpoint gets a new
// backend; connections of the previous one are never reused.
type backend struct {
	address         string
	startedAtMS     int64
	closed          bool    // replaced by a new backend, or removed
	draining        bool    // nothing new may be written to it
	isIdleCandidate bool    // it is in the idleCandidates of the pool
	idle            []*conn // in the order of their last use
}

// newPool returns a pool of at most maxConnections connections.
func newPool(s balancer.Settings, maxConnections int) *pool {
	p := &pool{
		maxConnections: maxConnections,
		forwards:       new(atomic.Int64),
		variety:        newResponseVariety(),
		backends:       map[balancer.EndpointID]*backend{},
		barredBackends: map[balancer.EndpointID]bool{},
		pause:          backoff.Sleep,
		dialer:         net.Dialer{KeepAlive: -1},
	}
	p.configure(s)
	return p
}

// configure applies the settings that concern connections.
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

// idleTime returns how long a connection may stay idle.
func (p *pool) idleTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxIdleTime
}

// setBackend sets the address and the start time of an endpoint. If one of them changes, idle connections to
// the earlier process are closed, as they are useless.
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

// removeBackend removes an endpoint that is no longer listed, and closes its idle connections.
func (p *pool) removeBackend(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.closed = true
		p.closeIdleLocked(b)
		delete(p.backends, id)
	}
}

// closeIdle closes the idle connections of an endpoint.
func (p *pool) closeIdle(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.closeIdleLocked(b)
	}
}

// halve halves the limit of connections while another process of this proxy uses the other half, or restores
// it.
func (p *pool) halve(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharesConnections = on
	for p.openConnections > p.limit() && p.evict() {
	}
}

// limit returns how many connections may be open at a time.
func (p *pool) limit() int {
	if p.sharesConnections {
		return max(1, p.maxConnections/2)
	}
	return p.maxConnections
}

// barBackend bars an endpoint, so that nothing more is written to it even if it has been chosen already, or
// ends the bar.
func (p *pool) barBackend(id balancer.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.barredBackends, id); on {
		p.barredBackends[id] = true
	}
}

// setDraining records whether an endpoint drains, so that nothing new may be written to it.
func (p *pool) setDraining(id balancer.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.draining = on
	}
}

// isBarred reports whether nothing may be written on a connection any more, because after the endpoint was
// chosen it has restarted, moved, begun to drain, left the list or been barred.
func (p *pool) isBarred(id balancer.EndpointID, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.backend.closed || c.backend.draining || p.barredBackends[id]
}

// closeIdleLocked closes the idle connections of a backend. The caller holds p.mu.
func (p *pool) closeIdleLocked(b *backend) {
	for _, c := range b.idle {
		besteffort.Close(c.Conn)
		p.openConnections--
	}
	b.idle = nil
}

// evict closes the connection that has been idle longest, and returns false if there is none. The caller
// holds p.mu.
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

// expire closes the connections that have been idle for maxIdleTime.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleCandidates = slices.DeleteFunc(p.idleCandidates, func(b *backend) bool {
		p.closeExpiredLocked(b, now)
		b.isIdleCandidate = len(b.idle) > 0
		return !b.isIdleCandidate
	})
}

// closeExpiredLocked closes the expired connections of one backend. The caller holds p.mu.
func (p *pool) closeExpiredLocked(b *backend, now time.Time) {
	expired := 0
	for expired < len(b.idle) && now.Sub(b.idle[expired].idleSince) >= p.maxIdleTime {
		besteffort.Close(b.idle[expired].Conn)
		expired++
	}
	p.openConnections -= expired
	b.idle = slices.Delete(b.idle, 0, expired)
}

// run calls expire at intervals until ctx ends.
func (p *pool) run(ctx context.Context) {
	for backoff.Sleep(ctx, max(p.idleTime()/8, 50*time.Millisecond)) {
		p.expire(time.Now())
	}
}

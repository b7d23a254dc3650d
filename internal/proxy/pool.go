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

const idleTimeoutShare = 0.75 // of the settings' idle time: the server must never be the first to close

// pool keeps connections to servers. It never sends anything itself.
type pool struct {
	dialer   net.Dialer
	pause    func(context.Context, time.Duration) bool
	maxIdle  time.Duration
	forwards *atomic.Int64 // attempts written completely

	mu             sync.Mutex
	open           int // connections, idle, in use or being dialled
	maxConnections int
	halved         bool // with another process of this proxy: half of them
	backends       map[balancer.EndpointID]*backend
	used           []*backend                   // those with idle connections, and some that had them lately
	heldBackends   map[balancer.EndpointID]bool // nothing is written to them
	memory         memoryBudget                 // for answers that are not small
}

// backend is one process of a server. A restart or a new address makes a new
// one, to which the old one's connections never return.
type backend struct {
	address     string
	startedAtMS int64
	closed      bool
	draining    bool    // nothing new is to be written to it
	hasUsed     bool    // it is among the pool's used ones
	idle        []*conn // the one used last comes last
}

func newPool(s balancer.Settings, most int) *pool {
	p := &pool{
		maxConnections: most,
		forwards:       new(atomic.Int64),
		backends:       map[balancer.EndpointID]*backend{},
		heldBackends:   map[balancer.EndpointID]bool{},
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
	if p.maxIdle = time.Duration(
		idleTimeoutShare * float64(s.ConnectionIdleTimeout),
	); s.ConnectionIdleTimeout <= 0 {
		p.maxIdle = time.Minute
	}
}

// idleTime is how long a connection may stay idle.
func (p *pool) idleTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxIdle
}

// setBackend takes a server's address from the list. Connections to an earlier
// process of it are worthless and are closed.
func (p *pool) setBackend(id balancer.EndpointID, address string, since int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.startedAtMS == since {
			return
		}
		b.closed = true
		p.drop(b)
	}
	p.backends[id] = &backend{address: address, startedAtMS: since}
}

func (p *pool) removeBackend(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.closed = true
		p.drop(b)
		delete(p.backends, id)
	}
}

// closeIdle closes the connections to a server that carry nothing.
func (p *pool) closeIdle(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.drop(b)
	}
}

// halve leaves half of the connections to another process of this proxy, or
// takes them back.
func (p *pool) halve(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.halved = on
	for p.open > p.limit() && p.evict() {
	}
}

func (p *pool) limit() int {
	if p.halved {
		return max(1, p.maxConnections/2)
	}
	return p.maxConnections
}

// holdBackend has nothing more written to a server, whatever was picked before, or
// lets it be used again.
func (p *pool) holdBackend(id balancer.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.heldBackends, id); on {
		p.heldBackends[id] = true
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
	return c.backend.closed || c.backend.draining || p.heldBackends[id]
}

func (p *pool) drop(b *backend) {
	for _, c := range b.idle {
		besteffort.Close(c.Conn)
		p.open--
	}
	b.idle = nil
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() bool {
	var oldest *backend
	for _, b := range p.used {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleAt.Before(oldest.idle[0].idleAt)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	besteffort.Close(oldest.idle[0].Conn)
	oldest.idle = oldest.idle[1:]
	p.open--
	return true
}

// expire closes the connections that have been idle too long.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = slices.DeleteFunc(p.used, func(b *backend) bool {
		p.dropOld(b, now)
		b.hasUsed = len(b.idle) > 0
		return !b.hasUsed
	})
}

func (p *pool) dropOld(b *backend, now time.Time) {
	old := 0
	for old < len(b.idle) && now.Sub(b.idle[old].idleAt) >= p.maxIdle {
		besteffort.Close(b.idle[old].Conn)
		old++
	}
	p.open -= old
	b.idle = slices.Delete(b.idle, 0, old)
}

// run expires idle connections until ctx ends.
func (p *pool) run(ctx context.Context) {
	for backoff.Sleep(ctx, max(p.idleTime()/8, 50*time.Millisecond)) {
		p.expire(time.Now())
	}
}

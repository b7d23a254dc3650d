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
)

const idlePart = 0.75 // of the settings' idle time: the server must never be the first to close

// pool keeps connections to servers. It never sends anything itself.
type pool struct {
	dialer   net.Dialer
	pause    func(context.Context, time.Duration) bool
	maxIdle  time.Duration
	forwards *atomic.Int64 // attempts written whole

	mu       sync.Mutex
	open     int // connections, idle, in use or being dialled
	most     int
	shared   bool // with another process of this node: half of them
	backends map[balancer.EndpointID]*backend
	used     []*backend                   // those with idle connections, and some that had them lately
	held     map[balancer.EndpointID]bool // nothing is written to them
	room     room                         // for answers that are not small
}

// backend is one process of a server. A restart or a new address makes a new
// one, to which the old one's connections never return.
type backend struct {
	address string
	since   int64
	closed  bool
	drains  bool    // nothing new is to be written to it
	used    bool    // it is among the pool's used ones
	idle    []*conn // the one used last comes last
}

func newPool(s balancer.Settings, most int) *pool {
	p := &pool{most: most, forwards: new(atomic.Int64), backends: map[balancer.EndpointID]*backend{}, held: map[balancer.EndpointID]bool{},
		room: newRoom(defaultMemoryMB), pause: backoff.Sleep,
		dialer: net.Dialer{KeepAlive: -1}}
	p.configure(s)
	return p
}

// configure takes the settings that concern connections.
func (p *pool) configure(s balancer.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout = s.ConnectTimeout
	if p.maxIdle = time.Duration(idlePart * float64(s.ConnectionIdleTimeout)); s.ConnectionIdleTimeout <= 0 {
		p.maxIdle = time.Minute
	}
}

// idleTime is how long a connection may stay idle.
func (p *pool) idleTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxIdle
}

// set takes a server's address from the list. Connections to an earlier
// process of it are worthless and are closed.
func (p *pool) set(id balancer.EndpointID, address string, since int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.since == since {
			return
		}
		b.closed = true
		p.drop(b)
	}
	p.backends[id] = &backend{address: address, since: since}
}

func (p *pool) remove(id balancer.EndpointID) {
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

// share leaves half of the connections to another process of this node, or
// takes them back.
func (p *pool) share(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared = on
	for p.open > p.limit() && p.evict() {
	}
}

func (p *pool) limit() int {
	if p.shared {
		return max(1, p.most/2)
	}
	return p.most
}

// hold has nothing more written to a server, whatever was picked before, or
// lets it be used again.
func (p *pool) hold(id balancer.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.held, id); on {
		p.held[id] = true
	}
}

// drain says whether a server takes nothing new.
func (p *pool) drain(id balancer.EndpointID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.drains = on
	}
}

// barred tells whether nothing may be written on a connection any more: since its server was picked, that has
// restarted, moved, begun to drain or left the list, or is held.
func (p *pool) barred(id balancer.EndpointID, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.of.closed || c.of.drains || p.held[id]
}

func (p *pool) drop(b *backend) {
	for _, c := range b.idle {
		c.Conn.Close()
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
	oldest.idle[0].Conn.Close()
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
		b.used = len(b.idle) > 0
		return !b.used
	})
}

func (p *pool) dropOld(b *backend, now time.Time) {
	old := 0
	for old < len(b.idle) && now.Sub(b.idle[old].idleAt) >= p.maxIdle {
		b.idle[old].Conn.Close()
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

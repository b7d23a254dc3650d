package server

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxClients bounds the clients whose rates are kept; beyond it all start anew.
const maxClients = 10000

// rates limits the writes of single clients.
type rates struct {
	perSecond float64
	mu        sync.Mutex
	clients   map[string]*rate.Limiter
}

func newRates(perSecond float64) *rates {
	return &rates{perSecond: perSecond, clients: map[string]*rate.Limiter{}}
}

// allow takes one write of a client, or says after what time to come again.
func (r *rates) allow(client string, now time.Time) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.clients[client]
	if l == nil {
		if len(r.clients) >= maxClients {
			clear(r.clients)
		}
		l = rate.NewLimiter(rate.Limit(r.perSecond), max(1, int(2*r.perSecond)))
		r.clients[client] = l
	}
	got := l.ReserveN(now, 1)
	if wait := got.DelayFrom(now); wait > 0 {
		got.CancelAt(now)
		return wait, false
	}
	return 0, true
}

package server

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxTrackedClients bounds the clients whose rates are tracked. Beyond it the rates of all clients are reset.
const maxTrackedClients = 10000

// rates limits the rate of writes of each client.
type rates struct {
	perSecond float64
	mu        sync.Mutex
	clients   map[string]*rate.Limiter
}

func newRates(perSecond float64) *rates {
	return &rates{perSecond: perSecond, clients: map[string]*rate.Limiter{}}
}

// allow admits one write of a client, or returns the time after which the client may retry.
func (r *rates) allow(client string, now time.Time) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter := r.clients[client]
	if limiter == nil {
		if len(r.clients) >= maxTrackedClients {
			clear(r.clients)
		}
		limiter = rate.NewLimiter(rate.Limit(r.perSecond), max(1, int(2*r.perSecond)))
		r.clients[client] = limiter
	}
	reservation := limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return wait, false
	}
	return 0, true
}

package balancer

import "math"

// isLost reports whether an attempt will hardly be answered: it has taken many times what its endpoint
// usually takes, and the endpoint has answered later attempts since, or answers nothing.
func (b *Balancer) isLost(a *attempt, r *request) bool {
	if !b.hasEstimates || r.responseStarted || r.incomplete {
		return false
	}
	e := a.endpoint
	if !e.ejected && e.lastAnsweredSend <= a.sentAt {
		return false
	}
	usual := math.Max(b.meanLatency, b.expectedLatency(e)) * r.class.relativeCost * math.Max(1, r.relativeWork)
	return (b.now - a.sentAt).Seconds() > overdueFactor*usual
}

// dropLostAttempts takes lost attempts out of their endpoints' counts, as they tell nothing of how loaded
// these are. An attempt is also cancelled, which leads to a retry, while its request can still earn on an
// endpoint in normal mode.
func (b *Balancer) dropLostAttempts(r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.ended || a.uncounted || !b.isLost(a, r) {
			continue
		}
		b.removeInFlight(a, 0)
		b.recordLatency(a.endpoint, (b.now-a.sentAt).Seconds()/r.class.relativeCost)
		inTime := !b.isTooLate(r, b.meanLatency*r.class.relativeCost)
		if b.settings.AllowCancel && b.retryBudget >= 1 && inTime && b.hasNormalEndpoint(r) {
			b.emit(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
}

// hasNormalEndpoint reports whether an endpoint in normal mode could take a request once an attempt of it is
// cancelled.
func (b *Balancer) hasNormalEndpoint(r *request) bool {
	r.attemptsInFlight--
	_, mode := b.pickEndpoint(r)
	r.attemptsInFlight++
	return mode == Normal
}

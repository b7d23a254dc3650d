package balancer

import "math"

// isLost reports whether an attempt is unlikely to be answered: it has taken longer than overdueFactor times
// the latency expected of its endpoint, and the endpoint has answered a later attempt or is ejected.
func (b *Balancer) isLost(a *attempt, r *request) bool {
	if !b.hasEstimates || r.responseStarted || r.incomplete {
		return false
	}
	e := a.endpoint
	if !e.ejected && e.lastAnsweredSend <= a.sentAt {
		return false
	}
	expected := math.Max(b.meanLatency, b.expectedLatency(e)) *
		r.class.relativeCost * math.Max(1, r.relativeWork)
	return (b.now - a.sentAt).Seconds() > overdueFactor*expected
}

// dropLostAttempts takes lost attempts out of the in-flight counts of their endpoints, as lost attempts say
// nothing about load. It also cancels a lost attempt, which leads to a retry, if the settings and the retry
// budget allow it and a retry at an endpoint in normal mode could still meet the latency objective.
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

// hasNormalEndpoint reports whether an endpoint in normal mode could get the request once one of its attempts
// has been cancelled.
func (b *Balancer) hasNormalEndpoint(r *request) bool {
	r.attemptsInFlight--
	_, mode := b.pickEndpoint(r)
	r.attemptsInFlight++
	return mode == Normal
}

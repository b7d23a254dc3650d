package balancer

import (
	"slices"
	"time"
)

const (
	// before the first recovery probe of an ejected endpoint; doubles
	minProbeBackoff     = 500 * time.Millisecond
	maxProbeBackoff     = 4 * time.Second // the longest such wait, well under the length of faults
	maxIdleWithoutProbe = 3 * time.Second // without an attempt, where all endpoints are ejected
)

// sendRecoveryProbe sends a request that may be repeated to an ejected endpoint whose turn it is, with time
// left for a retry, and reports whether it did. Where no warm endpoint is left, neither the budget nor an
// endpoint's backoff may leave the proxy idle: the endpoint that has waited longest is tried within
// maxIdleWithoutProbe of the last attempt, up to a third sooner by chance.
func (b *Balancer) sendRecoveryProbe(r *request) bool {
	isWarm := func(e *endpoint) bool { return !e.slowStarting && !e.ejected }
	hasWarm := slices.ContainsFunc(r.class.placement.candidates, isWarm)
	idle := !hasWarm && b.now >= b.lastAttemptAt+b.idleProbeWait
	if r.class.Idempotency == NotIdempotent || b.probeBudget < 1 && !idle {
		return false
	}
	e := b.nextToProbe(r, idle, !hasWarm)
	wait := max(b.settings.ConnectTimeout, seconds(overdueFactor*b.meanLatency*r.class.relativeCost))
	if !b.startAttempt(r, e, min(wait, r.class.LatencyObjective/3)) {
		return false
	}
	r.recoveryProbe = true
	e.probeBackoff = min(2*e.probeBackoff, maxProbeBackoff)
	e.nextProbeAt = b.now + b.jitter(e.probeBackoff)
	b.probeBudget = max(0, b.probeBudget-1)
	if !hasWarm {
		b.idleProbeWait = maxIdleWithoutProbe/2 + b.jitter(maxIdleWithoutProbe/3)
	}
	return true
}

// nextToProbe returns the first ejected endpoint, from this proxy's origin on, that may get the request and
// whose backoff is over, nil if there is none. If the proxy is idle, backoffs do not count. With longestWait
// it returns the one that has waited longest.
func (b *Balancer) nextToProbe(r *request, idle, longestWait bool) *endpoint {
	var next *endpoint
	b.ejected.rotateTo(b.origin)
	for i := range b.ejected.endpoints {
		e := b.ejected.at(i)
		preferred := next == nil || longestWait && e.nextProbeAt < next.nextProbeAt
		due := idle || b.now >= e.nextProbeAt
		if preferred && due && e.ejected && b.canSend(r, e) == sendAllowed {
			next = e
		}
	}
	return next
}

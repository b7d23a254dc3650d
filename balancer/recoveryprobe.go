package balancer

import (
	"slices"
	"time"
)

const (
	// minProbeBackoff is the mean wait before the first recovery probe of an ejected endpoint. The wait doubles
	// with each probe.
	minProbeBackoff = 500 * time.Millisecond
	// maxProbeBackoff is the longest mean wait between recovery probes, well below the duration of faults.
	maxProbeBackoff = 4 * time.Second
	// maxIdleWithoutProbe is the longest time without an attempt while no warm endpoint is available.
	maxIdleWithoutProbe = 3 * time.Second
)

// sendRecoveryProbe uses a request that may be repeated to test an ejected endpoint whose probe is due, and
// reports whether it did. The timeout leaves time for a retry. If no endpoint is warm, neither the probe
// budget nor backoffs may stop this proxy from sending: after a time without an attempt, which is drawn
// between two thirds of maxIdleWithoutProbe and all of it, it tests the endpoint whose probe has been due
// longest.
func (b *Balancer) sendRecoveryProbe(r *request) bool {
	isWarm := func(e *endpoint) bool { return !e.slowStarting && !e.ejected }
	hasWarm := slices.ContainsFunc(r.class.placement.candidates, isWarm)
	idle := !hasWarm && b.now >= b.lastAttemptAt+b.idleProbeWait
	if r.class.Idempotency == NotIdempotent || b.probeBudget < 1 && !idle {
		return false
	}
	e := b.nextToProbe(r, idle, !hasWarm)
	timeout := max(b.settings.ConnectTimeout,
		secondsToDuration(overdueFactor*b.meanLatency*r.class.relativeCost))
	if !b.startAttempt(r, e, min(timeout, r.class.LatencyObjective/3)) {
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
// whose backoff has passed, or nil if there is none. If idle is set, backoffs are ignored. If longestWait is
// set, it returns the endpoint whose probe has been due longest.
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

package balancer

import (
	"fmt"
	"math"
)

const (
	ejectAfter       = 3    // refused connections, or attempts without any answer: fewer are chance
	ejectFailureRate = 0.5  // smoothed fraction of an endpoint's attempts that fail, from which it is ejected
	failureSmoothing = 0.05 // weight of an outcome in that fraction
)

// recordOutcome takes the outcome of an attempt: what it shows of the endpoint's latency, and whether the
// endpoint is an outlier.
func (b *Balancer) recordOutcome(e *endpoint, r *request, event AttemptEnded) {
	switch event.Outcome {
	case Cancelled, NotSent: // nothing is known of the endpoint
	case Rejected:
		e.unansweredSends = 0
		b.imposeMode(e, Blocking)
	case OK:
		b.recordSuccess(e, r, event)
	default:
		if event.Outcome == ServerError || event.Outcome == ConnectionReset {
			e.unansweredSends = 0 // no response, but a sign of life
		}
		b.recordLatency(e, failureLatency(r, event))
		b.recordFailure(e, event.Outcome)
	}
}

// recordSuccess takes a response. An ejected endpoint is back; one that may have restarted unannounced begins
// a slow start.
func (b *Balancer) recordSuccess(e *endpoint, r *request, event AttemptEnded) {
	e.countResponse(b.now)
	e.unansweredSends = 0
	if !r.responseStarted {
		b.recordResponse(&r.attempts[event.Attempt], r, event.Elapsed)
	}
	e.failureRate -= failureSmoothing * e.failureRate
	e.consecutiveFailures = 0
	if !e.ejected {
		return
	}
	e.ejected = false
	if r.recoveryProbe && e.maybeRestarted {
		b.beginSlowStart(e, b.now)
	}
	b.logEndpoint(e, fmt.Sprintf("answers again; slow start: %v", e.slowStarting))
}

// recordFailure counts a failed attempt or load query. A few failures in a row are chance at an endpoint that
// fails a fraction of its requests, which is worth more than one endpoint less; but one that refuses
// connections has no process. One whose connections only come up late is found as unresponsive.
func (b *Balancer) recordFailure(e *endpoint, outcome Outcome) {
	refused := outcome == ConnectFailed
	e.failureRate += failureSmoothing * (1 - e.failureRate)
	e.consecutiveFailures++
	if refused {
		e.consecutiveFailures++ // weighs twice
	}
	if e.failureRate >= ejectFailureRate || refused && e.consecutiveFailures >= ejectAfter {
		b.eject(e, fmt.Sprintf("fails, last with %v", outcome))
		e.maybeRestarted = e.maybeRestarted || refused
	}
}

// eject leaves an endpoint nothing but recovery probes.
func (b *Balancer) eject(e *endpoint, why string) {
	if e.ejected {
		return
	}
	e.ejected = true
	e.maybeRestarted = false
	e.probeBackoff = minProbeBackoff
	e.nextProbeAt = b.now + b.jitter(minProbeBackoff)
	b.ejected.insert(e)
	b.logEndpoint(e, fmt.Sprintf("ejected: %s; recovery probes only", why))
}

// ejectUnresponsive ejects endpoints that have not answered several attempts for many times what the fleet
// takes.
func (b *Balancer) ejectUnresponsive() {
	b.ejected.retain(func(e *endpoint) bool { return e.ejected })
	b.unresponsive.retain((*endpoint).isUnresponsive)
	b.unresponsive.rotateTo(b.origin)
	for i := range b.unresponsive.endpoints {
		e := b.unresponsive.at(i)
		silence := (b.now - e.unresponsiveSince).Seconds()
		if b.meanLatency > 0 && silence > overdueFactor*math.Max(b.meanLatency, b.expectedLatency(e)) {
			b.eject(e, "no answer")
			e.maybeRestarted = true
		}
	}
}

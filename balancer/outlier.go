package balancer

import (
	"fmt"
	"math"
)

const (
	// ejectAfterFailures is the number of refused connections, or of attempts without any answer, after which an
	// endpoint is ejected. Fewer may be chance.
	ejectAfterFailures = 3
	// ejectFailureRate is the failure rate, a smoothed fraction of an endpoint's attempts, from which on the
	// endpoint is ejected.
	ejectFailureRate = 0.5
	// failureSmoothing is the weight of one outcome in the failure rate.
	failureSmoothing = 0.05
)

// recordOutcome updates an endpoint's latency estimate and its outlier state with the outcome of an attempt.
func (b *Balancer) recordOutcome(e *endpoint, r *request, event AttemptEnded) {
	switch event.Outcome {
	case Cancelled, NotSent: // they say nothing about the endpoint
	case Rejected:
		e.unansweredSends = 0
		b.imposeMode(e, Blocking)
	case OK:
		b.recordSuccess(e, r, event)
	default:
		if event.Outcome == ServerError || event.Outcome == ConnectionReset {
			e.unansweredSends = 0 // not a response, but the endpoint's process is alive
		}
		b.recordLatency(e, failureLatency(r, event))
		b.recordFailure(e, event.Outcome)
	}
}

// recordSuccess records a response. An endpoint that was ejected is no longer ejected. If the response is
// that of a recovery probe and the endpoint may have restarted (see maybeRestarted), the endpoint begins a
// slow start.
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

// recordFailure records a failed attempt or load query. An endpoint whose failure rate is below
// ejectFailureRate is kept: several failures in a row are then chance, and ejecting it would leave one
// endpoint less. An endpoint that refuses connections has no process. It is ejected after ejectAfterFailures
// refusals or fewer, as each counts twice. An endpoint at which connections are established too late is
// ejected by ejectUnresponsive instead.
func (b *Balancer) recordFailure(e *endpoint, outcome Outcome) {
	refused := outcome == ConnectFailed
	e.failureRate += failureSmoothing * (1 - e.failureRate)
	e.consecutiveFailures++
	if refused {
		e.consecutiveFailures++ // a refused connection counts twice
	}
	if e.failureRate >= ejectFailureRate || refused && e.consecutiveFailures >= ejectAfterFailures {
		b.eject(e, fmt.Sprintf("fails, last with %v", outcome))
		e.maybeRestarted = e.maybeRestarted || refused
	}
}

// eject stops all attempts at an endpoint except recovery probes.
func (b *Balancer) eject(e *endpoint, reason string) {
	if e.ejected {
		return
	}
	e.ejected = true
	e.maybeRestarted = false
	e.probeBackoff = minProbeBackoff
	e.nextProbeAt = b.now + b.jitter(minProbeBackoff)
	b.ejected.insert(e)
	b.logEndpoint(e, fmt.Sprintf("ejected: %s; recovery probes only", reason))
}

// ejectUnresponsive ejects endpoints that have left several attempts unanswered for overdueFactor times the
// expected latency.
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

package balancer

import (
	"math"
	"time"
)

// startAttempt is the only way to an endpoint. It reports false, and does nothing, if there is none or
// canSend forbids it.
func (b *Balancer) startAttempt(r *request, e *endpoint, timeout time.Duration) bool {
	if e == nil || b.canSend(r, e) != sendAllowed {
		return false
	}
	writeBy := min(r.deadline, r.dedupUntil())
	work := r.relativeWork * r.class.relativeCost
	r.attempts = append(r.attempts, attempt{
		endpoint:   e,
		sentAt:     b.now,
		mayHaveRun: true,
		uncounted:  r.incomplete,
		work:       work,
	})
	r.attemptsInFlight++
	e.slowStartTokens -= work
	b.lastAttemptAt = b.now
	b.emit(StartAttempt{ID: r.id, Endpoint: e.ID, Timeout: min(timeout, r.deadline-b.now), WriteBy: writeBy})
	if !r.incomplete { // else it counts from when its last byte is sent
		b.addInFlight(&r.attempts[len(r.attempts)-1])
	}
	return true
}

// addInFlight counts an attempt that its endpoint now works on.
func (b *Balancer) addInFlight(a *attempt) {
	e := a.endpoint
	a.queuedAhead = e.inFlight
	e.inFlight++
	e.unansweredSends++
	if e.unansweredSends == ejectAfter {
		b.unresponsive.insert(e)
		e.unresponsiveSince = b.now // earlier attempts are overdue by the time at which this one is
	}
	b.changeLoad(e, a.work, 0)
}

// removeInFlight takes an attempt out of its endpoint's count. latency is what it has shown of a mean
// request, in seconds; 0: nothing.
func (b *Balancer) removeInFlight(a *attempt, latency float64) {
	a.uncounted = true
	a.endpoint.inFlight = max(0, a.endpoint.inFlight-1)
	b.changeLoad(a.endpoint, -a.work, latency)
}

// changeLoad adds work, in mean requests, to what this proxy has in flight at an endpoint, and tells its
// peers.
func (b *Balancer) changeLoad(e *endpoint, work, latency float64) {
	e.inFlightWork = math.Max(0, e.inFlightWork+work)
	if e.inFlight == 0 {
		e.inFlightWork = 0 // rounding errors must not add up
	}
	if b.takeGossipCPU(e, work < 0) {
		b.gossipLoad(e, latency)
	}
}

// responseStarted takes the beginning of a response. In a class that does not stream, the work is done by
// then.
func (b *Balancer) responseStarted(r *request, a *attempt, elapsed time.Duration) {
	r.responseStarted = true
	b.recordResponse(a, r, elapsed)
	if !r.class.Streamed && !a.ended && !a.uncounted {
		b.removeInFlight(a, elapsed.Seconds()/r.class.relativeCost)
	}
}

// attemptEnded takes the end of an attempt, and ends its request or makes a retry.
func (b *Balancer) attemptEnded(event AttemptEnded) {
	r := b.requests[event.ID]
	if r == nil || event.Attempt < 0 || event.Attempt >= len(r.attempts) || r.attempts[event.Attempt].ended {
		return
	}
	a := &r.attempts[event.Attempt]
	a.ended = true
	a.mayHaveRun = !event.Outcome.provesNotRun()
	r.attemptsInFlight--
	if !a.uncounted {
		b.removeInFlight(a, observedLatency(r, event))
	}
	if event.Outcome == OK || event.Outcome == ServerError {
		a.endpoint.lastAnsweredSend = max(a.endpoint.lastAnsweredSend, a.sentAt)
	}
	if a.endpoint.State != Ready || a.endpoint.inMaintenance {
		b.emit(CloseIdleConnections{Endpoint: a.endpoint.ID}) // its connection is idle now
	}
	b.recordLoadReport(a.endpoint, event.LoadReport)
	b.recordOutcome(a.endpoint, r, event)
	switch {
	case r.answered && r.attemptsInFlight == 0:
		delete(b.requests, r.id)
	case event.RequestAnswered:
		b.closeRequest(r)
	case r.attemptsInFlight == 0 && event.BodyDiscarded:
		b.giveUp(r)
	case r.attemptsInFlight == 0:
		b.dispatch(r)
	}
}

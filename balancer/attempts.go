package balancer

import (
	"math"
	"time"
)

// startAttempt starts an attempt of a request at an endpoint; every attempt starts here. The attempt ends
// after timeout or at the request's deadline, whichever is earlier. startAttempt returns false and changes
// nothing if e is nil or canSend forbids the attempt.
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
	if !r.incomplete { // an incomplete request is counted once its last byte has been sent
		b.addInFlight(&r.attempts[len(r.attempts)-1])
	}
	return true
}

// addInFlight counts an attempt as in flight at its endpoint, which starts to work on it now.
func (b *Balancer) addInFlight(a *attempt) {
	e := a.endpoint
	a.queuedAhead = e.inFlight
	e.inFlight++
	e.unansweredSends++
	if e.unansweredSends == ejectAfterFailures {
		b.unresponsive.insert(e)
		e.unresponsiveSince = b.now // once this attempt is overdue, the earlier ones are overdue, too
	}
	b.changeLoad(e, a.work, 0)
}

// removeInFlight takes an attempt out of its endpoint's in-flight count. latency is what the attempt shows of
// the latency of a mean request at the endpoint, in seconds; 0: it shows nothing.
func (b *Balancer) removeInFlight(a *attempt, latency float64) {
	a.uncounted = true
	a.endpoint.inFlight = max(0, a.endpoint.inFlight-1)
	b.changeLoad(a.endpoint, -a.work, latency)
}

// changeLoad adds work, in mean requests, to the work that this proxy has in flight at an endpoint. If the
// processor time for gossip allows it, it also sends the new sum and a latency in seconds (0: none) to the
// proxies that share the endpoint.
func (b *Balancer) changeLoad(e *endpoint, work, latency float64) {
	e.inFlightWork = math.Max(0, e.inFlightWork+work)
	if e.inFlight == 0 {
		e.inFlightWork = 0 // rounding errors must not add up
	}
	if b.takeGossipCPU(e, work < 0) {
		b.gossipLoad(e, latency)
	}
}

// responseStarted handles the beginning of a response. Unless the class is streamed, the endpoint has
// finished its work on the request by then.
func (b *Balancer) responseStarted(r *request, a *attempt, elapsed time.Duration) {
	r.responseStarted = true
	b.recordResponse(a, r, elapsed)
	if !r.class.Streamed && !a.ended && !a.uncounted {
		b.removeInFlight(a, elapsed.Seconds()/r.class.relativeCost)
	}
}

// attemptEnded handles the end of an attempt: it updates the state of the endpoint and then closes the
// request, gives it up or dispatches a retry.
func (b *Balancer) attemptEnded(event AttemptEnded) {
	r := b.requests[event.ID]
	if r == nil || event.Attempt < 0 || event.Attempt >= len(r.attempts) || r.attempts[event.Attempt].ended {
		return
	}
	a := &r.attempts[event.Attempt]
	a.ended = true
	a.mayHaveRun = !event.Outcome.ProvesNotRun()
	r.attemptsInFlight--
	if !a.uncounted {
		b.removeInFlight(a, observedLatency(r, event))
	}
	if event.Outcome == OK || event.Outcome == ServerError {
		a.endpoint.lastAnsweredSend = max(a.endpoint.lastAnsweredSend, a.sentAt)
	}
	if a.endpoint.State != Ready || a.endpoint.inMaintenance {
		b.emit(CloseIdleConnections{Endpoint: a.endpoint.ID}) // the attempt's connection is idle now
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

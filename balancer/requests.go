package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	maxRequestReadTime = time.Hour // for a request to come; the caller enforces how fast it must
	retryAfterShare    = 0.15      // of the latency objective, as Retry-After of a rejection, before jitter
)

// requestArrived takes a new request: it is rejected by the operators' limits, or gets its first attempt, or
// is shed.
func (b *Balancer) requestArrived(e RequestArrived) {
	r := b.newRequest(e)
	b.requests[e.ID] = r
	b.openRequests = append(b.openRequests, r)

	r.priority = b.random() < priorityFraction(r.class.PriorityWeight, r.class.placement.maxPriorityWeight) &&
		!b.isTooLate(r, 0)
	if t := b.tenants[e.Tenant]; t != nil && !t.takeToken(b.now) {
		r.priority = false // beyond its tenant's quota a request is worth little
	}
	if !b.admitByLimits(r, &e) {
		return
	}
	if r.priority {
		r.class.placement.priorityArrivals++
	} else {
		r.class.placement.otherArrivals++
	}
	b.refillBudgets()
	if !b.sendRecoveryProbe(r) {
		b.dispatch(r)
	}
}

func (b *Balancer) newRequest(e RequestArrived) *request {
	c := b.classNamed(e.Class, e.PreviousSettings)
	r := &request{id: e.ID, class: c, arrived: b.now, maxAttempts: b.settings.MaxAttempts, relativeWork: 1}
	r.deadline = b.now + e.Timeout
	if e.Incomplete {
		r.incomplete = true
		r.deadline = b.now + maxRequestReadTime
	}
	if e.ClientRetry { // its client has waited for the rest of its deadline, at most
		r.waitedBefore = max(0, c.Deadline-e.Timeout)
	}
	if e.HasWorkHint && e.WorkHint > 0 {
		hint := e.WorkHint.Seconds()
		c.workHints++
		c.meanWorkHint += max(fleetSmoothing, 1/c.workHints) * (hint - c.meanWorkHint)
		r.relativeWork = hint / c.meanWorkHint
	}
	return r
}

// requestSent starts the time of a request that was incomplete, and that of its attempt: the endpoint starts
// on it now.
func (b *Balancer) requestSent(r *request, timeout time.Duration) {
	if r == nil || r.answered || !r.incomplete {
		return
	}
	r.incomplete = false
	r.arrived = b.now
	r.deadline = b.now + timeout
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended {
			a.sentAt = b.now
			a.uncounted = false
			b.addInFlight(a)
		}
	}
}

// dispatch is the one way in which a request gets its first attempt or a retry. If there is neither, and no
// attempt is in flight, it ends the request.
func (b *Balancer) dispatch(r *request) {
	e, mode := b.pickEndpoint(r)
	if r.awaitingLoad || mode != Normal && b.queryLoad(r) {
		return
	}
	r.loadQueryRounds = 0
	r.queried = nil
	if mode != Normal {
		r.class.placement.overloadedAt = b.now
	}
	isRetry := len(r.attempts) > 0
	costsBudget := isRetry && r.attempts[len(r.attempts)-1].mayHaveRun
	if isRetry && !b.allowsRetry(r, mode, costsBudget) || !isRetry && b.sheds(r, mode) {
		e = nil
	}
	if b.startAttempt(r, e, r.deadline) {
		if costsBudget {
			b.retryBudget--
		}
	} else if r.attemptsInFlight == 0 {
		b.giveUp(r)
	}
}

// giveUp returns the final answer where no endpoint did: a rejection if a new try does no harm, else a
// failure.
func (b *Balancer) giveUp(r *request) {
	objective := float64(r.class.LatencyObjective)
	retryAfter := min(b.jitter(time.Duration(retryAfterShare*objective)), b.settings.MaxRetryAfter)
	if r.canReject() {
		b.emit(Reject{ID: r.id, RetryAfter: retryAfter})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.closeRequest(r)
}

// canReject reports whether a new try does no harm, which a rejection promises: no endpoint may have run the
// request, or running it again is harmless wherever the new try goes.
func (r *request) canReject() bool {
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
	switch {
	case !mayHaveRun, r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentByKey:
		return r.class.DedupScope == DedupEverywhere
	}
	return false
}

// closeRequest ends a request that has its final answer, or needs none. It is forgotten once its attempts
// have ended.
func (b *Balancer) closeRequest(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	r.releaseReservations()
	for i, a := range r.attempts {
		if b.settings.AllowCancel && !a.ended && !r.responseStarted {
			b.emit(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.attemptsInFlight == 0 {
		delete(b.requests, r.id)
	}
}

// refillBudgets adds what a new request earns to the budgets of retries and of recovery probes.
func (b *Balancer) refillBudgets() {
	b.retryBudget = math.Min(maxRetryBudget, b.retryBudget+retryBudgetRatio)
	b.probeBudget = math.Min(1, b.probeBudget+retryBudgetRatio/2)
}

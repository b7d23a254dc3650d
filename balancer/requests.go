package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRequestReadTime bounds the time in which an incomplete request arrives. The caller enforces a minimum
	// transfer speed.
	maxRequestReadTime = time.Hour
	// retryAfterFraction is the fraction of the latency objective that a rejection recommends as Retry-After,
	// before jitter.
	retryAfterFraction = 0.15
)

// requestArrived handles a new request: the operators' limits reject it, or it gets its first attempt, or it
// is shed.
func (b *Balancer) requestArrived(e RequestArrived) {
	r := b.newRequest(e)
	b.requests[e.ID] = r
	b.openRequests = append(b.openRequests, r)

	r.priority = b.random() < priorityFraction(r.class.PriorityWeight, r.class.placement.maxPriorityWeight) &&
		!b.isTooLate(r, 0)
	if t := b.tenants[e.Tenant]; t != nil && !t.takeToken(b.now) {
		r.priority = false // a request beyond its tenant's quota has little weight
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
	r.received = !e.Incomplete
	if e.Incomplete {
		r.incomplete = true
		r.deadline = b.now + maxRequestReadTime
	}
	if e.ClientRetry { // its previous tries took at most the class's deadline without this timeout
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

// requestReceived starts the time of a request that was incomplete.
func (b *Balancer) requestReceived(r *request, timeout time.Duration) {
	if r == nil || r.answered || r.received {
		return
	}
	r.received = true
	r.arrived = b.now
	r.deadline = b.now + timeout
}

// requestSent starts the time of the attempt of a request that was incomplete, as the endpoint starts to work
// on it now.
func (b *Balancer) requestSent(r *request, timeout time.Duration) {
	if r == nil || r.answered || !r.incomplete {
		return
	}
	b.requestReceived(r, timeout)
	r.incomplete = false
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended {
			a.sentAt = b.now
			a.uncounted = false
			b.addInFlight(a)
		}
	}
}

// dispatch starts the first attempt or a retry of a request, possibly after load queries. If it can't start
// an attempt and none is in flight, it gives the request up.
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
	if isRetry && !b.allowsRetry(r, mode, costsBudget) || !isRetry && b.shouldShed(r, mode) {
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

// giveUp gives the final answer to a request that no endpoint has answered: a rejection if sending it again
// does no harm, otherwise a failure.
func (b *Balancer) giveUp(r *request) {
	objective := float64(r.class.LatencyObjective)
	retryAfter := min(b.jitter(time.Duration(retryAfterFraction*objective)), b.settings.MaxRetryAfter)
	if r.canReject() {
		b.emit(Reject{ID: r.id, RetryAfter: retryAfter})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.closeRequest(r)
}

// canReject reports whether sending the request again does no harm, as a rejection promises: no endpoint may
// have run it, or running it again is harmless at any endpoint.
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

// closeRequest closes a request that has its final answer or needs none. The request is deleted once its
// attempts have ended.
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

// refillBudgets adds the retries and the recovery probes that a new request allows to their budgets.
func (b *Balancer) refillBudgets() {
	b.retryBudget = math.Min(maxRetryBudget, b.retryBudget+retryBudgetRatio)
	b.probeBudget = math.Min(1, b.probeBudget+retryBudgetRatio/2)
}

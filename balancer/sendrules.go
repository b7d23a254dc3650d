package balancer

// sendRule is a rule that can forbid an attempt.
type sendRule int

// The rules on attempts, in the order in which they are checked.
const (
	sendAllowed         sendRule = iota
	requestIsOver                // it is answered, its response has begun or its deadline has passed
	attemptsExhausted            // the request has had its maximum number of attempts
	endpointUnavailable          // the endpoint is not ready or in maintenance
	endpointNotAllowed           // the placement of the class does not allow the endpoint
	concurrentAttempt            // two attempts are in flight, or one and hedging is not allowed
	endpointTried                // an earlier attempt of the request was at this endpoint
	mayRunTwice                  // the request is not idempotent, and an earlier attempt may have run
	dedupWindowOver              // endpoints may have dropped the idempotency key
	outsideDedupScope            // the endpoint does not share the knowledge of the idempotency key
)

// canSend returns the first rule that forbids an attempt of a request at an endpoint, or sendAllowed. Every
// attempt is checked by canSend. The guarantee that a request which is not idempotent never runs twice
// depends on canSend and on Outcome.ProvesNotRun.
func (b *Balancer) canSend(r *request, e *endpoint) sendRule {
	switch {
	case r.answered, r.responseStarted, b.now >= r.deadline:
		return requestIsOver
	case len(r.attempts) >= max(1, min(r.maxAttempts, b.settings.MaxAttempts)):
		return attemptsExhausted
	case e.State != Ready, e.inMaintenance:
		return endpointUnavailable
	case !r.class.placement.allows(e):
		return endpointNotAllowed
	case r.attemptsInFlight >= 2, r.attemptsInFlight > 0 && !b.settings.AllowHedging:
		return concurrentAttempt
	}
	for i := range r.attempts {
		if rule := b.canRepeat(r, &r.attempts[i], e); rule != sendAllowed {
			return rule
		}
	}
	return sendAllowed
}

// canRepeat returns the rule by which an earlier attempt forbids another attempt at an endpoint, or
// sendAllowed.
func (b *Balancer) canRepeat(r *request, earlier *attempt, e *endpoint) sendRule {
	if earlier.endpoint == e {
		return endpointTried
	}
	if !earlier.mayHaveRun || r.class.Idempotency == Idempotent {
		return sendAllowed
	}
	if r.class.Idempotency == NotIdempotent {
		return mayRunTwice
	}
	if b.now+b.settings.MinEventInterval >= r.dedupUntil() {
		return dedupWindowOver
	}
	if !r.class.DedupScope.covers(earlier.endpoint, e) {
		return outsideDedupScope
	}
	return sendAllowed
}

// covers reports whether two endpoints share their knowledge of idempotency keys.
func (s DedupScope) covers(x, y *endpoint) bool {
	switch s {
	case DedupInZone:
		return x.Zone == y.Zone
	case DedupInCell:
		return x.Cell == y.Cell
	}
	return true
}

// dedupUntil is the time at which endpoints may drop the idempotency key of a request that may have run, or
// forever if no endpoint has to store it.
func (r *request) dedupUntil() Time {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayHaveRun && r.class.Idempotency == IdempotentByKey {
			return a.sentAt + r.class.DedupWindow
		}
	}
	return forever
}

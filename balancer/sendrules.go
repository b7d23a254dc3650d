package balancer

// sendRule is a rule that forbids an attempt.
type sendRule int

// The rules on attempts, in the order in which they are checked.
const (
	sendAllowed         sendRule = iota
	requestIsOver                // it is answered, a response has begun, or its deadline has passed
	attemptsExhausted            // of the request
	endpointUnavailable          // not ready, or in maintenance
	endpointNotAllowed           // by the placement of the class
	concurrentAttempt            // one is in flight, and hedging is not allowed, or two are
	endpointTried                // by this request
	mayRunTwice                  // not idempotent, and an earlier attempt may have run
	dedupWindowOver              // endpoints may have forgotten the idempotency key
	outsideDedupScope            // the endpoint does not share the knowledge of the key
)

// canSend returns the first rule that forbids an attempt of a request at an endpoint, or sendAllowed. Every
// attempt passes it. That a request which is not idempotent never runs twice rests on it and on
// Outcome.provesNotRun.
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

// canRepeat returns the rule by which an earlier attempt forbids another one at an endpoint.
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

// covers reports whether two endpoints share the knowledge of idempotency keys.
func (s DedupScope) covers(x, y *endpoint) bool {
	switch s {
	case DedupInZone:
		return x.Zone == y.Zone
	case DedupInCell:
		return x.Cell == y.Cell
	}
	return true
}

// dedupUntil is when endpoints may forget the key of a request that may have run, forever if none has to know
// it.
func (r *request) dedupUntil() Time {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayHaveRun && r.class.Idempotency == IdempotentByKey {
			return a.sentAt + r.class.DedupWindow
		}
	}
	return forever
}

package balancer

import (
	"wrenspread/ratelimit"
)

// LimitCounts counts the decisions of a table of limits since the table was set.
type LimitCounts struct {
	Requests        uint64
	Rejected        uint64
	Disagreements   uint64   // of a shadow table: requests that the table in force decided differently
	RejectedByLimit []uint64 // by index of the limit; the last element is for the degradation level
}

// The indexes of a balancer's tables, in Balancer.limiters and request.reservations.
const (
	// tableInForce is the table that decides.
	tableInForce = iota
	// shadowTable decides without effect; its decisions are only counted.
	shadowTable
)

// limiter is a table of limits with this proxy's tokens of the table. A nil table admits every request.
type limiter struct {
	table          *ratelimit.Table
	tokens         ratelimit.Tokens
	counts         LimitCounts
	classOfVariant map[string]string // class by the name of its variant; limits name only classes
}

// tableReservation is what an open request has reserved of a table's limits on concurrency.
type tableReservation struct {
	tokens   ratelimit.Tokens
	reserved ratelimit.Reservation
}

// LimitCounts returns the counts of the table in force and of the shadow table.
func (b *Balancer) LimitCounts() (inForce, shadow LimitCounts) {
	return b.limiters[tableInForce].counts, b.limiters[shadowTable].counts
}

// setTable replaces a table. An open request returns its reservation to the tokens that it was taken from.
func (b *Balancer) setTable(event TableChanged) {
	newLimiter := limiter{
		table:          event.Table,
		tokens:         event.Tokens,
		classOfVariant: b.limiters[tableInForce].classOfVariant,
	}
	if event.Table != nil {
		newLimiter.counts.RejectedByLimit = make([]uint64, len(event.Table.Limits)+1)
	}
	if event.Shadow {
		b.limiters[shadowTable] = newLimiter
	} else {
		b.limiters[tableInForce] = newLimiter
	}
}

// updateVariants determines which classes are variants, in the present and in the previous settings.
func (b *Balancer) updateVariants() {
	variantOf := map[string]string{}
	for _, classes := range []map[string]*class{b.previousClasses, b.classes} {
		for _, c := range classes {
			if c.VariantOf != "" {
				variantOf[c.Name] = c.VariantOf
			}
		}
	}
	for i := range b.limiters {
		b.limiters[i].classOfVariant = variantOf
	}
}

// decide applies a table to a request and counts the decision.
func (l *limiter) decide(request ratelimit.Request) ratelimit.Decision {
	if l.table == nil {
		return ratelimit.Decision{Admitted: true}
	}
	if class, isVariant := l.classOfVariant[request.Class]; isVariant {
		request.Class = class
	}
	decision := l.table.Admit(request, l.tokens)
	l.counts.Requests++
	if !decision.Admitted {
		l.counts.Rejected++
		counters := len(l.counts.RejectedByLimit)
		l.counts.RejectedByLimit[(decision.Limit+counters)%counters]++ // -1, the degradation level, is the last
	}
	return decision
}

// releaseReservations returns what a request has reserved of limits on concurrency.
func (r *request) releaseReservations() {
	for _, reservation := range r.reservations {
		if !reservation.reserved.IsEmpty() {
			reservation.reserved.Release(reservation.tokens)
		}
	}
}

// admitByLimits applies the table in force and the shadow table, and rejects the request if the table in
// force does. It reports whether the request is admitted.
func (b *Balancer) admitByLimits(r *request, event *RequestArrived) bool {
	inForce, shadow := &b.limiters[tableInForce], &b.limiters[shadowTable]
	if inForce.table == nil && shadow.table == nil {
		return true
	}
	request := ratelimit.Request{
		Site:        b.settings.Zone,
		Tenant:      event.Tenant,
		Class:       event.Class,
		Key:         event.Key,
		Work:        secondsToDuration(r.class.meanWorkHint),
		Retry:       event.ClientRetry,
		Priority:    r.priority,
		Degradation: b.degradation,
	}
	if event.HasWorkHint {
		request.Work = event.WorkHint
	}
	decision := inForce.decide(request)
	shadowDecision := shadow.decide(request)
	if shadow.table != nil && decision.Admitted != shadowDecision.Admitted {
		shadow.counts.Disagreements++
	}
	r.reservations[tableInForce] = tableReservation{inForce.tokens, decision.Reservation}
	r.reservations[shadowTable] = tableReservation{shadow.tokens, shadowDecision.Reservation}
	if !decision.Admitted {
		retryAfter := min(b.jitter(decision.RetryAfter), b.settings.MaxRetryAfter)
		b.emit(Reject{ID: r.id, RetryAfter: retryAfter, Status: decision.Status})
		b.closeRequest(r)
	}
	return decision.Admitted
}

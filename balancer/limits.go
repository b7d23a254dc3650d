package balancer

import (
	"wrenspread/ratelimit"
)

// LimitCounts says what a table of limits has decided since it was set.
type LimitCounts struct {
	Requests        uint64
	Rejected        uint64
	Disagreements   uint64   // of a shadow table: the table in force decided otherwise
	RejectedByLimit []uint64 // by limit; the last is by the degradation level
}

// The tables that a balancer has.
const (
	tableInForce = iota
	shadowTable  // its decisions are counted alone
)

// limiter is a table with the proxy's tokens of it.
type limiter struct {
	table     *ratelimit.Table
	tokens    ratelimit.Tokens
	counts    LimitCounts
	variantOf map[string]string // class by its variant, as limits know classes alone
}

// reservation is what an open request holds of a table's limits on concurrency.
type reservation struct {
	tokens ratelimit.Tokens
	taken  ratelimit.Reservation
}

// LimitCounts returns the counts of the table in force and of the shadow table.
func (b *Balancer) LimitCounts() (inForce, shadow LimitCounts) {
	return b.limiters[tableInForce].counts, b.limiters[shadowTable].counts
}

// setTable replaces a table. Open requests return what they hold to the tokens that they took it from.
func (b *Balancer) setTable(event TableChanged) {
	l := limiter{table: event.Table, tokens: event.Tokens, variantOf: b.limiters[tableInForce].variantOf}
	if event.Table != nil {
		l.counts.RejectedByLimit = make([]uint64, len(event.Table.Limits)+1)
	}
	if event.Shadow {
		b.limiters[shadowTable] = l
	} else {
		b.limiters[tableInForce] = l
	}
}

// mapVariants tells the limiters which classes are variants, in the settings and in those before.
func (b *Balancer) mapVariants() {
	variantOf := map[string]string{}
	for _, classes := range []map[string]*class{b.previousClasses, b.classes} {
		for _, c := range classes {
			if c.VariantOf != "" {
				variantOf[c.Name] = c.VariantOf
			}
		}
	}
	for i := range b.limiters {
		b.limiters[i].variantOf = variantOf
	}
}

// decide asks a table and counts its decision. Without a table everything is admitted.
func (l *limiter) decide(request ratelimit.Request) ratelimit.Decision {
	if l.table == nil {
		return ratelimit.Decision{Admitted: true}
	}
	if class, isVariant := l.variantOf[request.Class]; isVariant {
		request.Class = class
	}
	decision := l.table.Admit(request, l.tokens)
	l.counts.Requests++
	if !decision.Admitted {
		l.counts.Rejected++
		slots := len(l.counts.RejectedByLimit)
		l.counts.RejectedByLimit[(decision.Limit+slots)%slots]++ // -1, of a degradation level, is the last
	}
	return decision
}

// releaseReservations returns what a request has held of limits on concurrency.
func (r *request) releaseReservations() {
	for _, held := range r.reservations {
		if !held.taken.IsEmpty() {
			held.taken.Release(held.tokens)
		}
	}
}

// admitByLimits asks the table in force and the shadow table, and rejects the request if the former does.
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
		Work:        seconds(r.class.meanWorkHint),
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
	r.reservations[tableInForce] = reservation{inForce.tokens, decision.Reservation}
	r.reservations[shadowTable] = reservation{shadow.tokens, shadowDecision.Reservation}
	if !decision.Admitted {
		retryAfter := min(b.jitter(decision.RetryAfter), b.settings.MaxRetryAfter)
		b.emit(Reject{ID: r.id, RetryAfter: retryAfter, Status: decision.Status})
		b.closeRequest(r)
	}
	return decision.Admitted
}

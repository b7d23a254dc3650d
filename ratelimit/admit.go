package ratelimit

import (
	"slices"
	"time"

	"wrenspread/internal/splitmix"
)

// charge is an amount that a request takes from a token slot.
type charge struct {
	slot   int
	amount float64 // in the limit's unit
}

// Admit decides on a request by all limits that it matches, which are at most MaxMatchedLimits. The request
// is admitted if each of them has enough tokens; they are then taken from all of these limits. Otherwise none
// are taken, and the first limit without enough tokens, from the innermost scope outwards, determines the
// status. Requests without priority leave the priority reserve of a limit untouched, so they are the first to
// be shed when tokens run out.
func (t *Table) Admit(request Request, tokens Tokens) Decision {
	if rejected, ok := t.rejectDegraded(&request); ok {
		return rejected
	}
	scopes, matched := t.match(&request)
	// The innermost scope that sets a priority decides. Of two such scopes at one depth, the one with the later
	// attribute decides.
	for _, scope := range scopes[:matched] {
		if priority := t.Scopes[scope].Priority; priority != 0 {
			request.Priority = priority > 0
		}
	}
	var charges [MaxMatchedLimits]charge
	decision, charged := Decision{Admitted: true}, 0
	for i := matched - 1; i >= 0; i-- {
		scope := &t.Scopes[scopes[i]]
		for index := scope.FirstLimit; index < scope.FirstLimit+scope.LimitCount; index++ {
			limit := &t.Limits[index]
			needed := charge{t.tokenSlot(index, request.Key), limit.amount(&request)}
			if needed.amount <= 0 {
				continue
			}
			if tokens.Available(needed.slot) < limit.required(needed, request.Priority, tokens) {
				reportRejected(tokens, charges[:charged], needed)
				return Decision{Limit: index, Status: limit.Status, RetryAfter: limit.RetryAfter}
			}
			charges[charged] = needed
			charged++
			if limit.Unit == UnitConcurrency {
				decision.Reservation.add(index)
			}
		}
	}
	for _, c := range charges[:charged] {
		tokens.Take(c.slot, c.amount)
	}
	return decision
}

// rejectDegraded rejects a request whose class is shed at the present degradation level or a lower one.
func (t *Table) rejectDegraded(request *Request) (Decision, bool) {
	levels := min(max(request.Degradation, 0), len(t.Levels))
	for i := range t.Levels[:levels] {
		level := &t.Levels[i]
		if _, shed := slices.BinarySearch(level.RejectClasses, request.Class); shed {
			return Decision{Limit: -1, Status: level.Status, RetryAfter: level.RetryAfter}, true
		}
	}
	return Decision{}, false
}

// reportRejected records the demand of a rejected request at the limit that rejected it, and at the inner
// limits, which had enough tokens for it.
func reportRejected(tokens Tokens, inner []charge, rejecting charge) {
	for _, c := range inner {
		tokens.Rejected(c.slot, c.amount)
	}
	tokens.Rejected(rejecting.slot, rejecting.amount)
}

func (r *Reservation) add(limit int) {
	r.limits[r.count] = int16(limit)
	r.count++
}

// match returns the scopes that a request matches, parents before children. Of sibling scopes of one
// attribute, a request matches the scope with its value or, if there is none, the scope for any other value.
func (t *Table) match(request *Request) (scopes [MaxMatchedScopes]int32, count int) {
	values := [...]string{
		AttributeSite:   request.Site,
		AttributeTenant: request.Tenant,
		AttributeClass:  request.Class,
		AttributeCell:   request.Cell,
	}
	count = 1
	for i := 0; i < count; i++ {
		attributes := t.childAttributes[scopes[i]]
		for attribute := AttributeSite; attributes>>attribute != 0; attribute++ {
			if attributes>>attribute&1 == 0 {
				continue
			}
			child, ok := t.children[scopeKey{scopes[i], attribute, values[attribute]}]
			if !ok {
				child, ok = t.children[scopeKey{scopes[i], attribute, AnyOther}]
			}
			if ok {
				scopes[count] = child
				count++
			}
		}
	}
	return scopes, count
}

// amount is the number of tokens that a request takes from a limit, in the limit's unit.
func (l *Limit) amount(request *Request) float64 {
	switch l.Unit {
	case UnitWork:
		return float64(request.Work) / float64(time.Millisecond)
	case UnitRetries:
		if !request.Retry {
			return 0
		}
	case UnitPerKey:
		if request.Key == "" {
			return 0
		}
	}
	return 1
}

// required is the number of tokens that a limit must have available for a request to take its amount. If a
// token slot is full, any amount that it can hold is allowed, whatever the reserve.
func (l *Limit) required(c charge, priority bool, tokens Tokens) float64 {
	if priority || l.PriorityReserve == 0 {
		return c.amount
	}
	capacity := tokens.Capacity(c.slot)
	withReserve := c.amount + l.PriorityReserve*capacity
	return max(c.amount, min(withReserve, capacity))
}

// tokenSlot returns the token slot of a limit for a request. It is the limit's index or, for a limit per key,
// the slot to which the key is hashed.
func (t *Table) tokenSlot(limit int, key string) int {
	if t.firstKeySlot[limit] == 0 {
		return limit
	}
	hash := uint64(0)
	for i := range len(key) {
		hash = splitmix.Mix(hash ^ uint64(key[i]))
	}
	return int(t.firstKeySlot[limit]) + int(hash%uint64(t.Limits[limit].KeySlots))
}

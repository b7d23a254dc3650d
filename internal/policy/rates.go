package policy

import (
	"fmt"
	"math"

	"wrenspread/ratelimit"
)

// tolerance is the relative difference up to which two rates count as equal, because sums of shares are
// subject to rounding errors.
const tolerance = 1e-9

// resolveLimits computes the rates of all limits of a scope and of the scopes within it. Outer limits come
// first, because inner limits refer to them.
func (c *compiler) resolveLimits(scope *policyScope) {
	if scope.share != nil {
		c.addImpliedLimits(scope)
	}
	for _, limit := range scope.limits {
		if limit != nil {
			c.resolveLimit(scope, limit)
		}
	}
	for _, child := range scope.children {
		c.resolveLimits(child)
	}
}

// addImpliedLimits adds limits to a scope with a share: one in each unit in which an outer limit exists and
// in which the scope has no limit of its own.
func (c *compiler) addImpliedLimits(scope *policyScope) {
	found := false
	for _, unit := range []ratelimit.Unit{
		ratelimit.UnitRequests, ratelimit.UnitWork, ratelimit.UnitConcurrency} {
		around := scope.parent.nearestLimit(unit)
		if found = found || around != nil; around != nil && scope.limits[unit] == nil {
			scope.limits[unit] = &policyLimit{limitSettings: c.defaultSettings, unit: unit, source: scope.source}
		}
	}
	if !found && scope.parent != nil {
		c.addError(
			scope.share.source,
			"Share without a limit",
			fmt.Sprintf("No part around %s has a limit to take a share of. Set a rate there or here.", scope.path()),
		)
	}
}

// nearestLimit returns the limit in a unit of the scope itself or of the nearest scope around it that has
// one, and nil if there is none.
func (s *policyScope) nearestLimit(unit ratelimit.Unit) *policyLimit {
	for ; s != nil; s = s.parent {
		if s.limits[unit] != nil {
			return s.limits[unit]
		}
	}
	return nil
}

// resolveLimit computes the rates and the schedule of one limit. The outer limit is the nearest one around it
// in the same unit and bounds the limit. fractionBase is the limit that fractions and shares refer to: the
// outer limit or, for retries and keys, the nearest limit on requests.
//
// A weight or borrow setting that the limit lacks is taken from the scope. So is the share, if the limit is
// on requests, work or concurrency and has neither a share nor a floor. If the limit's own settings, the
// outer limit or fractionBase are invalid, so is the limit, and nothing is computed. After an error in the
// rates, the schedule and the priority reserve are not looked at; the limit is then invalid only if it has no
// rate.
func (c *compiler) resolveLimit(scope *policyScope, limit *policyLimit) {
	var outer *policyLimit
	if scope.parent != nil {
		outer = scope.parent.nearestLimit(limit.unit)
	}
	fractionBase := outer
	if limit.unit == ratelimit.UnitRetries || limit.unit == ratelimit.UnitPerKey {
		fractionBase = scope.nearestLimit(ratelimit.UnitRequests)
	}
	if limit.raw.share == nil && limit.raw.floor == nil && limit.unit <= ratelimit.UnitConcurrency {
		limit.raw.share = scope.share
	}
	if limit.raw.weight == nil {
		limit.raw.weight = scope.weight
	}
	if limit.raw.borrow == nil {
		limit.raw.borrow = scope.borrow
	}
	if limit.invalid = limit.raw.invalid || outer != nil && outer.invalid ||
		fractionBase != nil && fractionBase.invalid; limit.invalid {
		return
	}
	previousErrors := len(c.diags)
	var ok bool
	if limit.rates, ok = c.resolveRates(scope, limit, limit.raw, outer, fractionBase); !ok ||
		len(c.diags) > previousErrors {
		limit.invalid = !ok
		return // each schedule entry would report the same error again
	}
	c.resolveSchedule(scope, limit, outer, fractionBase)
	if reserve := limit.priorityReserve; reserve > 0 && scope.priority > 0 {
		c.addError(
			limit.source,
			"Contradicting settings",
			fmt.Sprintf("All requests here have priority (line %d), so a reserve for requests with "+
				"priority has no effect. Remove one of the two.", scope.prioritySource.Start.Line),
		)
	}
}

// withOverride returns the rates of a limit while a schedule entry is in force: those of the entry replace
// those of the limit.
func (r rawRates) withOverride(override rawRates) rawRates {
	if override.rate != nil || override.fraction != nil {
		r.rate, r.fraction = override.rate, override.fraction
	}
	if override.floor != nil || override.share != nil {
		r.floor, r.share = override.floor, override.share
	}
	if override.burst != nil {
		r.burst = override.burst
	}
	return r
}

// cappedAt returns the rates of a limit while the outer limit has the given rate. A higher rate is reduced to
// this maximum.
func (r rawRates) cappedAt(maximum float64) rawRates {
	if r.rate != nil && r.rate.value > maximum {
		r.rate = &number{maximum, r.rate.source}
	}
	return r
}

// resolveRates computes the rates of a limit from the configured values and reports faults in them. The
// result is false if the limit has no rate, neither of its own nor from an outer limit.
func (c *compiler) resolveRates(
	scope *policyScope,
	limit *policyLimit,
	raw rawRates,
	outer, fractionBase *policyLimit,
) (rates ratelimit.Rates, ok bool) {
	lends := raw.borrow == nil || raw.borrow.value
	floor, hasFloor := c.resolveAmount(raw.floor, raw.share, fractionBase)
	rate, hasRate := c.resolveAmount(raw.rate, raw.fraction, fractionBase)
	switch {
	case hasRate && hasFloor && !lends && math.Abs(rate-floor) > tolerance*rate:
		c.addError(
			raw.borrow.source,
			"Contradicting settings",
			fmt.Sprintf("Without borrowing, %s is limited to its floor of %s, but its rate is "+
				"%s. Set only one of the two.", scope.path(), formatNumber(floor), formatNumber(rate)),
		)
	case !hasRate && hasFloor && !lends:
		rate = floor
	case !hasRate && outer != nil:
		rate = outer.rates.Rate
	case !hasRate && raw.fraction != nil: // resolveAmount has reported the fraction without a base
		return rates, false
	case !hasRate:
		c.addError(
			limit.source,
			"Limit without a rate",
			fmt.Sprintf("No part around %s has a limit on %s that would apply here. Set its %s.",
				scope.path(), limit.unit,
				map[bool]string{true: "most", false: "rate"}[limit.unit == ratelimit.UnitConcurrency]),
		)
		return rates, false
	}
	if rates.Rate, rates.Floor = rate, floor; !lends {
		rates.Floor = rate
	}
	c.checkRates(scope, limit, raw, rates, outer)
	rates.Burst = c.burstOf(limit, raw, rates.Rate, outer)
	return rates, true
}

// resolveAmount returns an amount in units, which the policy sets directly or as a fraction of the base's
// rate. The result is false if the policy sets neither, or a fraction without a base, which is reported.
func (c *compiler) resolveAmount(amount, fraction *number, fractionBase *policyLimit) (float64, bool) {
	switch {
	case amount != nil:
		return amount.value, true
	case fraction != nil && fractionBase != nil:
		return fraction.value * fractionBase.rates.Rate, true
	case fraction != nil:
		c.addError(
			fraction.source,
			"Fraction without a limit",
			"There is no limit to take a fraction of. Set a limit around this one, or an amount here.",
		)
	}
	return 0, false
}

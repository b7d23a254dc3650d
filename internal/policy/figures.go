package policy

import (
	"fmt"
	"math"

	"wrenspread/ratelimit"
)

const tolerance = 1e-9 // relative: sums of parts come out a little off

// resolve evaluates all limits, from the fleet inwards.
func (c *compiler) resolve(p *scope) {
	if p.share != nil {
		c.addImpliedLimits(p)
	}
	for _, l := range p.limits {
		if l != nil {
			c.resolveLimit(p, l)
		}
	}
	for _, k := range p.children {
		c.resolve(k)
	}
}

// addImpliedLimits gives a scope with a share its limits in the units that the limits around it have, where
// it says none.
func (c *compiler) addImpliedLimits(p *scope) {
	found := false
	for _, u := range []ratelimit.Unit{ratelimit.UnitRequests, ratelimit.UnitWork, ratelimit.UnitConcurrency} {
		around := p.parent.nearest(u)
		if found = found || around != nil; around != nil && p.limits[u] == nil {
			p.limits[u] = &limit{settings: c.defaultSettings, unit: u, source: p.source}
		}
	}
	if !found && p.parent != nil {
		c.addError(
			p.share.source,
			"A share of nothing",
			fmt.Sprintf("No part around %s has a limit. Give one a rate, or this one.", p.path()),
		)
	}
}

// nearest is the limit of a unit on a scope or the nearest scope around it.
func (p *scope) nearest(u ratelimit.Unit) *limit {
	for ; p != nil; p = p.parent {
		if p.limits[u] != nil {
			return p.limits[u]
		}
	}
	return nil
}

// resolveLimit evaluates one limit. Its outer limit bounds it; its whole is what its parts are parts of.
func (c *compiler) resolveLimit(p *scope, l *limit) {
	var outer *limit
	if p.parent != nil {
		outer = p.parent.nearest(l.unit)
	}
	whole := outer
	if l.unit == ratelimit.UnitRetries || l.unit == ratelimit.UnitPerKey {
		whole = p.nearest(ratelimit.UnitRequests)
	}
	if l.raw.share == nil && l.raw.floor == nil && l.unit <= ratelimit.UnitConcurrency {
		l.raw.share = p.share
	}
	if l.raw.weight == nil {
		l.raw.weight = p.weight
	}
	if l.raw.borrow == nil {
		l.raw.borrow = p.borrow
	}
	if l.broken = l.raw.broken || outer != nil && outer.broken || whole != nil && whole.broken; l.broken {
		return
	}
	bad := len(c.diags)
	var ok bool
	if l.rates, ok = c.resolveRates(p, l, l.raw, outer, whole); !ok || len(c.diags) > bad {
		l.broken = !ok
		return // the same would be wrong at each time
	}
	c.resolveSchedule(p, l, outer, whole)
	if r := l.reserve; r > 0 && p.priority > 0 {
		c.addError(
			l.source,
			"Rules that contradict",
			fmt.Sprintf("All requests here have priority (line %d), so that a reserve for those with "+
				"priority keeps nothing back. Drop one of the two.", p.prioritySource.Start.Line),
		)
	}
}

// overriddenBy is a limit's figures at a time that gives others.
func (r rawRates) overriddenBy(t rawRates) rawRates {
	if t.rate != nil || t.fraction != nil {
		r.rate, r.fraction = t.rate, t.fraction
	}
	if t.floor != nil || t.share != nil {
		r.floor, r.share = t.floor, t.share
	}
	if t.burst != nil {
		r.burst = t.burst
	}
	return r
}

// limitedTo is a limit's figures while the limit around it has so much: a rate beyond gives way.
func (r rawRates) limitedTo(most float64) rawRates {
	if r.rate != nil && r.rate.value > most {
		r.rate = &number{most, r.rate.source}
	}
	return r
}

// resolveRates evaluates figures, if there are any, and notes what is wrong with them.
func (c *compiler) resolveRates(
	p *scope,
	l *limit,
	r rawRates,
	outer, whole *limit,
) (f ratelimit.Rates, ok bool) {
	lends := r.borrow == nil || r.borrow.value
	floor, hasFloor := c.units(r.floor, r.share, whole)
	rate, hasRate := c.units(r.rate, r.fraction, whole)
	switch {
	case hasRate && hasFloor && !lends && math.Abs(rate-floor) > tolerance*rate:
		c.addError(
			r.borrow.source,
			"Rules that contradict",
			fmt.Sprintf("Without borrowing %s has its floor, %s, and no more, yet its rate is "+
				"%s. Give one of the two.", p.path(), formatNumber(floor), formatNumber(rate)),
		)
	case !hasRate && hasFloor && !lends:
		rate = floor
	case !hasRate && outer != nil:
		rate = outer.rates.Rate
	case !hasRate && r.fraction != nil: // of nothing, as has been reported
		return f, false
	case !hasRate:
		c.addError(
			l.source,
			"A limit without a figure",
			fmt.Sprintf("Nothing around %s has a limit on %s that it could keep to. Give it a %s.",
				p.path(), l.unit, map[bool]string{true: "most", false: "rate"}[l.unit == ratelimit.UnitConcurrency]),
		)
		return f, false
	}
	if f.Rate, f.Floor = rate, floor; !lends {
		f.Floor = rate
	}
	c.compare(p, l, r, f, outer)
	f.Burst = c.burstOf(l, r, f.Rate, outer)
	return f, true
}

// units are a figure in units, given so or as a part of the whole.
func (c *compiler) units(n, part *number, whole *limit) (float64, bool) {
	switch {
	case n != nil:
		return n.value, true
	case part != nil && whole != nil:
		return part.value * whole.rates.Rate, true
	case part != nil:
		c.addError(
			part.source,
			"A part of nothing",
			"There is no limit that it could be a part of: give one around it, or units here.",
		)
	}
	return 0, false
}

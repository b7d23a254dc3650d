package policy

import (
	"fmt"
	"math"

	"wrenspread/ratelimit"
)

const near = 1e-9 // relative: sums of parts come out a little off

// resolve works out all limits, from the fleet inwards.
func (c *compiler) resolve(p *part) {
	if p.share != nil {
		c.shared(p)
	}
	for _, l := range p.limits {
		if l != nil {
			c.limitOf(p, l)
		}
	}
	for _, k := range p.children {
		c.resolve(k)
	}
}

// shared gives a part with a share its limits in the units that the limits around it have, where it says none.
func (c *compiler) shared(p *part) {
	found := false
	for _, u := range []ratelimit.Unit{ratelimit.UnitRequests, ratelimit.UnitWork, ratelimit.UnitConcurrency} {
		around := p.up.nearest(u)
		if found = found || around != nil; around != nil && p.limits[u] == nil {
			p.limits[u] = &limit{figuring: c.usual, unit: u, at: p.at}
		}
	}
	if !found && p.up != nil {
		c.fail(p.share.at, "A share of nothing", fmt.Sprintf("No part around %s has a limit. Give one a rate, or this one.", p.path()))
	}
}

// nearest is the limit of a unit on a part or the nearest part around it.
func (p *part) nearest(u ratelimit.Unit) *limit {
	for ; p != nil; p = p.up {
		if p.limits[u] != nil {
			return p.limits[u]
		}
	}
	return nil
}

// limitOf works out one limit. Its outer limit bounds it; its whole is what its parts are parts of.
func (c *compiler) limitOf(p *part, l *limit) {
	var outer *limit
	if p.up != nil {
		outer = p.up.nearest(l.unit)
	}
	whole := outer
	if l.unit == ratelimit.UnitRetries || l.unit == ratelimit.UnitPerKey {
		whole = p.nearest(ratelimit.UnitRequests)
	}
	if l.rough.share == nil && l.rough.floor == nil && l.unit <= ratelimit.UnitConcurrency {
		l.rough.share = p.share
	}
	if l.rough.weight == nil {
		l.rough.weight = p.weight
	}
	if l.rough.borrow == nil {
		l.rough.borrow = p.borrow
	}
	if l.broken = l.rough.broken || outer != nil && outer.broken || whole != nil && whole.broken; l.broken {
		return
	}
	bad, ok := len(c.diags), false
	if l.figures, ok = c.figuresOf(p, l, l.rough, outer, whole); !ok || len(c.diags) > bad {
		l.broken = !ok
		return // the same would be wrong at each time
	}
	c.spansOf(p, l, outer, whole)
	if r := l.reserve; r > 0 && p.priority > 0 {
		c.fail(l.at, "Rules that contradict", fmt.Sprintf("All requests here have priority (line %d), so that a reserve for those with "+
			"priority keeps nothing back. Drop one of the two.", p.priorityAt.Start.Line))
	}
}

// spansOf works out the times with other figures: the limit's own, or those that follow from the whole's.
func (c *compiler) spansOf(p *part, l *limit, outer, whole *limit) {
	base := outer
	if l.rough.part != nil || l.rough.share != nil {
		base = whole
	}
	timed := base != nil && base != l && len(base.spans) > 0
	if timed && len(l.times) > 0 {
		c.fail(l.times[0].at, "Times within times", fmt.Sprintf("The limit around this one (line %d) has times of its own, which "+
			"shares of it follow by themselves. Give times to one of the two.", base.at.Start.Line))
		return
	}
	for i, t := range l.times {
		if j := covered(l.times[:i], t.span); j >= 0 {
			c.fail(t.at, "A rule that can never match", fmt.Sprintf("Whenever it would hold, the one on line %d does, which comes first. "+
				"Put the narrower time first.", l.times[j].at.Start.Line))
		}
		if t.rough.broken {
			continue
		}
		f, _ := c.figuresOf(p, l, l.rough.with(t.rough), outer, whole)
		l.spans = append(l.spans, span(t.span, f))
	}
	if !timed {
		return
	}
	changes := false
	for _, s := range base.spans {
		at := &limit{figures: ratelimit.Rates{Rate: s.Rate, Burst: s.Burst, Floor: s.Floor}, at: base.at}
		around, of := outer, whole
		if outer == base {
			around = at
		}
		if whole == base {
			of = at
		}
		f, _ := c.figuresOf(p, l, l.rough.follow(s.Rate), around, of)
		changes = changes || f != l.figures
		l.spans = append(l.spans, span(s, f))
	}
	if !changes {
		l.spans = nil
	}
}

func span(s ratelimit.ScheduleWindow, f ratelimit.Rates) ratelimit.ScheduleWindow {
	s.Rate, s.Burst, s.Floor = f.Rate, f.Burst, f.Floor
	return s
}

// covered finds an earlier time that holds whenever a later one does.
func covered(before []times, s ratelimit.ScheduleWindow) int {
	for i, b := range before {
		all := b.span.FromMinute == b.span.ToMinute
		if (b.span.LastDays == 0 || s.LastDays > 0 && s.LastDays <= b.span.LastDays) &&
			(all || b.span.FromMinute == s.FromMinute && b.span.ToMinute == s.ToMinute || s.FromMinute < s.ToMinute && b.span.FromMinute < b.span.ToMinute &&
				b.span.FromMinute <= s.FromMinute && b.span.ToMinute >= s.ToMinute) {
			return i
		}
	}
	return -1
}

// with is a limit's figures at a time that gives others.
func (r rough) with(t rough) rough {
	if t.rate != nil || t.part != nil {
		r.rate, r.part = t.rate, t.part
	}
	if t.floor != nil || t.share != nil {
		r.floor, r.share = t.floor, t.share
	}
	if t.burst != nil {
		r.burst = t.burst
	}
	return r
}

// follow is a limit's figures while the limit around it has so much: a rate beyond gives way.
func (r rough) follow(most float64) rough {
	if r.rate != nil && r.rate.n > most {
		r.rate = &given{most, r.rate.at}
	}
	return r
}

// figuresOf works out figures, if there are any, and says what is wrong with them.
func (c *compiler) figuresOf(p *part, l *limit, r rough, outer, whole *limit) (f ratelimit.Rates, ok bool) {
	lends := r.borrow == nil || r.borrow.on
	floor, hasFloor := c.units(r.floor, r.share, whole)
	rate, hasRate := c.units(r.rate, r.part, whole)
	switch {
	case hasRate && hasFloor && !lends && math.Abs(rate-floor) > near*rate:
		c.fail(r.borrow.at, "Rules that contradict", fmt.Sprintf("Without borrowing %s has its floor, %s, and no more, yet its rate is "+
			"%s. Give one of the two.", p.path(), figure(floor), figure(rate)))
	case !hasRate && hasFloor && !lends:
		rate = floor
	case !hasRate && outer != nil:
		rate = outer.figures.Rate
	case !hasRate && r.part != nil: // of nothing, as has been told
		return f, false
	case !hasRate:
		c.fail(l.at, "A limit without a figure", fmt.Sprintf("Nothing around %s has a limit on %s that it could keep to. Give it a %s.",
			p.path(), l.unit, map[bool]string{true: "most", false: "rate"}[l.unit == ratelimit.UnitConcurrency]))
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
func (c *compiler) units(n, part *given, whole *limit) (float64, bool) {
	switch {
	case n != nil:
		return n.n, true
	case part != nil && whole != nil:
		return part.n * whole.figures.Rate, true
	case part != nil:
		c.fail(part.at, "A part of nothing", "There is no limit that it could be a part of: give one around it, or units here.")
	}
	return 0, false
}

package policy

import (
	"fmt"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// compare finds figures that contradict each other or those of the limit around.
func (c *compiler) compare(p *scope, l *limit, r rawRates, f ratelimit.Rates, outer *limit) {
	at := l.source
	if g := firstGiven(r.rate, r.fraction); g != nil {
		at = g.source
	}
	if outer != nil && f.Rate > outer.rates.Rate*(1+tolerance) {
		c.addError(
			at,
			"A rule that can never matter",
			fmt.Sprintf("%s can have %s, and the limit around it (line %d) ends at %s. Give it "+
				"that or less.", p.path(), formatNumber(f.Rate), outer.source.Start.Line, formatNumber(outer.rates.Rate)),
		)
	}
	if f.Floor > f.Rate*(1+tolerance) {
		if g := firstGiven(r.floor, r.share); g != nil {
			at = g.source
		}
		c.addError(
			at,
			"Rules that contradict",
			fmt.Sprintf("%s is sure of %s and can have %s at most. Lower the floor, or raise the rate.",
				p.path(), formatNumber(f.Floor), formatNumber(f.Rate)),
		)
	}
	beside := p.limits[ratelimit.UnitRequests]
	if inner := l.unit == ratelimit.UnitRetries ||
		l.unit == ratelimit.UnitPerKey; inner && beside != nil &&
		f.Rate > beside.rates.Rate*(1+tolerance) {
		c.addError(
			at,
			"A rule that can never matter",
			fmt.Sprintf("%s lets %s requests a second in (line %d), fewer than the %s here. Lower this one.",
				p.path(), formatNumber(beside.rates.Rate), beside.source.Start.Line, formatNumber(f.Rate)),
		)
	}
}

// formatNumber writes a number for messages.
func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', 6, 64) }

func firstGiven(list ...*number) *number {
	for _, g := range list {
		if g != nil {
			return g
		}
	}
	return nil
}

// burstOf is what may come at once: as said, or a second's worth, no more than the limit around lets in, and
// capacity for one request.
func (c *compiler) burstOf(l *limit, r rawRates, rate float64, outer *limit) float64 {
	most, what := c.largest(l.unit)
	at, burst := l.source, rate
	if outer != nil {
		burst = min(burst, outer.rates.Burst)
	}
	burst = max(burst, most)
	switch {
	case rate == 0 && r.burst == nil: // it is closed
		return 0
	case l.unit == ratelimit.UnitConcurrency:
		if g := firstGiven(r.rate, r.fraction); g != nil {
			at = g.source
		}
		if burst = 0; rate < most {
			c.addExceeded(at, rate, what)
		}
	case r.burst != nil:
		if at, burst = r.burst.source, r.burst.value; burst < most {
			c.addExceeded(at, burst, what)
		}
	}
	return burst
}

func (c *compiler) addExceeded(at hcl.Range, there float64, what string) {
	c.addError(
		at,
		"A limit that one request exceeds",
		fmt.Sprintf("%s is less than %s, so that none would ever be let in. Raise it, or "+
			"write rate = 0 to close the part.", formatNumber(there), what),
	)
}

// largest is the most that one request takes of a limit.
func (c *compiler) largest(u ratelimit.Unit) (float64, string) {
	if u != ratelimit.UnitWork {
		return 1, "one request"
	}
	most, name := 0.0, ""
	for _, k := range c.known.Classes {
		if ms := float64(k.Work) / float64(time.Millisecond); ms > most {
			most, name = ms, k.Name
		}
	}
	return most, fmt.Sprintf("the %v ms of work of a heavy %s", most, name)
}

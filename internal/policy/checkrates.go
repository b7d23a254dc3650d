package policy

import (
	"fmt"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// checkRates reports rates of a limit that contradict each other, and rates that exceed those of the outer
// limit or, for retries and keys, those of the scope's own limit on requests.
func (c *compiler) checkRates(
	scope *policyScope, limit *policyLimit, raw rawRates, rates ratelimit.Rates, outer *policyLimit) {
	at := limit.source
	if g := firstGiven(raw.rate, raw.fraction); g != nil {
		at = g.source
	}
	if outer != nil && rates.Rate > outer.rates.Rate*(1+tolerance) {
		c.addError(
			at,
			"Limit without effect",
			fmt.Sprintf("%s allows %s, but the limit around it (line %d) allows only %s. Set at most "+
				"that.", scope.path(), formatNumber(rates.Rate), outer.source.Start.Line,
				formatNumber(outer.rates.Rate)),
		)
	}
	if rates.Floor > rates.Rate*(1+tolerance) {
		if g := firstGiven(raw.floor, raw.share); g != nil {
			at = g.source
		}
		c.addError(
			at,
			"Contradicting settings",
			fmt.Sprintf("%s has a floor of %s but allows only %s. Lower the floor, or raise the rate.",
				scope.path(), formatNumber(rates.Floor), formatNumber(rates.Rate)),
		)
	}
	requestLimit := scope.limits[ratelimit.UnitRequests]
	if inner := limit.unit == ratelimit.UnitRetries ||
		limit.unit == ratelimit.UnitPerKey; inner && requestLimit != nil &&
		rates.Rate > requestLimit.rates.Rate*(1+tolerance) {
		c.addError(
			at,
			"Limit without effect",
			fmt.Sprintf("%s allows %s requests a second (line %d), fewer than the %s here. Lower this limit.",
				scope.path(), formatNumber(requestLimit.rates.Rate), requestLimit.source.Start.Line,
				formatNumber(rates.Rate)),
		)
	}
}

// formatNumber formats a number for messages, with six significant digits.
func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', 6, 64) }

// firstGiven returns the first candidate that the policy sets, or nil if it sets none.
func firstGiven(candidates ...*number) *number {
	for _, g := range candidates {
		if g != nil {
			return g
		}
	}
	return nil
}

// burstOf returns the burst of a limit: the configured burst or, by default, the amount of one second, at
// most the burst of the outer limit but at least the largest charge of one request. A limit on concurrency
// has the burst 0. A limit that is smaller than the largest charge of one request is reported, because it
// could never admit that request.
func (c *compiler) burstOf(limit *policyLimit, raw rawRates, rate float64, outer *policyLimit) float64 {
	charge, description := c.largestCharge(limit.unit)
	at, burst := limit.source, rate
	if outer != nil {
		burst = min(burst, outer.rates.Burst)
	}
	burst = max(burst, charge)
	switch {
	case rate == 0 && raw.burst == nil: // a rate of 0 closes the scope
		return 0
	case limit.unit == ratelimit.UnitConcurrency:
		if g := firstGiven(raw.rate, raw.fraction); g != nil {
			at = g.source
		}
		if burst = 0; rate < charge {
			c.addTooSmallForRequest(at, rate, description)
		}
	case raw.burst != nil:
		if at, burst = raw.burst.source, raw.burst.value; burst < charge {
			c.addTooSmallForRequest(at, burst, description)
		}
	}
	return burst
}

// addTooSmallForRequest reports a limit that is smaller than the largest charge of one request, which the
// argument charge describes.
func (c *compiler) addTooSmallForRequest(at hcl.Range, amount float64, charge string) {
	c.addError(
		at,
		"Limit below one request",
		fmt.Sprintf("%s is less than %s, so no such request would ever be admitted. Raise it, or "+
			"write rate = 0 to admit no request at all.", formatNumber(amount), charge),
	)
}

// largestCharge returns the largest amount that one request takes from a limit, in the limit's unit, and a
// description of this amount for messages.
func (c *compiler) largestCharge(unit ratelimit.Unit) (float64, string) {
	if unit != ratelimit.UnitWork {
		return 1, "one request"
	}
	heaviest, name := 0.0, ""
	for _, class := range c.known.Classes {
		if ms := float64(class.Work) / float64(time.Millisecond); ms > heaviest {
			heaviest, name = ms, class.Name
		}
	}
	return heaviest, fmt.Sprintf("the %v ms of work of a heavy %s", heaviest, name)
}

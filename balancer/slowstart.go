package balancer

import "math"

const (
	// attempts per second of all proxies at an endpoint, with no warm one to compare with
	slowStartRate      = 4.0
	slowStartShare     = 0.6 // of the overload factor, that proxies use
	slowStartTokenHold = 0.6 // of the overload duration, for which an unused token holds; 0.6 x (1 + 0.6) < 1
)

// beginSlowStart takes an endpoint as started at some time. What an older process has answered tells nothing
// of it. The random token keeps proxies from all sending in the moment of the start.
func (b *Balancer) beginSlowStart(e *endpoint, startedAt Time) {
	e.slowStarting = true
	e.slowStartSince = startedAt
	e.slowStartTokens = b.random()
	e.slowStartTokensAt = b.now
	e.responseRate = 0
	e.firstListedAt = b.now
}

// slowStartProgress is the fraction of the slow start that has passed; 1 or more: the endpoint is warm.
func (b *Balancer) slowStartProgress(e *endpoint) float64 {
	return (b.now - e.slowStartSince).Seconds() / math.Max(b.settings.SlowStartDuration.Seconds(), 1e-9)
}

func (b *Balancer) endSlowStartIfWarm(e *endpoint) {
	if e.slowStarting && b.slowStartProgress(e) >= 1 {
		e.slowStarting = false
	}
}

// warmFraction is the fraction of its capacity that an endpoint has by now. It ends the slow start of a warm
// one.
func (b *Balancer) warmFraction(e *endpoint) float64 {
	b.endSlowStartIfWarm(e)
	if !e.slowStarting {
		return 1
	}
	initial := b.settings.SlowStartInitial
	return initial + (1-initial)*max(0, b.slowStartProgress(e))
}

// limitedBySlowStart reports whether a starting endpoint is to get no attempt now. Such an endpoint fails
// under the sum of all proxies: tokens come at its fraction of the rate of warm endpoints here, and lapse one
// by one, so that proxies keep the phases that they drew at its start. In the settings' overload duration
// proxies send the tokens that come, the few that they held before, and one in all.
func (b *Balancer) limitedBySlowStart(e *endpoint) bool {
	warm := b.warmFraction(e)
	if !e.slowStarting {
		return false
	}
	if !e.inBaseSubset || b.handedOver { // when most are ejected, every proxy would reach a restarted one
		return true
	}
	capacity := warm * b.meanRate * b.relativeWeight(e) // attempts per second
	if capacity == 0 {                                  // no warm endpoint: as fast as its own responses come
		capacity = math.Max(warm*slowStartRate/b.proxiesPerEndpoint, b.responseRate(e))
	}
	rate := slowStartShare * b.settings.OverloadFactor * capacity
	e.slowStartTokens += rate * (b.now - e.slowStartTokensAt).Seconds()
	e.slowStartTokensAt = b.now
	held := 1/b.proxiesPerEndpoint + rate*slowStartTokenHold*b.settings.OverloadDuration.Seconds()
	e.slowStartTokens -= math.Ceil(math.Max(0, e.slowStartTokens-1-held))
	return e.slowStartTokens < 1
}

// relativeWeight is an endpoint's weight over that of the mean warm one, where the list tells what machines
// can do.
func (b *Balancer) relativeWeight(e *endpoint) float64 {
	if !b.settings.WeightKnown || b.settings.WeightDynamic || e.Weight <= 0 || b.meanWeight <= 0 {
		return 1
	}
	return e.Weight / b.meanWeight
}

package balancer

import "math"

const (
	// fallbackSlowStartRate is the rate of attempts, per second, of all proxies together at an endpoint in slow
	// start if no warm endpoint shows which rate is possible.
	fallbackSlowStartRate = 4.0
	// slowStartLoadFraction is the fraction of the settings' overload factor up to which the proxies load an
	// endpoint in slow start.
	slowStartLoadFraction = 0.6
	// slowStartTokenLifetime is the time for which an unused token is valid, as a fraction of the overload
	// duration. The tokens that arrive within an overload duration and the tokens saved before it together stay
	// below the load that makes an endpoint fail: 0.6 x (1 + 0.6) < 1.
	slowStartTokenLifetime = 0.6
)

// beginSlowStart starts the slow start of an endpoint whose process started at startedAt. The responses of a
// previous process say nothing about the new one. The initial tokens are random, so that the proxies do not
// all send at the moment of the start.
func (b *Balancer) beginSlowStart(e *endpoint, startedAt Time) {
	e.slowStarting = true
	e.slowStartSince = startedAt
	e.slowStartTokens = b.random()
	e.slowStartTokensAt = b.now
	e.responseRate = 0
	e.observedSince = b.now
}

// slowStartProgress is the fraction of the slow start's duration that has passed. From 1 on the endpoint is
// warm.
func (b *Balancer) slowStartProgress(e *endpoint) float64 {
	return (b.now - e.slowStartSince).Seconds() / math.Max(b.settings.SlowStartDuration.Seconds(), 1e-9)
}

func (b *Balancer) endSlowStartIfWarm(e *endpoint) {
	if e.slowStarting && b.slowStartProgress(e) >= 1 {
		e.slowStarting = false
	}
}

// warmFraction is the fraction of its capacity that an endpoint has now. It ends the slow start of an
// endpoint that has become warm.
func (b *Balancer) warmFraction(e *endpoint) float64 {
	b.endSlowStartIfWarm(e)
	if !e.slowStarting {
		return 1
	}
	initial := b.settings.SlowStartInitial
	return initial + (1-initial)*max(0, b.slowStartProgress(e))
}

// limitedBySlowStart reports whether an endpoint in slow start may not get an attempt now. Such an endpoint
// can fail under the attempts of all proxies together. Tokens therefore arrive at its warm fraction of the
// rate of this proxy's warm endpoints.
//
// Each proxy has drawn a random phase, its initial tokens, when the endpoint started. Unused tokens lapse one
// by one, which keeps this phase. Within the settings' overload duration, the proxies together send no more
// than the tokens that arrive, the few that they have saved, and one more.
func (b *Balancer) limitedBySlowStart(e *endpoint) bool {
	warmFraction := b.warmFraction(e)
	if !e.slowStarting {
		return false
	}
	// If most endpoints are ejected, an endpoint that has restarted may be a candidate of every proxy.
	if !e.inBaseSubset || b.handedOver {
		return true
	}
	capacity := warmFraction * b.meanRate * b.relativeWeight(e) // attempts per second
	// Without a warm endpoint, tokens arrive as fast as the endpoint's own responses.
	if capacity == 0 {
		capacity = math.Max(warmFraction*fallbackSlowStartRate/b.proxiesPerEndpoint, b.responseRate(e))
	}
	rate := slowStartLoadFraction * b.settings.OverloadFactor * capacity
	e.slowStartTokens += rate * (b.now - e.slowStartTokensAt).Seconds()
	e.slowStartTokensAt = b.now
	maxTokens := 1/b.proxiesPerEndpoint + rate*slowStartTokenLifetime*b.settings.OverloadDuration.Seconds()
	e.slowStartTokens -= math.Ceil(math.Max(0, e.slowStartTokens-1-maxTokens))
	return e.slowStartTokens < 1
}

// relativeWeight is an endpoint's weight relative to that of the mean warm endpoint, or 1 if weights do not
// reflect the capacity of machines.
func (b *Balancer) relativeWeight(e *endpoint) float64 {
	if !b.settings.WeightKnown || b.settings.WeightDynamic || e.Weight <= 0 || b.meanWeight <= 0 {
		return 1
	}
	return e.Weight / b.meanWeight
}

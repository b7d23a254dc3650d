package balancer

import (
	"math"
	"time"
)

const (
	// imposedModeTTL is the time after which an imposed mode lapses.
	imposedModeTTL = time.Second
	// recoveryFactor is the fraction of the in-flight limit below which an endpoint returns to normal mode. The
	// gap to the limit is the hysteresis.
	recoveryFactor = 0.5
	// blockFactor is the multiple of the limit from which on an endpoint blocks. The capacity between the limit
	// and that multiple is for bursts of priority requests.
	blockFactor = 3.0
	// maxPooledLimit is the mean in-flight limit below which the candidates of a placement get a common mode.
	maxPooledLimit = 0.33
	// The common count is smoothed over the time in which poolWindowResponses responses arrive.
	poolWindowResponses = 10.0
	// poolNoiseFactor, times the square root of the common limit, is how far the count may exceed the limit for
	// a moment without leading to another mode.
	poolNoiseFactor = 3.0
	// pooledCountScale multiplies the common count and limits, so that the margins of 1 in NextMode become
	// small.
	pooledCountScale = 100.0
	// maxWaitFraction is the fraction of a latency objective that queueing and service may take.
	maxWaitFraction = 0.8
	// reportedBlockFactor is the multiple of the limit on reported counts from which on an endpoint blocks, as
	// its responses would be late.
	reportedBlockFactor = 1.3
)

// Mode is the overload mode of an endpoint in the view of this proxy.
type Mode int

const (
	// Normal endpoints get any request.
	Normal Mode = iota
	// Overloaded endpoints get requests only if no endpoint is normal, and some of these are shed.
	Overloaded
	// Blocking endpoints get no requests.
	Blocking
)

// NextMode is the hysteresis of the overload control. An endpoint with inFlight requests becomes overloaded
// above high and blocks above block; a blocking endpoint becomes overloaded again below high, and an
// overloaded one normal below low.
func NextMode(mode Mode, inFlight, low, high, block float64) Mode {
	switch {
	case mode != Blocking && inFlight > block-1:
		return Blocking
	case mode == Normal && inFlight > high-1, mode == Blocking && inFlight < high+1:
		return Overloaded
	case mode == Overloaded && inFlight < low:
		return Normal
	}
	return mode
}

// overloadFractionOf is the position of a count between a limit (0) and the blocking threshold (1).
func overloadFractionOf(count, limit, block float64) float64 {
	return math.Min(1, math.Max(0, (count-limit)/(block-limit)))
}

// updateMode updates the mode of an endpoint of a placement and returns it, or the imposed mode if that is
// higher.
func (b *Balancer) updateMode(p *placement, e *endpoint) Mode {
	if e.inFlightLimit == 0 { // the endpoint is no candidate, but may get an attempt
		e.inFlightLimit = b.computeInFlightLimit(e)
	}
	switch {
	case b.queriesLoad:
		e.mode = Normal
	case p.usesPooledMode:
		e.mode = p.mode
		e.overloadFraction = p.overloadFraction
	default:
		b.updateLocalMode(e)
		e.mode = e.localMode
	}
	if b.now < e.imposedUntil {
		return max(e.mode, e.imposedMode)
	}
	return e.mode
}

// updateLocalMode determines the mode of an endpoint by its own count. The limit is rounded up or down by a
// phase that is random for each endpoint and moves with each shedding period: if all proxies rounded up at
// once, they would overload the endpoint together.
func (b *Balancer) updateLocalMode(e *endpoint) {
	phase := math.Mod(e.roundingPhase+b.periodStart.Seconds()*math.Phi, 1)
	limit := math.Floor(e.inFlightLimit + phase)
	block := blockFactor*limit + 1
	e.localMode = NextMode(e.localMode, e.inFlight, recoveryFactor*limit, limit, block)
	e.overloadFraction = overloadFractionOf(e.inFlight, limit, block)
}

// updatePooledMode determines a common mode of a placement's candidates by the sums of their counts and
// limits. The common mode is used if the limits are so low that a candidate may have less than one request of
// this proxy. The sum of the counts is smoothed, as the few requests of one proxy come and go by chance.
func (b *Balancer) updatePooledMode(p *placement) {
	var inFlight, limit float64
	for _, e := range p.candidates {
		inFlight += e.inFlight
		limit += e.inFlightLimit
	}
	candidates := float64(len(p.candidates))
	p.usesPooledMode = limit < maxPooledLimit*candidates
	window := math.Min(observationDecay, poolWindowResponses/math.Max(1e-9, b.meanRate*candidates)) // s
	p.smoothedInFlight = inFlight + (p.smoothedInFlight-inFlight)*decay(b.now-p.smoothedAt, window)
	p.smoothedAt = b.now

	count := math.Max(p.smoothedInFlight, inFlight-poolNoiseFactor*math.Sqrt(limit))
	p.mode = NextMode(p.mode, pooledCountScale*count,
		pooledCountScale*recoveryFactor*limit, pooledCountScale*limit, pooledCountScale*blockFactor*limit)
	p.overloadFraction = overloadFractionOf(count, limit, blockFactor*limit)
}

// imposeMode sets a mode that applies until it lapses, whatever the endpoint's count.
func (b *Balancer) imposeMode(e *endpoint, mode Mode) {
	e.imposedMode = mode
	e.imposedUntil = b.now + imposedModeTTL
}

// recordLoadReport imposes a mode on an endpoint by the count in its load report, where load queries are
// used. The limit is the count at which a response still meets the tightest latency objective. Reports in
// responses arrive late and impose nothing, as all proxies would react to them at the same time.
func (b *Balancer) recordLoadReport(e *endpoint, report *LoadReport) {
	if report == nil || !report.HasInFlight || !b.queriesLoad {
		return
	}
	e.reportedAt = b.now
	if report.QueueLength > 0 {
		runningRequests := math.Max(1, report.InFlight-report.QueueLength)
		b.endpointConcurrency += endpointSmoothing * (runningRequests - b.endpointConcurrency)
	}
	if b.now >= e.imposedUntil {
		e.reportedMode = Normal
	}
	limit := 2 * minFleetInFlight
	if b.serviceTime > 0 {
		limit = 1 + b.endpointConcurrency*maxWaitFraction*b.tightestObjective/b.serviceTime
	}
	block := reportedBlockFactor * limit
	e.inFlight = report.InFlight
	e.overloadFraction = overloadFractionOf(e.inFlight, limit, block)
	e.reportedMode = NextMode(e.reportedMode, e.inFlight, recoveryFactor*limit, limit, block)
	b.imposeMode(e, e.reportedMode)
}

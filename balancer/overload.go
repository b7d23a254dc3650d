package balancer

import (
	"math"
	"time"
)

const (
	imposedModeTTL = time.Second // an imposed mode lapses after it
	// of the in-flight limit, below which an endpoint is normal again: hysteresis
	recoverFactor = 0.5
	// times the limit, from which an endpoint blocks: capacity for priority bursts
	blockFactor = 3.0
	pooledBelow = 0.33 // mean in-flight limit below which candidates are judged together
	poolSamples = 10.0 // responses in the time over which their count is smoothed
	// times the root of the limit, by which a count may be above it for a moment
	poolNoise           = 3.0
	pooledCountScale    = 100.0 // by which sums are multiplied, so that NextMode's edges of 1 become small
	maxWaitShare        = 0.8   // of the tightest objective, that queueing and service may take
	reportedBlockFactor = 1.3   // times the limit for reported counts: beyond it a response is late
)

// Mode is the overload mode of an endpoint as this proxy sees it.
type Mode int

const (
	// Normal endpoints get all requests.
	Normal Mode = iota
	// Overloaded endpoints get requests only if no endpoint is normal, and some of these are shed.
	Overloaded
	// Blocking endpoints get nothing.
	Blocking
)

// NextMode is the hysteresis of overload control: an endpoint with inFlight requests becomes overloaded above
// high, blocks above block, is merely overloaded again below high and normal below low.
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

// overloadBetween is where a count stands between a limit, 0, and the blocking threshold, 1.
func overloadBetween(count, limit, block float64) float64 {
	return math.Min(1, math.Max(0, (count-limit)/(block-limit)))
}

// overloadMode updates an endpoint's mode and returns it, or the imposed one if that is higher.
func (b *Balancer) overloadMode(p *placement, e *endpoint) Mode {
	if e.inFlightLimit == 0 { // it is no candidate, but may be tried like one
		e.inFlightLimit = b.computeInFlightLimit(e)
	}
	switch {
	case b.queriesLoad:
		e.mode = Normal
	case p.pooled:
		e.mode = p.mode
		e.overload = p.overload
	default:
		b.updateLocalMode(e)
		e.mode = e.localMode
	}
	if b.now < e.imposedUntil {
		return max(e.mode, e.imposedMode)
	}
	return e.mode
}

// updateLocalMode judges an endpoint by its own count. The limit is rounded up or down by chance, in a phase
// that moves on: if all proxies rounded up, they would overload an endpoint together.
func (b *Balancer) updateLocalMode(e *endpoint) {
	phase := math.Mod(e.roundingPhase+b.periodStart.Seconds()*math.Phi, 1)
	limit := math.Floor(e.inFlightLimit + phase)
	block := blockFactor*limit + 1
	e.localMode = NextMode(e.localMode, e.inFlight, recoverFactor*limit, limit, block)
	e.overload = overloadBetween(e.inFlight, limit, block)
}

// updatePooled judges the candidates of a placement together, by the sums of counts and limits, if each may
// have less than a request of this proxy. The sum is smoothed, as a proxy's few requests come and go by
// chance.
func (b *Balancer) updatePooled(p *placement) {
	var inFlight, limit float64
	for _, e := range p.candidates {
		inFlight += e.inFlight
		limit += e.inFlightLimit
	}
	candidates := float64(len(p.candidates))
	p.pooled = limit < pooledBelow*candidates
	window := math.Min(rateDecay, poolSamples/math.Max(1e-9, b.meanRate*candidates)) // s
	p.smoothedInFlight = inFlight + (p.smoothedInFlight-inFlight)*decay(b.now-p.smoothedAt, window)
	p.smoothedAt = b.now

	count := math.Max(p.smoothedInFlight, inFlight-poolNoise*math.Sqrt(limit))
	p.mode = NextMode(p.mode, pooledCountScale*count,
		pooledCountScale*recoverFactor*limit, pooledCountScale*limit, pooledCountScale*blockFactor*limit)
	p.overload = overloadBetween(count, limit, blockFactor*limit)
}

// imposeMode gives an endpoint a mode that holds, whatever its count, until it lapses.
func (b *Balancer) imposeMode(e *endpoint, mode Mode) {
	e.imposedMode = mode
	e.imposedUntil = b.now + imposedModeTTL
}

// recordLoadReport lets an endpoint's own count impose a mode until it lapses, where load queries are used.
// The limit is what the endpoint can have and still keep the tightest objective. Reports that come unasked
// are late and impose nothing: proxies would all react at once.
func (b *Balancer) recordLoadReport(e *endpoint, report *LoadReport) {
	if report == nil || !report.HasInFlight || !b.queriesLoad {
		return
	}
	e.reportedAt = b.now
	if report.QueueLength > 0 {
		running := math.Max(1, report.InFlight-report.QueueLength)
		b.endpointConcurrency += endpointSmoothing * (running - b.endpointConcurrency)
	}
	if b.now >= e.imposedUntil {
		e.reportedMode = Normal
	}
	limit := 2 * minInFlight
	if b.serviceTime > 0 {
		limit = 1 + b.endpointConcurrency*maxWaitShare*b.tightestObjective/b.serviceTime
	}
	block := reportedBlockFactor * limit
	e.inFlight = report.InFlight
	e.overload = overloadBetween(e.inFlight, limit, block)
	e.reportedMode = NextMode(e.reportedMode, e.inFlight, recoverFactor*limit, limit, block)
	b.imposeMode(e, e.reportedMode)
}

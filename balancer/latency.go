package balancer

import (
	"math"
	"time"
)

const (
	rateDecay         = 3.0   // s, for which what a proxy has seen of an endpoint holds
	memoryDecay       = 600.0 // s, in which peak rate and base latency are forgotten: longer than faults
	endpointSmoothing = 0.1   // weight of a new latency in an endpoint's smoothed one
	fleetSmoothing    = 0.02  // the same over all endpoints, where samples are many
	overdueFactor     = 4.0   // times the expected latency, beyond which a longer wait tells no more
	minLatency        = 1e-6  // s, of a recorded response
)

// decay is the weight that a value of some age still has, by an exponential decay with a time constant in
// seconds.
func decay(age time.Duration, constant float64) float64 { return math.Exp(-age.Seconds() / constant) }

// responseRate is the rate at which an endpoint answers this proxy, in responses per second.
func (b *Balancer) responseRate(e *endpoint) float64 {
	observed := 1 - decay(b.now-e.firstListedAt+tickInterval, rateDecay) // corrects for a short observation
	return e.responseRateNow(b.now) / observed
}

// responseRateNow is the smoothed rate, decayed to the present.
func (l *latencyEstimate) responseRateNow(now Time) float64 {
	return l.responseRate * decay(now-l.responseRateAt, rateDecay)
}

// countResponse adds a response to the smoothed rate.
func (l *latencyEstimate) countResponse(now Time) {
	l.responseRate = l.responseRateNow(now) + 1/rateDecay
	l.responseRateAt = now
}

// expectedLatency is the latency of a mean request at an endpoint, in seconds. An estimate that is not
// renewed drifts to the fleet's mean, so that the endpoint is tried again.
func (b *Balancer) expectedLatency(e *endpoint) float64 {
	return b.meanLatency + e.excessLatency*decay(b.now-e.excessLatencyAt, rateDecay)
}

// recordResponse learns from a response, or its beginning.
func (b *Balancer) recordResponse(a *attempt, r *request, elapsed time.Duration) {
	c := r.class
	b.responses++
	c.responses++
	latency := max(elapsed.Seconds(), minLatency)
	gain := max(fleetSmoothing, 1/b.responses)
	classGain := max(fleetSmoothing, 1/c.responses)

	b.meanLatency += gain * (latency - b.meanLatency)
	work := r.relativeWork*c.relativeCost + a.queuedAhead/b.endpointConcurrency // mean requests
	b.serviceTime += gain * (latency/work - b.serviceTime)

	c.meanLatency += classGain * (latency - c.meanLatency)
	c.fleetLatency += classGain * (b.meanLatency - c.fleetLatency)
	// Not relative to the present mean: a rare class must not keep the latency of a fault that is over.
	c.relativeCost = c.meanLatency / c.fleetLatency

	b.recordLatency(a.endpoint, elapsed.Seconds()/c.relativeCost)
}

// recordLatency smooths in the latency of a mean request, in seconds. It is capped, as a heavy request tells
// of itself and not of its endpoint.
func (b *Balancer) recordLatency(e *endpoint, latency float64) {
	expected := b.expectedLatency(e)
	capped := math.Min(latency, overdueFactor*math.Max(expected, b.meanLatency))
	smoothed := expected + endpointSmoothing*(capped-expected)
	e.excessLatency = smoothed - b.meanLatency
	e.excessLatencyAt = b.now
}

// observedLatency is what an outcome shows of the latency of a mean request, in seconds; 0: nothing. A
// failure counts as a slow response: failing fast must not attract work.
func observedLatency(r *request, event AttemptEnded) float64 {
	if r.responseStarted {
		return 0
	}
	switch event.Outcome {
	case Cancelled, NotSent, Rejected:
		return 0
	case OK:
		return event.Elapsed.Seconds() / r.class.relativeCost
	}
	return failureLatency(r, event)
}

// failureLatency is the latency of a mean request that a failure counts as, in seconds.
func failureLatency(r *request, event AttemptEnded) float64 {
	return max(event.Elapsed, r.class.LatencyObjective).Seconds() / r.class.relativeCost
}

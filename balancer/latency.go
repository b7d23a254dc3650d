package balancer

import (
	"math"
	"time"
)

const (
	// observationDecay is the time constant, in seconds, of the exponential decay of a proxy's observations of
	// an endpoint.
	observationDecay = 3.0
	// longTermDecay is the time constant, in seconds, with which the peak rate and the base latency decay. It is
	// longer than faults last.
	longTermDecay     = 600.0
	endpointSmoothing = 0.1  // weight of a new latency in an endpoint's smoothed latency
	fleetSmoothing    = 0.02 // the same over all endpoints, which have many samples
	// overdueFactor is the multiple of the expected latency after which an attempt is overdue; a longer wait
	// shows nothing more.
	overdueFactor = 4.0
	minLatency    = 1e-6 // s, lower bound of a recorded latency
)

// decay returns the weight of an observation of some age, by exponential decay with a time constant in
// seconds.
func decay(age time.Duration, constant float64) float64 { return math.Exp(-age.Seconds() / constant) }

// responseRate is the rate at which an endpoint responds to this proxy, in responses per second.
func (b *Balancer) responseRate(e *endpoint) float64 {
	// Dividing by observed corrects the estimate if the endpoint has been observed only for a short time.
	observed := 1 - decay(b.now-e.observedSince+tickInterval, observationDecay)
	return e.responseRateNow(b.now) / observed
}

// responseRateNow is the smoothed response rate, decayed to the present time.
func (l *latencyEstimate) responseRateNow(now Time) float64 {
	return l.responseRate * decay(now-l.responseRateAt, observationDecay)
}

// countResponse adds a response to the smoothed response rate.
func (l *latencyEstimate) countResponse(now Time) {
	l.responseRate = l.responseRateNow(now) + 1/observationDecay
	l.responseRateAt = now
}

// expectedLatency is the latency of a mean request at an endpoint, in seconds. Without new responses it
// drifts to the mean of the fleet, so that a slow endpoint is tried again.
func (b *Balancer) expectedLatency(e *endpoint) float64 {
	return b.meanLatency + e.excessLatency*decay(b.now-e.excessLatencyAt, observationDecay)
}

// recordResponse updates the latency estimates of the fleet, the class and the endpoint with the latency of a
// response or of its beginning.
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
	// The mean latency of the class is divided by the fleet's latency at the times of the class's responses, not
	// by the present one: the mean of a class with few requests may still include latencies of a fault that is
	// over.
	c.relativeCost = c.meanLatency / c.fleetLatency

	b.recordLatency(a.endpoint, elapsed.Seconds()/c.relativeCost)
}

// recordLatency adds the latency of a mean request, in seconds, to the estimate of an endpoint. The latency
// is capped, as a very long one is due to a heavy request rather than to the endpoint.
func (b *Balancer) recordLatency(e *endpoint, latency float64) {
	expected := b.expectedLatency(e)
	capped := math.Min(latency, overdueFactor*math.Max(expected, b.meanLatency))
	smoothed := expected + endpointSmoothing*(capped-expected)
	e.excessLatency = smoothed - b.meanLatency
	e.excessLatencyAt = b.now
}

// observedLatency returns what an attempt shows of the latency of a mean request, in seconds; 0: it shows
// nothing. A failure counts as a slow response, as an endpoint that fails fast must not attract work.
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

// failureLatency returns the latency that a failed attempt counts as, scaled to a mean request, in seconds.
func failureLatency(r *request, event AttemptEnded) float64 {
	return max(event.Elapsed, r.class.LatencyObjective).Seconds() / r.class.relativeCost
}

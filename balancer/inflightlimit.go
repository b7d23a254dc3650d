package balancer

import "math"

const (
	// maxObjectiveFraction is the fraction of a latency objective that the mean latency may reach: latencies
	// have a long tail.
	maxObjectiveFraction = 0.4
	// maxLatencyFactor is the multiple of the base latency that the mean latency may reach because of queueing.
	maxLatencyFactor = 1.8
	// baseLatencyNoise is the fraction by which a mean latency may be below its true value by chance.
	baseLatencyNoise = 0.15
	// minFleetInFlight is the number of requests that all proxies together may always have in flight at an
	// endpoint. It is doubled until there are estimates.
	minFleetInFlight = 2.0
	// minResponsesPerEndpoint is the number of responses, on average over the endpoints of its subset, after
	// which a proxy uses its estimates.
	minResponsesPerEndpoint = 2.0
	// fleetRateFraction is the weight of the fleet's mean rate in the rate that a limit is computed from. The
	// other part is the endpoint's own rate, whose noise alone must not starve the endpoint.
	fleetRateFraction = 0.3
	// maxLimitGrowth bounds the factor by which the limit is raised while the mean latency is below its target.
	maxLimitGrowth = 3.0
)

// updateCandidates selects the candidates of each placement: the first endpoints on the ring that are ready,
// not ejected and not in maintenance. It updates the fleet's estimates over the candidates, and the in-flight
// limits of the candidates.
func (b *Balancer) updateCandidates() {
	var rates, weights, count, subsetSizes float64
	for _, p := range b.placements {
		subsetSizes += p.subsetSize
		p.candidates = p.candidates[:0]
		for i := 0; i < len(p.ring.endpoints) && len(p.candidates) < int(p.subsetSize); i++ {
			e := p.ring.at(i)
			if e.ejected || e.inMaintenance || e.State != Ready {
				continue
			}
			p.candidates = append(p.candidates, e)
			e.inFlightLimit = b.computeInFlightLimit(e)
			if !e.slowStarting {
				rates += b.responseRate(e)
				weights += e.Weight
				count++
			}
		}
	}
	b.meanRate = rates / math.Max(1, count)
	b.meanWeight = weights / math.Max(1, count)
	b.hasEstimates = rates > 0 && b.responses >= minResponsesPerEndpoint*subsetSizes
	b.updateTightestObjective()
	if b.hasEstimates {
		b.updateLongTermEstimates()
	}
}

// updateTightestObjective finds the smallest latency objective of all classes, scaled to a mean request.
func (b *Balancer) updateTightestObjective() {
	b.tightestObjective = math.Inf(1)
	for _, c := range b.classOrder {
		if c.LatencyObjective > 0 {
			b.tightestObjective = math.Min(b.tightestObjective, c.LatencyObjective.Seconds()/c.relativeCost)
		}
	}
}

// updateLongTermEstimates updates the peak rate and the base latency, which decay slowly.
func (b *Balancer) updateLongTermEstimates() {
	forget := 1 + tickInterval.Seconds()/longTermDecay
	b.peakRate = math.Max(b.peakRate/forget, b.meanRate)
	b.baseLatency *= forget
	if b.baseLatency == 0 || b.meanLatency < b.baseLatency*(1-baseLatencyNoise) {
		b.baseLatency = b.meanLatency / (1 - baseLatencyNoise)
	}
}

// computeInFlightLimit returns the number of requests that this proxy may have in flight at an endpoint. By
// Little's law this is the rate of responses times a target latency that satisfies the latency objectives.
// Part of the rate is the fleet's mean rate. The limit falls as load slows endpoints down, which keeps queues
// short. It does not fall below the number of requests that keep an endpoint busy: when all endpoints slow
// down together, shedding could not make any response meet its objective.
func (b *Balancer) computeInFlightLimit(e *endpoint) float64 {
	if !b.hasEstimates {
		return 2 * minFleetInFlight / b.proxiesPerEndpoint
	}
	// speed is the endpoint's speed relative to the fleet.
	speed := math.Min(1, b.meanLatency/b.expectedLatency(e))
	rate := (1-fleetRateFraction)*b.responseRate(e) + fleetRateFraction*b.meanRate*speed // responses per second
	// targetLatency, in seconds, satisfies the objectives and keeps queues short.
	targetLatency := math.Min(maxLatencyFactor*b.baseLatency, maxObjectiveFraction*b.tightestObjective)
	busyLatency := b.baseLatency * b.peakRate / b.meanRate // s, lower bound that keeps the endpoint busy
	limit := rate * math.Max(busyLatency, targetLatency*math.Min(maxLimitGrowth, targetLatency/b.meanLatency))
	return math.Max(limit, minFleetInFlight/b.proxiesPerEndpoint)
}

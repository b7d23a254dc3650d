package balancer

import "math"

const (
	objectiveShare = 0.4  // of a latency objective, that the mean latency may take: tails are long
	maxQueueing    = 1.8  // times the base latency, that the mean latency may come to
	baseNoise      = 0.15 // by how much chance alone takes a class's mean below its true value
	// requests of all proxies at an endpoint that all may send; twice that at first
	minInFlight             = 2.0
	minResponsesPerEndpoint = 2.0 // after which a proxy's estimates are used, on average over its subset
	// of the limit, from the fleet's rate: noise in an endpoint's own must not starve it
	fleetRateShare     = 0.3
	maxObjectiveFactor = 3.0 // by which the limit may exceed what the present latency allows
)

// updateCandidates finds the endpoints of each placement that this proxy works with, the first on the ring
// that are ready and not ejected, and renews the estimates over them and their in-flight limits.
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

func (b *Balancer) updateTightestObjective() {
	b.tightestObjective = math.Inf(1)
	for _, c := range b.classOrder {
		if c.LatencyObjective > 0 {
			b.tightestObjective = math.Min(b.tightestObjective, c.LatencyObjective.Seconds()/c.relativeCost)
		}
	}
}

// updateLongTermEstimates follows the peak rate and the base latency, both of which are forgotten slowly.
func (b *Balancer) updateLongTermEstimates() {
	forget := 1 + tickInterval.Seconds()/memoryDecay
	b.peakRate = math.Max(b.peakRate/forget, b.meanRate)
	b.baseLatency *= forget
	if b.baseLatency == 0 || b.meanLatency < b.baseLatency*(1-baseNoise) {
		b.baseLatency = b.meanLatency / (1 - baseNoise)
	}
}

// computeInFlightLimit is H of the overload control: by Little's law, the requests that this proxy may have
// at an endpoint that answers as fast as objectives want. Part of the rate is the fleet's. Queues stay short,
// as load slows endpoints down; the limit stays at what keeps an endpoint busy when all slow down at once and
// shedding could help no objective.
func (b *Balancer) computeInFlightLimit(e *endpoint) float64 {
	if !b.hasEstimates {
		return 2 * minInFlight / b.proxiesPerEndpoint
	}
	speed := math.Min(1, b.meanLatency/b.expectedLatency(e))                       // relative to the fleet
	rate := (1-fleetRateShare)*b.responseRate(e) + fleetRateShare*b.meanRate*speed // responses per second
	wanted := math.Min(maxQueueing*b.baseLatency, objectiveShare*b.tightestObjective)
	busy := b.baseLatency * b.peakRate / b.meanRate // s
	limit := rate * math.Max(busy, wanted*math.Min(maxObjectiveFactor, wanted/b.meanLatency))
	return math.Max(limit, minInFlight/b.proxiesPerEndpoint)
}

package balancer

import (
	"math"
	"time"
)

const (
	// minPriorityFraction is the fraction of the highest priority weight up to which no request has priority.
	minPriorityFraction = 0.1
	// sheddingPeriod is the time between updates of the drop probabilities: long enough for many arrivals, but
	// shorter than a fault.
	sheddingPeriod = 500 * time.Millisecond
)

// SplitShedding splits an overall drop probability so that requests without priority are shed first. It
// returns the drop probabilities of priority requests and of the others; priorityArrivals and otherArrivals
// are the numbers of such requests in the last period.
func SplitShedding(drop, priorityArrivals, otherArrivals float64) (priorityDrop, otherDrop float64) {
	if otherArrivals == 0 {
		return drop, 0
	}
	dropped := drop * (priorityArrivals + otherArrivals)
	otherDrop = math.Min(1, dropped/otherArrivals)
	if priorityArrivals > 0 {
		priorityDrop = math.Max(0, (dropped-otherDrop*otherArrivals)/priorityArrivals)
	}
	return priorityDrop, otherDrop
}

// startSheddingPeriod computes the drop probabilities from the arrivals and the overload in the period that
// ends. They apply while all endpoints are overloaded. All requests without priority may then be shed. The
// fraction of priority requests that is shed grows as the endpoints approach their blocking thresholds.
func (p *placement) startSheddingPeriod() {
	meanOverload := p.overloadSum / math.Max(1, p.overloadSamples)
	arrivals := math.Max(1, p.priorityArrivals+p.otherArrivals)
	drop := (p.otherArrivals + p.priorityArrivals*meanOverload) / arrivals
	p.priorityDrop, p.otherDrop = SplitShedding(drop, p.priorityArrivals, p.otherArrivals)
	p.priorityArrivals = 0
	p.otherArrivals = 0
	p.overloadSum = 0
	p.overloadSamples = 0
}

// shouldShed reports whether a new request is shed. It is shed if its response would come too late to count
// while endpoints are overloaded. If all endpoints are overloaded, it is also shed at random, with its drop
// probability.
func (b *Balancer) shouldShed(r *request, mode Mode) bool {
	p := r.class.placement
	if b.now < p.overloadedAt+sheddingPeriod && b.isTooLate(r, b.meanLatency*r.class.relativeCost) {
		return true
	}
	if mode != Overloaded {
		return false
	}
	if r.priority {
		return b.random() < p.priorityDrop
	}
	return b.random() < p.otherDrop
}

// priorityFraction is the fraction of a class's requests that have priority. It grows with the class's
// priority weight, relative to the highest weight.
func priorityFraction(weight, maxWeight float64) float64 {
	return math.Max(0, (weight/math.Max(maxWeight, 1e-9)-minPriorityFraction)/(1-minPriorityFraction))
}

// isTooLate reports whether a response in untilResponse seconds would miss the latency objective of a class
// whose late responses have no weight.
func (b *Balancer) isTooLate(r *request, untilResponse float64) bool {
	spent := (r.waitedBefore + b.now - r.arrived).Seconds()
	objective := r.class.LatencyObjective.Seconds()
	return r.received && r.class.LateWeight == 0 && objective > 0 &&
		spent > 0 && spent+untilResponse >= objective
}

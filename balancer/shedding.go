package balancer

import (
	"math"
	"time"
)

const (
	// of the highest priority weight, up to which no request has priority
	minPriorityShare = 0.1
	// of the drop probabilities: many arrivals, yet shorter than a fault
	sheddingPeriod = 500 * time.Millisecond
)

// SplitShedding splits an overall drop probability so that requests without priority are shed first. It
// returns the probabilities for priority and for other requests; priorityArrivals and otherArrivals are those
// of the last period.
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

// startSheddingPeriod sets the drop probabilities by the arrivals and the overload of the period that ends.
// All other requests may go, and priority requests the more the nearer endpoints are to their blocking
// thresholds.
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

// sheds reports whether a new request is shed: it would be answered too late to be worth anything while
// endpoints are overloaded, or all of them are and it is drawn.
func (b *Balancer) sheds(r *request, mode Mode) bool {
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

// priorityFraction is the fraction of a class's requests that have priority: graded by its weight over the
// highest one.
func priorityFraction(weight, maxWeight float64) float64 {
	return math.Max(0, (weight/math.Max(maxWeight, 1e-9)-minPriorityShare)/(1-minPriorityShare))
}

// isTooLate reports whether a response so many seconds from now is past the latency objective of a class for
// which late responses are worth nothing.
func (b *Balancer) isTooLate(r *request, after float64) bool {
	spent := (r.waitedBefore + b.now - r.arrived).Seconds()
	objective := r.class.LatencyObjective.Seconds()
	return !r.incomplete && r.class.LateWeight == 0 && objective > 0 && spent > 0 && spent+after >= objective
}

package balancer

import (
	"math"
	"slices"
	"time"
)

// LearnedState is what a balancer has learned, in a form that a new process of the same proxy can go on with.
// Its times are on the monotonic clock that both processes share. The JSON keys are those of the first
// version: an old and a new process may be of different versions.
type LearnedState struct {
	MeanLatency         float64           `json:"Mean"`    // s
	BaseLatency         float64           `json:"Base"`    // s
	ServiceTime         float64           `json:"Unit"`    // s
	PeakRate            float64           `json:"Peak"`    // responses per second
	Responses           float64           `json:"Answers"` // count
	EndpointConcurrency float64           `json:"Running"`
	RetryBudget         float64           `json:"Budget"`
	ProbeBudget         float64           `json:"Trials"`
	Classes             []LearnedClass    `json:"Classes"`
	Endpoints           []LearnedEndpoint `json:"Servers"`
}

// LearnedClass is what a balancer has learned of a class.
type LearnedClass struct {
	Name         string  `json:"Name"`
	MeanWorkHint float64 `json:"Hint"`    // s
	WorkHints    float64 `json:"Hints"`   // count
	Responses    float64 `json:"Count"`   // count
	MeanLatency  float64 `json:"Latency"` // s
	FleetLatency float64 `json:"Ambient"` // s
	// of its mean request, as a multiple of the mean request of all classes
	RelativeCost float64 `json:"Relative"`
}

// LearnedEndpoint is what a balancer has learned of an endpoint, and has in flight there.
type LearnedEndpoint struct {
	ID              EndpointID    `json:"ID"`
	StartedAt       Time          `json:"StartedAt"`
	ExcessLatencyAt Time          `json:"LatencyAt"`
	ResponseRateAt  Time          `json:"RateAt"`
	FirstListedAt   Time          `json:"Since"`
	NextProbeAt     Time          `json:"TrialAt"`
	SlowStartSince  Time          `json:"ColdSince"`
	At              Time          `json:"At"` // when this was written
	ProbeBackoff    time.Duration `json:"TrialWait"`
	ExcessLatency   float64       `json:"Excess"` // s
	ResponseRate    float64       `json:"Rate"`   // per second
	FailureRate     float64       `json:"Failing"`
	InFlightWork    float64       `json:"Load"` // mean requests
	SlowStartTokens float64       `json:"Tokens"`
	Ejected         bool          `json:"Suspect"`
	MaybeRestarted  bool          `json:"Away"`
	SlowStarting    bool          `json:"Cold"`
}

const maxInheritedTokens = 2.0 // of a slow start

// Learned returns what a new process of this proxy can go on with.
func (b *Balancer) Learned(now Time) LearnedState {
	learned := LearnedState{
		MeanLatency:         b.meanLatency,
		BaseLatency:         b.baseLatency,
		ServiceTime:         b.serviceTime,
		PeakRate:            b.peakRate,
		Responses:           b.responses,
		EndpointConcurrency: b.endpointConcurrency,
		RetryBudget:         b.retryBudget,
		ProbeBudget:         b.probeBudget,
	}
	for _, c := range b.classOrder {
		learned.Classes = append(learned.Classes, c.learned())
	}
	for i := range b.ring.endpoints {
		learned.Endpoints = append(learned.Endpoints, b.ring.at(i).learned(now))
	}
	return learned
}

func (c *class) learned() LearnedClass {
	return LearnedClass{
		Name:         c.Name,
		MeanWorkHint: c.meanWorkHint,
		WorkHints:    c.workHints,
		Responses:    c.responses,
		MeanLatency:  c.meanLatency,
		FleetLatency: c.fleetLatency,
		RelativeCost: c.relativeCost,
	}
}

func (e *endpoint) learned(now Time) LearnedEndpoint {
	return LearnedEndpoint{
		ID:              e.ID,
		StartedAt:       e.StartedAt,
		ExcessLatencyAt: e.excessLatencyAt,
		ResponseRateAt:  e.responseRateAt,
		FirstListedAt:   e.firstListedAt,
		NextProbeAt:     e.nextProbeAt,
		SlowStartSince:  e.slowStartSince,
		At:              now,
		ProbeBackoff:    e.probeBackoff,
		ExcessLatency:   e.excessLatency,
		ResponseRate:    e.responseRate,
		FailureRate:     e.failureRate,
		InFlightWork:    e.inFlightWork,
		SlowStartTokens: e.slowStartTokens,
		Ejected:         e.ejected,
		MaybeRestarted:  e.maybeRestarted,
		SlowStarting:    e.slowStarting,
	}
}

// allPlausible reports whether figures can have been learned: a faulty process must not spoil this one.
func allPlausible(least float64, figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(f float64) bool { return !(f >= least) || f > math.MaxFloat32 })
}

// restore takes what an earlier process has learned. What is about endpoints waits for the list that names
// them. Budgets are handed on and not granted anew: an upgrade allows no more than one process would have
// had.
func (b *Balancer) restore(learned LearnedState) {
	if !learned.plausible() {
		return
	}
	b.meanLatency = learned.MeanLatency
	b.baseLatency = learned.BaseLatency
	b.serviceTime = learned.ServiceTime
	b.peakRate = learned.PeakRate
	b.responses = learned.Responses
	b.endpointConcurrency = math.Max(1, learned.EndpointConcurrency)
	b.retryBudget = math.Min(maxRetryBudget, learned.RetryBudget)
	b.probeBudget = math.Min(1, learned.ProbeBudget)
	for _, c := range learned.Classes {
		if known := b.classes[c.Name]; known != nil && c.plausible() {
			known.restore(c)
		}
	}
	b.inherited = map[EndpointID]LearnedEndpoint{}
	for _, e := range learned.Endpoints {
		if e.plausible() {
			b.inherited[e.ID] = e
		}
	}
}

func (l *LearnedState) plausible() bool {
	return allPlausible(0, l.MeanLatency, l.BaseLatency, l.ServiceTime, l.PeakRate, l.Responses,
		l.EndpointConcurrency, l.RetryBudget, l.ProbeBudget)
}

func (l *LearnedClass) plausible() bool {
	return allPlausible(0, l.MeanWorkHint, l.WorkHints, l.Responses, l.MeanLatency, l.FleetLatency) &&
		allPlausible(minLatency, l.RelativeCost)
}

func (l *LearnedEndpoint) plausible() bool {
	return allPlausible(-math.MaxFloat32, l.ExcessLatency, l.SlowStartTokens) &&
		allPlausible(0, l.ResponseRate, l.FailureRate, l.InFlightWork)
}

func (c *class) restore(learned LearnedClass) {
	c.meanWorkHint = learned.MeanWorkHint
	c.workHints = learned.WorkHints
	c.responses = learned.Responses
	c.meanLatency = learned.MeanLatency
	c.fleetLatency = learned.FleetLatency
	c.relativeCost = learned.RelativeCost
}

// inherit passes on to a newly listed endpoint what the previous process of this proxy learned of it.
// The work that the old process of this proxy has in flight there counts like another proxy's, until it must
// have ended.
func (b *Balancer) inherit(e *endpoint) {
	learned, ok := b.inherited[e.ID]
	if !ok || learned.StartedAt != e.StartedAt {
		return
	}
	delete(b.inherited, e.ID)
	past := func(t Time) Time { return min(t, b.now) } // an odd time must not lie ahead
	e.firstListedAt = past(learned.FirstListedAt)
	e.excessLatency = learned.ExcessLatency
	e.excessLatencyAt = past(learned.ExcessLatencyAt)
	e.responseRate = learned.ResponseRate
	e.responseRateAt = past(learned.ResponseRateAt)
	e.failureRate = math.Min(1, learned.FailureRate)
	e.ejected = learned.Ejected
	e.maybeRestarted = learned.MaybeRestarted
	e.probeBackoff = min(max(learned.ProbeBackoff, minProbeBackoff), maxProbeBackoff)
	e.nextProbeAt = min(learned.NextProbeAt, b.now+2*maxProbeBackoff)
	e.slowStarting = learned.SlowStarting
	e.slowStartSince = past(learned.SlowStartSince)
	e.slowStartTokens = math.Min(maxInheritedTokens, learned.SlowStartTokens)
	e.slowStartTokensAt = b.now
	e.peerLoads = append(e.peerLoads, peerLoad{
		proxy: b.settings.ProxyIndex,
		work:  learned.InFlightWork,
		at:    past(learned.At),
	})
}

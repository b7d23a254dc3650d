package balancer

import (
	"math"
	"slices"
	"time"
)

// LearnedState is what a balancer has learned. A new process of the same proxy continues with it. Its times
// are on the monotonic clock that both processes share. The JSON keys are those of the first version, as the
// old and the new process may be of different versions.
type LearnedState struct {
	MeanLatency         float64           `json:"Mean"`    // s
	BaseLatency         float64           `json:"Base"`    // s
	ServiceTime         float64           `json:"Unit"`    // s
	PeakRate            float64           `json:"Peak"`    // responses per second
	Responses           float64           `json:"Answers"` // number of responses
	EndpointConcurrency float64           `json:"Running"` // requests that an endpoint works on at the same time
	RetryBudget         float64           `json:"Budget"`  // retries
	ProbeBudget         float64           `json:"Trials"`  // recovery probes
	Classes             []LearnedClass    `json:"Classes"`
	Endpoints           []LearnedEndpoint `json:"Servers"`
}

// LearnedClass is what a balancer has learned of a request class.
type LearnedClass struct {
	Name         string  `json:"Name"`
	MeanWorkHint float64 `json:"Hint"`    // s
	WorkHints    float64 `json:"Hints"`   // number of work hints
	Responses    float64 `json:"Count"`   // number of responses
	MeanLatency  float64 `json:"Latency"` // s
	FleetLatency float64 `json:"Ambient"` // s
	// RelativeCost is the cost of its mean request, as a multiple of the mean request of all classes.
	RelativeCost float64 `json:"Relative"`
}

// LearnedEndpoint is what a balancer has learned of an endpoint, and the work that it has in flight there.
type LearnedEndpoint struct {
	ID              EndpointID    `json:"ID"`
	StartedAt       Time          `json:"StartedAt"`
	ExcessLatencyAt Time          `json:"LatencyAt"`
	ResponseRateAt  Time          `json:"RateAt"`
	ObservedSince   Time          `json:"Since"`
	NextProbeAt     Time          `json:"TrialAt"`
	SlowStartSince  Time          `json:"ColdSince"`
	At              Time          `json:"At"` // when this entry was written
	ProbeBackoff    time.Duration `json:"TrialWait"`
	ExcessLatency   float64       `json:"Excess"`  // s
	ResponseRate    float64       `json:"Rate"`    // responses per second
	FailureRate     float64       `json:"Failing"` // fraction of attempts
	InFlightWork    float64       `json:"Load"`    // mean requests
	SlowStartTokens float64       `json:"Tokens"`  // attempts
	Ejected         bool          `json:"Suspect"`
	MaybeRestarted  bool          `json:"Away"`
	SlowStarting    bool          `json:"Cold"`
}

// maxInheritedTokens bounds the slow start tokens that a new process takes over.
const maxInheritedTokens = 2.0

// Learned returns the state that a new process of this proxy can continue with.
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
		ObservedSince:   e.observedSince,
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

// allPlausible reports whether all figures are at least minimum, finite and not absurdly large: a faulty
// process must not spoil the state of this one.
func allPlausible(minimum float64, figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(f float64) bool { return !(f >= minimum) || f > math.MaxFloat32 })
}

// restore adopts what a previous process has learned. It keeps the state of an endpoint until a list names
// the endpoint. The budgets continue with the amounts that were left, so that the two processes of an upgrade
// together make no more attempts than one process would.
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
		if current := b.classes[c.Name]; current != nil && c.plausible() {
			current.restore(c)
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

// inherit gives a newly listed endpoint the state that the previous process of this proxy learned of it. The
// work that the previous process has in flight there counts like work that another proxy has reported, and
// lapses after the same time.
func (b *Balancer) inherit(e *endpoint) {
	learned, ok := b.inherited[e.ID]
	if !ok || learned.StartedAt != e.StartedAt {
		return
	}
	delete(b.inherited, e.ID)
	past := func(t Time) Time { return min(t, b.now) } // an implausible time must not be in the future
	e.observedSince = past(learned.ObservedSince)
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

package balancer

// What a new process of this node takes over from the one before it. The interface is in api.go.

import (
	"math"
	"slices"
)

// Learned is what another process of this node can go on with.
func (m *Module) Learned(now Time) Learned {
	out := Learned{Mean: m.mean, Base: m.base, Unit: m.unit, Peak: m.peak, Answers: m.answers,
		Running: m.running, Budget: m.budget, Trials: m.trials}
	for _, c := range m.order {
		out.Classes = append(out.Classes, ClassLearned{Name: c.Name, Hint: c.hint, Hints: c.hints, Count: c.count,
			Latency: c.latency, Ambient: c.ambient, Relative: c.relative})
	}
	for i := range m.list.servers {
		s := m.list.at(i)
		out.Servers = append(out.Servers, ServerLearned{ID: s.ID, StartedAt: s.StartedAt, LatencyAt: s.latencyAt,
			RateAt: s.rateAt, Since: s.since, TrialAt: s.trialAt, ColdSince: s.coldSince, At: now,
			TrialWait: s.trialWait, Excess: s.excess, Rate: s.rate, Failing: s.failing, Load: s.load,
			Tokens: s.tokens, Suspect: s.suspect, Away: s.away, Cold: s.cold})
	}
	return out
}

// sane tells whether figures can be what a module has learned: an odd process must not spoil this one.
func sane(least float64, figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(f float64) bool { return !(f >= least) || f > math.MaxFloat32 })
}

// restore takes what was learned. What servers are like waits for the list that names them. Budgets are
// handed on and not given anew, so that an upgrade allows no more than one process would have had.
func (m *Module) restore(s Learned) {
	if !sane(0, s.Mean, s.Base, s.Unit, s.Peak, s.Answers, s.Running, s.Budget, s.Trials) {
		return
	}
	m.mean, m.base, m.unit, m.peak, m.answers = s.Mean, s.Base, s.Unit, s.Peak, s.Answers
	m.running, m.budget, m.trials = math.Max(1, s.Running), math.Min(retryBurst, s.Budget), math.Min(1, s.Trials)
	for _, c := range s.Classes {
		k := m.classes[c.Name]
		if k != nil && sane(0, c.Hint, c.Hints, c.Count, c.Latency, c.Ambient) && sane(1e-6, c.Relative) {
			k.hint, k.hints, k.count = c.Hint, c.Hints, c.Count
			k.latency, k.ambient, k.relative = c.Latency, c.Ambient, c.Relative
		}
	}
	m.inherited = map[ServerID]ServerLearned{}
	for _, k := range s.Servers {
		if sane(-math.MaxFloat32, k.Excess, k.Tokens) && sane(0, k.Rate, k.Failing, k.Load) {
			m.inherited[k.ID] = k
		}
	}
}

// inherit gives a server that a list names for the first time what was learned of that same process of it.
// The work that the old process has out there counts like another node's, until it must be over.
func (m *Module) inherit(s *server) {
	k, ok := m.inherited[s.ID]
	if !ok || k.StartedAt != s.StartedAt {
		return
	}
	delete(m.inherited, s.ID)
	past := func(t Time) Time { return min(t, m.now) }
	s.excess, s.rate, s.failing, s.tokens = k.Excess, k.Rate, math.Min(1, k.Failing), math.Min(2, k.Tokens)
	s.latencyAt, s.rateAt, s.since = past(k.LatencyAt), past(k.RateAt), past(k.Since)
	s.coldSince = past(k.ColdSince)
	s.suspect, s.away, s.cold, s.tokensAt = k.Suspect, k.Away, k.Cold, m.now
	s.trialWait = min(max(k.TrialWait, trialFirst), trialLast)
	s.trialAt = min(k.TrialAt, m.now+2*trialLast)
	s.notes = append(s.notes, note{from: m.set.Self, load: k.Load, at: past(k.At)})
}

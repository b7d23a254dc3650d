package balancer

// How fast work goes to a server that has just started. The interface is in api.go.

import "math"

const (
	coldStart  = 4.0 // 1/s, of all nodes to a cold server with no warm one to compare
	coldGrowth = 0.6 // of the overload factor, times what a cold server can do
	coldHolds  = 0.6 // of the overload time, for which an unused token holds: 0.6 x (1 + 0.6) < 1
)

func (m *Module) startCold(s *server, at Time) {
	s.cold, s.coldSince, s.tokens, s.tokensAt = true, at, m.random(), m.now
	s.rate, s.since = 0, m.now // what an older process answered tells nothing of this one
}

// warmth is the part of its capacity that a server has by now.
func (m *Module) warmth(s *server) float64 {
	warm := (m.now - s.coldSince).Seconds() / math.Max(m.set.ColdTime.Seconds(), 1e-9)
	if s.cold = s.cold && warm < 1; !s.cold {
		return 1
	}
	return m.set.ColdFrom + (1-m.set.ColdFrom)*max(0, warm)
}

// paced tells whether a cold server's token bucket is empty, or left to others. It falls under the sum of all
// nodes: tokens come at its part of the rate of warm ones here and lapse one by one, so they keep the phase
// drawn at its start. In an overload time nodes send those that come, the few held by then, and one in all.
func (m *Module) paced(s *server) bool {
	warmth := m.warmth(s)
	if !s.cold || !s.home || m.leaving { // with suspects all around, every node would reach a restarted one
		return s.cold
	}
	part := warmth * m.fleetRate * m.sizePart(s)
	if part == 0 { // no warm one: as fast as its own answers come
		part = math.Max(warmth*coldStart/m.sharers, m.rateOf(s))
	}
	rate := coldGrowth * m.set.OverloadFactor * part
	s.tokens, s.tokensAt = s.tokens+rate*(m.now-s.tokensAt).Seconds(), m.now
	held := 1/m.sharers + rate*coldHolds*m.set.OverloadTime.Seconds()
	s.tokens -= math.Ceil(math.Max(0, s.tokens-1-held))
	return s.tokens < 1
}

// sizePart is a server's size over that of the mean warm one in reach, where lists tell what machines can do.
func (m *Module) sizePart(s *server) float64 {
	if !m.set.SizeKnown || m.set.SizeLive || s.Size <= 0 || m.fleetSize <= 0 {
		return 1
	}
	return s.Size / m.fleetSize
}

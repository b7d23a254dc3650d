package balancer

// What answers teach of the speed of servers and classes. The interface is in api.go.

import (
	"math"
	"time"
)

const (
	rateTau     = 3.0   // s; what a node has seen of a server holds about as long
	memoryTau   = 600.0 // s; to forget peak rates and uncrowded latency: longer than troubles
	latencyGain = 0.1   // weight of a new latency in a server's smoothed one
	classGain   = 0.02  // the same over all servers, where samples are many
	muteFactor  = 4.0   // multiple of the expected latency beyond which more tells no more
)

func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }

func (m *Module) rateOf(s *server) float64 {
	return s.rate * decay(m.now-s.rateAt, rateTau) / (1 - decay(m.now-s.since+tickEvery, rateTau))
}

// latencyOf lets a value that is not renewed drift to the fleet's mean: the server is tried again.
func (m *Module) latencyOf(s *server) float64 {
	return m.mean + s.excess*decay(m.now-s.latencyAt, rateTau)
}

func (m *Module) learn(a *attempt, r *request, took time.Duration) {
	c := r.class
	m.answers, c.count = m.answers+1, c.count+1
	t, gain, gainC := max(took.Seconds(), 1e-6), max(classGain, 1/m.answers), max(classGain, 1/c.count)
	m.mean += gain * (t - m.mean)
	m.unit += gain * (t/(r.heavy*c.relative+a.ahead/m.running) - m.unit)
	c.latency += gainC * (t - c.latency)
	c.ambient += gainC * (m.mean - c.ambient)
	c.relative = c.latency / c.ambient // not to m.mean: a rare class must not keep a past trouble's latency
	m.weigh(a.server, took.Seconds()/c.relative)
}

// weigh takes the latency of a mean request, capped, as a heavy one tells of itself and not of its server.
func (m *Module) weigh(s *server, took float64) {
	l := m.latencyOf(s)
	l += latencyGain * (math.Min(took, muteFactor*math.Max(l, m.mean)) - l)
	s.excess, s.latencyAt = l-m.mean, m.now
}

// latencySeen is what an outcome tells of the latency of a mean request; 0: nothing. A failure counts as a
// slow answer: failing fast must not attract work.
func latencySeen(r *request, e AttemptEnded) float64 {
	switch {
	case r.started, e.Code == Cancelled, e.Code == Moot, e.Code == Full:
		return 0
	case e.Code == OK:
		return e.Elapsed.Seconds() / r.class.relative
	}
	return max(e.Elapsed, r.class.Aim).Seconds() / r.class.relative
}

package balancer

// Which attempts are given up for another, and how many there may be. The interface is in api.go.

import "math"

const (
	retryBudget = 0.1  // further attempts for each arrival, and half as many trials: no storm
	retryBurst  = 10.0 // attempts; what the budget may save up
)

// lost tells that an attempt will hardly be answered: it has been out for many times what its server takes,
// and the server has answered later ones since, or answers nothing.
func (m *Module) lost(a *attempt, r *request) bool {
	s, out := a.server, (m.now - a.sent).Seconds()
	usual := math.Max(m.mean, m.latencyOf(s)) * r.class.relative * math.Max(1, r.heavy)
	return m.learned && !r.started && !r.coming && (s.suspect || s.heard > a.sent) && out > muteFactor*usual
}

// overlook takes lost attempts out of their servers' counts, as they tell nothing of how crowded these are.
// One that may be repeated is called off while its request can still earn on a normal server.
func (m *Module) overlook(r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.ended || a.lost || !m.lost(a, r) {
			continue
		}
		m.uncount(a, 0)
		m.weigh(a.server, (m.now-a.sent).Seconds()/r.class.relative)
		if m.set.MayCancel && m.budget >= 1 && !m.worthless(r, m.mean*r.class.relative) && m.hasOther(r) {
			m.do(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
}

// hasOther tells whether a normal server could take a request once its attempt is called off.
func (m *Module) hasOther(r *request) bool {
	r.out--
	_, mode := m.pick(r)
	r.out++
	return mode == Normal
}

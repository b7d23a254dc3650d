package balancer

// An attempt: the rules on sending, what counts at its server, its end. The interface is in api.go.

import "time"

// maySend holds every rule on sending; each send passes it.
func (m *Module) maySend(r *request, s *server) bool {
	if r.done || r.started || m.now >= r.deadline || len(r.attempts) >= max(1, min(r.most, m.set.MaxAttempts)) ||
		s.State != Ready || s.banned || !r.class.group.open(s) || r.out >= 2 || r.out > 0 && !m.set.MayOverlap {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		if a.server == s || a.mayRun && c.Effect != Safe && (c.Effect == Unsafe ||
			m.now+m.set.MinTick >= r.known() || c.KeyScope == ScopeZone && s.Zone != a.server.Zone ||
			c.KeyScope == ScopeCell && s.Cell != a.server.Cell) {
			return false
		}
	}
	return true
}

// known is until when a keyed request that may have run is known where it was first sent.
func (r *request) known() Time {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayRun && r.class.Effect == Keyed {
			return a.sent + r.class.DedupWindow
		}
	}
	return forever
}

// send is the only way to a server.
func (m *Module) send(r *request, s *server, timeout time.Duration) bool {
	if s == nil || !m.maySend(r, s) {
		return false
	}
	work, before := r.heavy*r.class.relative, min(r.deadline, r.known())
	r.attempts = append(r.attempts,
		attempt{server: s, sent: m.now, mayRun: true, lost: r.coming, work: work})
	r.out++
	s.tokens, m.sentAt = s.tokens-work, m.now
	m.do(Send{ID: r.id, Server: s.ID, Timeout: min(timeout, r.deadline-m.now), Before: before})
	if !r.coming { // else it counts from its last byte on
		m.count(r, &r.attempts[len(r.attempts)-1])
	}
	return true
}

// count has an attempt whose server works on it count there.
func (m *Module) count(r *request, a *attempt) {
	s := a.server
	a.ahead = s.n
	s.n++
	if s.unanswered++; s.unanswered == suspectAt {
		m.silent.put(s)
		s.muteSince = m.now // the earlier ones are overdue by then, and this one must be
	}
	m.hold(s, a.work, 0)
}

// uncount takes it out again, with the latency that it has shown, if it has.
func (m *Module) uncount(a *attempt, latency float64) {
	a.lost = true
	a.server.n = max(0, a.server.n-1)
	m.hold(a.server, -a.work, latency)
}

// start takes the beginning of an answer. In a class that does not stream, the work is done by then.
func (m *Module) start(r *request, a *attempt, took time.Duration) {
	r.started = true
	m.learn(a, r, took)
	if !r.class.Streamed && !a.ended && !a.lost {
		m.uncount(a, took.Seconds()/r.class.relative)
	}
}

func (m *Module) ended(e AttemptEnded) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.mayRun = true, !e.Code.neverSent()
	r.out--
	if !a.lost {
		m.uncount(a, latencySeen(r, e))
	}
	if e.Code == OK || e.Code == ServerError {
		a.server.heard = max(a.server.heard, a.sent)
	}
	if a.server.State != Ready || a.server.banned {
		m.do(CloseIdle{Server: a.server.ID}) // its connection carries nothing now
	}
	m.reported(a.server, e.Report)
	m.judge(a.server, r, e)
	switch {
	case r.done && r.out == 0:
		delete(m.requests, r.id)
	case e.Over:
		m.close(r)
	case r.out == 0 && e.Spent:
		m.finish(r)
	case r.out == 0:
		m.place(r)
	}
}

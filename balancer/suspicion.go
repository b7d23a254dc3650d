package balancer

// Which servers get trial requests only, or nothing, and when they are back. The interface is in api.go.

import (
	"fmt"
	"slices"
	"time"
)

const (
	suspectAt  = 3                      // refused connections, or sends without any answer: fewer are chance
	failPart   = 0.5                    // part of a server's attempts that fail from which it is a suspect
	failGain   = 0.05                   // weight of an outcome in that part
	trialFirst = 500 * time.Millisecond // s; wait before a suspect's first trial request; doubles
	trialLast  = 4 * time.Second        // s; the longest such wait, well under what troubles last
	idleMost   = 3 * time.Second        // s; without an attempt, where all are suspects; 4 s is an idle node
)

// judge takes the outcome of an attempt. A server that was away and answers a trial may have restarted
// unannounced, so it is taken as cold.
func (m *Module) judge(s *server, r *request, e AttemptEnded) {
	switch e.Code {
	case Cancelled, Moot:
	case Full:
		s.unanswered = 0
		m.impose(s, Blocking)
	case OK:
		s.rate, s.rateAt, s.unanswered = s.rate*decay(m.now-s.rateAt, rateTau)+1/rateTau, m.now, 0
		if !r.started {
			m.learn(&r.attempts[e.Attempt], r, e.Elapsed)
		}
		s.failing -= failGain * s.failing
		if s.strikes = 0; s.suspect {
			s.suspect = false
			if r.trial && s.away {
				m.startCold(s, m.now)
			}
			m.note(s, fmt.Sprintf("answers again; cold start assumed: %v", s.cold))
		}
	default:
		if e.Code == ServerError || e.Code == Reset {
			s.unanswered = 0 // not an answer, but no silence
		}
		m.weigh(s, max(e.Elapsed, r.class.Aim).Seconds()/r.class.relative)
		m.strike(s, e.Code)
	}
}

// strike counts a failure. A few in a row are chance at a server that fails a part of its requests, which is
// worth more than one less; but one that refuses connections is gone. If they only come up late, it is mute.
func (m *Module) strike(s *server, code OutcomeCode) {
	s.failing += failGain * (1 - s.failing)
	if s.strikes++; code == ConnectFailed {
		s.strikes++ // the process is gone
	}
	if s.failing >= failPart || code == ConnectFailed && s.strikes >= suspectAt {
		m.accuse(s, fmt.Sprintf("fails, the last time by kind %d", code))
		s.away = s.away || code == ConnectFailed
	}
}

func (m *Module) accuse(s *server, why string) {
	if !s.suspect {
		s.suspect, s.away, s.trialWait, s.trialAt = true, false, trialFirst, m.now+m.jitter(trialFirst)
		m.suspects.put(s)
		m.note(s, fmt.Sprintf("suspect: %s; only trial requests", why))
	}
}

// tryOut sends a request that may be repeated to a suspect whose turn it is, with time left to try again.
// With no warm server but suspects neither the budget nor a suspect's wait may leave the node idle: the one
// that has waited longest is tried within idleMost of the last attempt, up to a third sooner, by chance.
func (m *Module) tryOut(r *request) bool {
	alone := !slices.ContainsFunc(r.class.group.near, func(s *server) bool { return !s.cold && !s.suspect })
	idle := alone && m.now >= m.sentAt+m.idleWait
	if r.class.Effect == Unsafe || m.trials < 1 && !idle {
		return false
	}
	var next *server
	m.suspects.turn(m.first)
	for i := range m.suspects.servers {
		s := m.suspects.at(i)
		better := next == nil || alone && s.trialAt < next.trialAt
		if better && (idle || m.now >= s.trialAt) && s.suspect && m.maySend(r, s) {
			next = s
		}
	}
	wait := max(m.set.ConnectTimeout, time.Duration(muteFactor*m.mean*r.class.relative*float64(time.Second)))
	if !m.send(r, next, min(wait, r.class.Aim/3)) {
		return false
	}
	next.trialWait = min(2*next.trialWait, trialLast)
	r.trial, next.trialAt, m.trials = true, m.now+m.jitter(next.trialWait), max(0, m.trials-1)
	if alone {
		m.idleWait = idleMost/2 + m.jitter(idleMost/3)
	}
	return true
}

package decide

// Which servers get trial requests only, or nothing, and when they are back. The interface is in api.go.

import (
	"fmt"
	"maps"
	"time"
)

const (
	suspectAt  = 3                      // refused connections, or sends without any answer: fewer are chance
	failPart   = 0.5                    // part of a server's attempts that fail from which it is a suspect
	failGain   = 0.05                   // weight of an outcome in that part
	trialFirst = 500 * time.Millisecond // s; wait before a suspect's first trial request; doubles
	trialLast  = 4 * time.Second        // s; the longest such wait, well under what troubles last
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
func (m *Module) tryOut(r *request) bool {
	wait := max(m.set.ConnectTimeout, time.Duration(muteFactor*m.mean*r.class.relative*float64(time.Second)))
	m.suspects.turn(m.first)
	for i := range m.suspects.servers {
		s := m.suspects.at(i)
		if m.now >= s.trialAt && s.suspect && r.class.Effect != Unsafe && m.send(r, s, min(wait, r.class.Aim/3)) {
			s.trialWait = min(2*s.trialWait, trialLast)
			r.trial, s.trialAt, m.trials = true, m.now+m.jitter(s.trialWait), m.trials-1
			return true
		}
	}
	return false
}

// maintain takes a server out by hand, or back. It is restarted meanwhile, so nothing learned of it holds.
func (m *Module) maintain(e Maintenance) {
	if s := m.known[e.Server]; e.On != m.banned[e.Server] && s != nil {
		if s.banned = e.On; e.On {
			m.do(CloseIdle{Server: s.ID}) // those in use follow as they end
		} else {
			s.suspect, s.strikes, s.unanswered, s.failing, s.imposedUntil = false, 0, 0, 0, m.now
			s.excess, s.rate, s.since = 0, 0, m.now
			m.startCold(s, m.now)
		}
	}
	if m.banned[e.Server] && !e.On {
		maps.DeleteFunc(m.lifted, func(_ ServerID, at Time) bool { return m.now-at > m.set.ColdTime })
		m.lifted[e.Server] = m.now
	}
	if delete(m.banned, e.Server); e.On {
		m.banned[e.Server] = true
	}
	m.survey()
}

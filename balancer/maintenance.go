package balancer

// Servers taken out by hand, and back. Nothing of a request is decided here. The interface is in api.go.

import "maps"

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

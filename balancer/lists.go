package balancer

// Which servers there are, and which of them this node works with. The interface is in api.go.

import (
	"math"
	"slices"
)

const (
	reachLeast = 5.0  // servers that a node works with, at least: some may fail together
	reachLook  = 30.0 // nodes that work with a server they ask: it takes few connections
	reachOwn   = 6.0  // the same where each learns of it by own answers alone
)

// open is the rule of placement, shared by the classes of a group.
func (g *group) open(s *server) bool {
	return (g.zones == nil || slices.Contains(g.zones, s.Zone)) &&
		(g.kinds == nil || slices.Contains(g.kinds, s.Kind))
}

func (m *Module) follow(e ListUpdate) {
	if e.Kind == ListFailed {
		m.askFailed()
		return
	}
	if e.Kind != ListCached && m.asking {
		m.askAnswered()
	}
	var changed []*server
	if e.Kind != ListChanges {
		changed = append(changed, m.list.servers...)
		for _, s := range changed {
			s.State = Gone
		}
	}
	for _, n := range e.Entries {
		s := m.serverOf(n.ID)
		if n.State == Ready && n.StartedAt > s.StartedAt { // nothing learned of an older process holds
			s.suspect, s.strikes, s.unanswered, s.failing, s.imposedUntil = false, 0, 0, 0, m.now
			m.startCold(s, n.StartedAt)
		}
		if s.Server = n; m.inherited != nil {
			m.inherit(s)
		}
		if n.State != Ready {
			m.do(CloseIdle{Server: s.ID}) // those in use follow as they end
		}
		changed = append(changed, s)
	}
	m.relist(changed, part{max(0, e.Total), e.From})
}

// relist takes servers that a list has changed, and finds those that groups work with and who shares them.
func (m *Module) relist(changed []*server, p part) {
	m.enlist(changed, p)
	m.work()
	m.share()
	m.survey()
}

// sizeOf is how many servers are open to a group: of those that a part lacks, as many as of those it has.
func (m *Module) sizeOf(g *group) float64 {
	size := float64(len(g.list.servers))
	return math.Max(size, float64(m.total)*size/math.Max(1, float64(len(m.list.servers))))
}

// work finds the servers that each group works with: the first of its list, so many that each has its nodes.
func (m *Module) work() {
	for _, s := range m.homes {
		s.home = false
	}
	m.homes, m.sharers = m.homes[:0], 0
	each := reachOwn // how many nodes work with a server: of many, each sees too little of it to know it in time
	if m.looks {
		each = reachLook
	}
	for _, g := range m.groups {
		size := m.sizeOf(g)
		reach := math.Ceil(math.Max(reachLeast, each*size/float64(m.set.Nodes)))
		g.reach = math.Min(float64(len(g.list.servers)), reach)
		for i := range int(g.reach) {
			s := g.list.at(i)
			s.home, m.homes = true, append(m.homes, s)
		}
		m.sharers += float64(m.set.Nodes) * g.reach / math.Max(1, size)
	}
	m.sharers = math.Max(1, m.sharers)
}

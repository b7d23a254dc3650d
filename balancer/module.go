package balancer

// How a module is made and takes settings, and what its files share. Nothing of a request is decided here.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// New makes the module of a node that has just started.
func New(s Settings, seed int64) *Module {
	m := &Module{rng: uint64(seed)*2 + 1, budget: retryBurst, running: 1, tight: math.Inf(1), idleWait: idleMost,
		known: map[ServerID]*server{}, banned: map[ServerID]bool{}, lifted: map[ServerID]Time{},
		requests: map[RequestID]*request{}}
	m.adopt(s)
	m.sharers = float64(m.set.Nodes)
	return m
}

// adopt takes settings. Classes are made anew, with what was learned of those of the same name, as open
// requests keep those they have; groups and tenants go on.
func (m *Module) adopt(s Settings) {
	m.set, m.former, m.classes, m.order = s, m.classes, map[string]*class{}, nil
	m.set.Nodes = max(1, s.Nodes)
	m.looks = s.MayProbe && s.ReportVia == ReportProbe && 2*s.Prices.Probe <= probePoints
	if !s.HoldOffs {
		m.set.MaxHoldOff = 0
	}
	for _, g := range m.groups {
		g.top = 0
	}
	for _, c := range s.Classes {
		k := &class{relative: 1}
		if before := m.former[c.Name]; before != nil {
			*k = *before
		} else if before := m.former[c.Of]; before != nil && c.Of != "" { // a variant begins with what its class has learned
			*k = *before
		}
		m.classes[c.Name], m.order = k, append(m.order, k)
		k.Class, k.group = c, m.groupOf(c.OnlyZones, c.OnlyKinds)
		k.group.top = math.Max(k.group.top, c.Worth)
	}
	m.nameVariants()
	used := map[*group]bool{m.groupOf(nil, nil): true} // for classes that the settings lack
	for _, c := range m.order {
		used[c.group] = true
	}
	for _, c := range m.former {
		used[c.group] = true
	}
	for _, r := range m.requests {
		used[r.class.group] = true
	}
	m.groups = slices.DeleteFunc(m.groups, func(g *group) bool { return !used[g] })
	before := m.tenants
	m.tenants = map[string]*tenant{}
	for _, t := range s.Tenants {
		k := &tenant{}
		if before[t.Name] != nil {
			k = before[t.Name]
		}
		m.tenants[t.Name], k.perNode = k, t.Quota/float64(m.set.Nodes)
	}
}

// classOf knows every class: one that the settings lack is unsafe and of no worth.
func (m *Module) classOf(name string, former bool) *class {
	if c := m.former[name]; former && c != nil {
		return c
	}
	if m.classes[name] == nil {
		m.classes[name] = &class{relative: 1, group: m.groupOf(nil, nil)}
		m.order = append(m.order, m.classes[name])
	}
	return m.classes[name]
}

// groupOf finds the group of a placement. No rule (nil) differs from none open (empty).
func (m *Module) groupOf(zones, kinds []string) *group {
	same := func(a, b []string) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }
	for _, g := range m.groups {
		if same(g.zones, zones) && same(g.kinds, kinds) {
			return g
		}
	}
	g := &group{zones: zones, kinds: kinds}
	g.list.update(m.list.servers, g.open)
	m.groups = append(m.groups, g)
	return g
}

func (m *Module) serverOf(id ServerID) *server {
	if m.known[id] == nil {
		s := &server{since: m.now, quietUntil: m.now, dither: m.random(), order: mix(uint64(id)), banned: m.banned[id]}
		if at, was := m.lifted[id]; was { // it may have been out of this node's part when its ban ended, or since
			s.StartedAt = at
			m.startCold(s, at)
		}
		m.known[id] = s
	}
	return m.known[id]
}

// Ejected is how many listed servers get nothing now, or nothing but trials.
func (m *Module) Ejected() (n int) {
	for _, s := range m.suspects.servers {
		if s.suspect {
			n++
		}
	}
	for id := range m.banned {
		if s := m.known[id]; s != nil && !s.suspect {
			n++
		}
	}
	return n
}

func (m *Module) do(a Action) { m.out = append(m.out, a) }

// note logs a line about a server, at most one in 5 s, so that one that fails and recovers all the time fills no disk.
func (m *Module) note(s *server, line string) {
	if m.now >= s.quietUntil {
		s.quietUntil = m.now + 5*time.Second
		m.do(Log{fmt.Sprintf("server %d %s", s.ID, line)})
	}
}

// random gives a number in [0,1) (splitmix64).
func (m *Module) random() float64 {
	m.rng += 0x9e3779b97f4a7c15
	return float64(mix(m.rng)>>11) / (1 << 53)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.random()))
}

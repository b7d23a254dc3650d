package balancer

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// plainLists is what relist and share find, worked out anew over all servers: sorted, turned, filtered and walked node
// by node. Whoever has left keeps the nodes that it had last.
type plainLists struct {
	list    []*server
	lists   [][]*server // by group
	near    [][]*server
	reach   []float64
	sharers float64
	home    map[*server]bool
	with    map[*server][]int
	tells   bool
	seen    []*server
}

func (p *plainLists) find(m *Module) {
	var sorted []*server
	for _, s := range m.known {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
	start := ringStart(m.set.Self, len(sorted))
	p.list = append(append([]*server{}, sorted[start:]...), sorted[:start]...)
	p.lists, p.near, p.reach, p.sharers, p.home, p.tells = nil, nil, nil, 0, map[*server]bool{}, false
	each := reachOwn
	if m.looks {
		each = reachLook
	}
	for _, g := range m.groups {
		list := slices.DeleteFunc(slices.Clone(p.list), func(s *server) bool { return !g.open(s) })
		size := float64(len(list))
		reach := min(size, max(reachLeast, ceil(each*size/float64(m.set.Nodes))))
		for _, s := range list[:int(reach)] {
			p.home[s] = true
		}
		near := slices.DeleteFunc(slices.Clone(list), func(s *server) bool { return s.suspect || s.banned || s.State != Ready })
		p.sharers += float64(m.set.Nodes) * reach / max(1, size)
		p.lists, p.near, p.reach = append(p.lists, list), append(p.near, near[:min(len(near), int(reach))]), append(p.reach, reach)
	}
	p.sharers = max(1, p.sharers)
	for _, s := range sorted {
		if _, ok := p.with[s]; !ok {
			p.seen = append(p.seen, s)
		}
		p.with[s] = nil
	}
	if !m.set.MayMessage || m.looks || m.set.Nodes < 2 || len(sorted) == 0 || p.sharers > noteNodes {
		return
	}
	pairs := 0.0
	for i, g := range m.groups {
		for node := range m.set.Nodes {
			if node == m.set.Self {
				continue
			}
			for at, left := ringStart(node, len(sorted)), int(p.reach[i]); left > 0; at++ {
				s := sorted[at%len(sorted)]
				if !g.open(s) {
					continue
				}
				left--
				if w := p.with[s]; len(w) == 0 || w[len(w)-1] != node {
					p.with[s] = append(w, node)
					pairs++
				}
			}
		}
	}
	p.tells = m.set.Prices.Message*((2*noteBytes+1)*pairs/float64(len(sorted)))/256 <= notePoints
}

func ceil(f float64) float64 {
	if n := float64(int(f)); n < f {
		return n + 1
	}
	return f
}

// walked gives a ring's servers of some kind from its start on.
func walked(r ring, of func(*server) bool) (out []*server) {
	for i := range r.servers {
		if s := r.at(i); of(s) {
			out = append(out, s)
		}
	}
	return out
}

func (p *plainLists) check(m *Module, asks bool) error {
	every := func(*server) bool { return true }
	if got := walked(m.list, every); !slices.Equal(got, p.list) {
		return fmt.Errorf("%d servers, not %d, or in another order", len(got), len(p.list))
	}
	for i, g := range m.groups {
		if got := walked(g.list, every); !slices.Equal(got, p.lists[i]) || g.reach != p.reach[i] || !slices.Equal(g.near, p.near[i]) {
			return fmt.Errorf("group %d: %d servers, not %d; reach %v, not %v; %d near, not %d; or in another order", i,
				len(got), len(p.lists[i]), g.reach, p.reach[i], len(g.near), len(p.near[i]))
		}
	}
	if m.sharers != p.sharers || m.tells != p.tells {
		return fmt.Errorf("sharers %v, not %v; it tells: %v, not %v", m.sharers, p.sharers, m.tells, p.tells)
	}
	for s, want := range p.with {
		if s.home != p.home[s] {
			return fmt.Errorf("server %d: home %v, not %v", s.ID, s.home, p.home[s])
		}
		if !asks { // so that a server may leave before anybody has asked who shares it
			continue
		}
		if got := m.with(s); !slices.Equal(got, want) {
			return fmt.Errorf("server %d is shared with %v, not %v", s.ID, got, want)
		}
	}
	ejected := 0
	for _, s := range p.list {
		if s.suspect || s.banned {
			ejected++
		}
	}
	if n := m.Ejected(); n != ejected {
		return fmt.Errorf("%d are ejected, not %d", n, ejected)
	}
	for name, k := range map[string]struct {
		set ring
		of  func(*server) bool
	}{"suspects": {m.suspects, func(s *server) bool { return s.suspect }}, "silent": {m.silent, (*server).mute}} {
		k.set.turn(m.first)
		if got, want := walked(k.set, k.of), slices.DeleteFunc(slices.Clone(p.list), func(s *server) bool { return !k.of(s) }); !slices.Equal(got, want) {
			return fmt.Errorf("%d %s, not %d, or in another order", len(got), name, len(want))
		}
	}
	return nil
}

// drawSettings draws some where nodes share servers and some where they do not, with groups that overlap.
func drawSettings(r *rand.Rand) Settings {
	s := tellingSettings(0, 1+r.Intn(12))
	if r.Intn(3) == 0 {
		s.Nodes = 1 + r.Intn(200)
	}
	s.Self, s.MayMessage, s.Prices.Message = r.Intn(s.Nodes+1), r.Intn(4) > 0, r.Float64()*r.Float64()*0.05
	if r.Intn(8) == 0 {
		s.MayProbe, s.ReportVia = true, ReportProbe
	}
	for range r.Intn(4) {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint("c", r.Intn(5)), Worth: 1, Aim: time.Second, Deadline: time.Second,
			OnlyZones: [][]string{nil, {"z0"}, {"z1", "z0"}, {}}[r.Intn(4)], OnlyKinds: [][]string{nil, nil, {"k1"}}[r.Intn(3)]})
	}
	return s
}

func drawList(r *rand.Rand, now Time, servers int) ListUpdate {
	u := ListUpdate{Kind: ListChanges}
	n := 1 + r.Intn(3)
	if r.Intn(5) == 0 {
		u.Kind, n = []ListKind{ListFull, ListCached, ListChanges}[r.Intn(3)], r.Intn(servers)
	}
	for range n {
		e := Server{ID: ServerID(1 + r.Intn(servers)), Zone: fmt.Sprint("z", r.Intn(3)), Kind: fmt.Sprint("k", r.Intn(2))}
		if e.State = ServerState(r.Intn(3)); u.Kind != ListChanges || r.Intn(2) == 0 {
			e.State = Ready
		}
		if r.Intn(6) == 0 {
			e.StartedAt = now
		}
		u.Entries = append(u.Entries, e)
	}
	return u
}

// What is kept up change by change is what a whole walk would find, in the same order.
func TestListsAreThoseOfAWholeWalk(t *testing.T) {
	for seed := range int64(60) {
		r := rand.New(rand.NewSource(seed))
		m, servers := New(drawSettings(r), seed), 1+r.Intn(90)
		m.mean = 0.03
		plain := plainLists{with: map[*server][]int{}}
		m.Handle(time.Hour, drawList(r, time.Hour, servers))
		for step := range 150 {
			now, what := m.now+25*time.Millisecond, ""
			switch k := r.Intn(10); {
			case k < 4:
				e := drawList(r, now, servers)
				what = fmt.Sprintf("%+v", e)
				m.Handle(now, e)
			case k == 4:
				e := drawSettings(r)
				what = fmt.Sprintf("%+v", e)
				m.Handle(now, SettingsChanged{Settings: e})
			case k == 5:
				m.Handle(now, Maintenance{Server: ServerID(1 + r.Intn(servers)), On: r.Intn(2) == 0})
			case k == 6 && len(m.known) > 0:
				m.Handle(now+time.Second, TimerFired{})
			case k == 7: // for a while its list is a part, or claims to be; what it did then leaves no trace
				m.Handle(now, ListUpdate{Kind: ListChanges, Total: r.Intn(2000) - 5, From: r.Uint64()})
				for _, s := range m.list.servers {
					if n := len(m.with(s)); n > m.set.Nodes*len(m.groups) || m.sharers < 1 {
						t.Fatalf("seed %d, step %d: shared with %d, sharers %v", seed, step, n, m.sharers)
					}
				}
				m.Handle(now, ListUpdate{Kind: ListChanges})
			default: // also one that has left may be accused and counted, by attempts that still know it
				for _, s := range plain.seen {
					switch what = "attempts"; {
					case r.Intn(3) > 0:
					case r.Intn(2) == 0:
						m.accuse(s, "test")
					case r.Intn(2) == 0:
						s.suspect, s.unanswered = false, 0
					default:
						m.count(nil, &attempt{server: s})
					}
				}
			}
			m.survey() // which the round of checks does before it accuses
			plain.find(m)
			if err := plain.check(m, r.Intn(3) == 0); err != nil {
				t.Fatalf("seed %d, step %d, after %q: %v", seed, step, what, err)
			}
		}
	}
}

// A change asks of no other server who works with it, also where notes are nearly too dear to be sent.
func TestChangeCountsNoPairs(t *testing.T) {
	m := manyNodes(0, 430, 200)
	m.set.MayMessage = true
	pairs := float64(m.set.Nodes) * m.groups[0].reach
	m.set.Prices.Message = notePoints * 256 * 200 / ((2*noteBytes + 1) * (pairs - 100))
	m.Handle(m.now, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: 7, Zone: "z", State: Draining}}})
	for _, s := range m.list.servers {
		if m.shares && s.sharedAt == m.changes {
			t.Fatalf("server %d has been looked at", s.ID)
		}
	}
	if !m.shares {
		t.Error("the node shares no servers")
	}
}

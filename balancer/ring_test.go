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
	list    []*endpoint
	lists   [][]*endpoint // by group
	near    [][]*endpoint
	reach   []float64
	sharers float64
	home    map[*endpoint]bool
	with    map[*endpoint][]int
	tells   bool
	seen    []*endpoint
}

func (p *plainLists) find(m *Balancer) {
	var sorted []*endpoint
	for _, s := range m.endpoints {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b *endpoint) int { return cmp.Compare(a.ringPosition, b.ringPosition) })
	start := startIndex(m.settings.ProxyIndex, len(sorted))
	p.list = append(append([]*endpoint{}, sorted[start:]...), sorted[:start]...)
	p.lists, p.near, p.reach, p.sharers, p.home, p.tells = nil, nil, nil, 0, map[*endpoint]bool{}, false
	each := proxiesPerLearnedEndpoint
	if m.queriesLoad {
		each = proxiesPerQueriedEndpoint
	}
	for _, g := range m.placements {
		list := slices.DeleteFunc(slices.Clone(p.list), func(s *endpoint) bool { return !g.allows(s) })
		size := float64(len(list))
		reach := min(size, max(minSubsetSize, ceil(each*size/float64(m.settings.Proxies))))
		for _, s := range list[:int(reach)] {
			p.home[s] = true
		}
		near := slices.DeleteFunc(slices.Clone(list), func(s *endpoint) bool { return s.ejected || s.inMaintenance || s.State != Ready })
		p.sharers += float64(m.settings.Proxies) * reach / max(1, size)
		p.lists, p.near, p.reach = append(p.lists, list), append(p.near, near[:min(len(near), int(reach))]), append(p.reach, reach)
	}
	p.sharers = max(1, p.sharers)
	for _, s := range sorted {
		if _, ok := p.with[s]; !ok {
			p.seen = append(p.seen, s)
		}
		p.with[s] = nil
	}
	if !m.settings.AllowGossip || m.queriesLoad || m.settings.Proxies < 2 || len(sorted) == 0 || p.sharers > maxGossipPeers {
		return
	}
	pairs := 0.0
	for i, g := range m.placements {
		for node := range m.settings.Proxies {
			if node == m.settings.ProxyIndex {
				continue
			}
			for at, left := startIndex(node, len(sorted)), int(p.reach[i]); left > 0; at++ {
				s := sorted[at%len(sorted)]
				if !g.allows(s) {
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
	p.tells = m.settings.Prices.Message*((2*loadMessageSize+1)*pairs/float64(len(sorted)))/256 <= maxGossipPrice
}

func ceil(f float64) float64 {
	if n := float64(int(f)); n < f {
		return n + 1
	}
	return f
}

// walked gives a ring's servers of some kind from its start on.
func walked(r ring, of func(*endpoint) bool) (out []*endpoint) {
	for i := range r.endpoints {
		if s := r.at(i); of(s) {
			out = append(out, s)
		}
	}
	return out
}

func (p *plainLists) check(m *Balancer, asks bool) error {
	every := func(*endpoint) bool { return true }
	if got := walked(m.ring, every); !slices.Equal(got, p.list) {
		return fmt.Errorf("%d servers, not %d, or in another order", len(got), len(p.list))
	}
	for i, g := range m.placements {
		if got := walked(g.ring, every); !slices.Equal(got, p.lists[i]) || g.subsetSize != p.reach[i] || !slices.Equal(g.candidates, p.near[i]) {
			return fmt.Errorf("group %d: %d servers, not %d; reach %v, not %v; %d near, not %d; or in another order", i,
				len(got), len(p.lists[i]), g.subsetSize, p.reach[i], len(g.candidates), len(p.near[i]))
		}
	}
	if m.proxiesPerEndpoint != p.sharers || m.gossips != p.tells {
		return fmt.Errorf("sharers %v, not %v; it tells: %v, not %v", m.proxiesPerEndpoint, p.sharers, m.gossips, p.tells)
	}
	for s, want := range p.with {
		if s.inBaseSubset != p.home[s] {
			return fmt.Errorf("server %d: home %v, not %v", s.ID, s.inBaseSubset, p.home[s])
		}
		if !asks { // so that a server may leave before anybody has asked who shares it
			continue
		}
		if got := m.peersOf(s); !slices.Equal(got, want) {
			return fmt.Errorf("server %d is shared with %v, not %v", s.ID, got, want)
		}
	}
	ejected := 0
	for _, s := range p.list {
		if s.ejected || s.inMaintenance {
			ejected++
		}
	}
	if n := m.Ejected(); n != ejected {
		return fmt.Errorf("%d are ejected, not %d", n, ejected)
	}
	for name, k := range map[string]struct {
		set ring
		of  func(*endpoint) bool
	}{"suspects": {m.ejected, func(s *endpoint) bool { return s.ejected }}, "silent": {m.unresponsive, (*endpoint).isUnresponsive}} {
		k.set.rotateTo(m.origin)
		if got, want := walked(k.set, k.of), slices.DeleteFunc(slices.Clone(p.list), func(s *endpoint) bool { return !k.of(s) }); !slices.Equal(got, want) {
			return fmt.Errorf("%d %s, not %d, or in another order", len(got), name, len(want))
		}
	}
	return nil
}

// drawSettings draws some where nodes share servers and some where they do not, with groups that overlap.
func drawSettings(r *rand.Rand) Settings {
	s := tellingSettings(0, 1+r.Intn(12))
	if r.Intn(3) == 0 {
		s.Proxies = 1 + r.Intn(200)
	}
	s.ProxyIndex, s.AllowGossip, s.Prices.Message = r.Intn(s.Proxies+1), r.Intn(4) > 0, r.Float64()*r.Float64()*0.05
	if r.Intn(8) == 0 {
		s.AllowLoadQueries, s.LoadReports = true, LoadReportsByQuery
	}
	for range r.Intn(4) {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint("c", r.Intn(5)), PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second,
			AllowedZones: [][]string{nil, {"z0"}, {"z1", "z0"}, {}}[r.Intn(4)], AllowedMachineTypes: [][]string{nil, nil, {"k1"}}[r.Intn(3)]})
	}
	return s
}

func drawList(r *rand.Rand, now Time, servers int) EndpointsUpdated {
	u := EndpointsUpdated{Kind: UpdateIncremental}
	n := 1 + r.Intn(3)
	if r.Intn(5) == 0 {
		u.Kind, n = []UpdateKind{UpdateComplete, UpdateCached, UpdateIncremental}[r.Intn(3)], r.Intn(servers)
	}
	for range n {
		e := Endpoint{ID: EndpointID(1 + r.Intn(servers)), Zone: fmt.Sprint("z", r.Intn(3)), MachineType: fmt.Sprint("k", r.Intn(2))}
		if e.State = EndpointState(r.Intn(3)); u.Kind != UpdateIncremental || r.Intn(2) == 0 {
			e.State = Ready
		}
		if r.Intn(6) == 0 {
			e.StartedAt = now
		}
		u.Endpoints = append(u.Endpoints, e)
	}
	return u
}

// What is kept up change by change is what a whole walk would find, in the same order.
func TestListsAreThoseOfAWholeWalk(t *testing.T) {
	for seed := range int64(60) {
		r := rand.New(rand.NewSource(seed))
		m, servers := New(drawSettings(r), seed), 1+r.Intn(90)
		m.meanLatency = 0.03
		plain := plainLists{with: map[*endpoint][]int{}}
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
				m.Handle(now, Maintenance{Endpoint: EndpointID(1 + r.Intn(servers)), On: r.Intn(2) == 0})
			case k == 6 && len(m.endpoints) > 0:
				m.Handle(now+time.Second, TimerFired{})
			case k == 7: // for a while its list is a part, or claims to be; what it did then leaves no trace
				m.Handle(now, EndpointsUpdated{Kind: UpdateIncremental, TotalEndpoints: r.Intn(2000) - 5, SubsetStart: r.Uint64()})
				for _, s := range m.ring.endpoints {
					if n := len(m.peersOf(s)); n > m.settings.Proxies*len(m.placements) || m.proxiesPerEndpoint < 1 {
						t.Fatalf("seed %d, step %d: shared with %d, sharers %v", seed, step, n, m.proxiesPerEndpoint)
					}
				}
				m.Handle(now, EndpointsUpdated{Kind: UpdateIncremental})
			default: // also one that has left may be accused and counted, by attempts that still know it
				for _, s := range plain.seen {
					switch what = "attempts"; {
					case r.Intn(3) > 0:
					case r.Intn(2) == 0:
						m.eject(s, "test")
					case r.Intn(2) == 0:
						s.ejected, s.unansweredSends = false, 0
					default:
						m.addInFlight(&attempt{endpoint: s})
					}
				}
			}
			m.updateCandidates() // which the round of checks does before it accuses
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
	m.settings.AllowGossip = true
	pairs := float64(m.settings.Proxies) * m.placements[0].subsetSize
	m.settings.Prices.Message = maxGossipPrice * 256 * 200 / ((2*loadMessageSize + 1) * (pairs - 100))
	m.Handle(m.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 7, Zone: "z", State: Draining}}})
	for _, s := range m.ring.endpoints {
		if m.tracksPeers && s.peersVersion == m.ringVersion {
			t.Fatalf("server %d has been looked at", s.ID)
		}
	}
	if !m.tracksPeers {
		t.Error("the node shares no servers")
	}
}

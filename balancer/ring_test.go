package balancer

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// expectedRings is the expected result of updateRings, selectSubsets and updatePeers. It is computed from all
// endpoints: sorted, rotated, filtered, and walked proxy by proxy. An endpoint that has left the list keeps
// its last peers.
type expectedRings struct {
	all                []*endpoint
	byPlacement        [][]*endpoint
	candidates         [][]*endpoint
	subsetSizes        []float64
	proxiesPerEndpoint float64
	inBaseSubset       map[*endpoint]bool
	peers              map[*endpoint][]int
	gossips            bool
	everListed         []*endpoint
}

func (p *expectedRings) compute(proxy *Balancer) {
	var sorted []*endpoint
	for _, s := range proxy.endpoints {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b *endpoint) int { return cmp.Compare(a.ringPosition, b.ringPosition) })
	start := startIndex(proxy.settings.ProxyIndex, len(sorted))
	p.all = append(append([]*endpoint{}, sorted[start:]...), sorted[:start]...)
	p.byPlacement, p.candidates, p.subsetSizes, p.proxiesPerEndpoint, p.inBaseSubset, p.gossips = nil, nil, nil, 0, map[*endpoint]bool{}, false
	perEndpoint := proxiesPerLearnedEndpoint
	if proxy.queriesLoad {
		perEndpoint = proxiesPerQueriedEndpoint
	}
	for _, g := range proxy.placements {
		allowed := slices.DeleteFunc(slices.Clone(p.all), func(s *endpoint) bool { return !g.allows(s) })
		size := float64(len(allowed))
		subsetSize := min(size, max(minSubsetSize, ceil(perEndpoint*size/float64(proxy.settings.Proxies))))
		for _, s := range allowed[:int(subsetSize)] {
			p.inBaseSubset[s] = true
		}
		candidates := slices.DeleteFunc(slices.Clone(allowed), func(s *endpoint) bool { return s.ejected || s.inMaintenance || s.State != Ready })
		p.proxiesPerEndpoint += float64(proxy.settings.Proxies) * subsetSize / max(1, size)
		p.byPlacement, p.candidates, p.subsetSizes = append(p.byPlacement, allowed), append(p.candidates, candidates[:min(len(candidates), int(subsetSize))]), append(p.subsetSizes, subsetSize)
	}
	p.proxiesPerEndpoint = max(1, p.proxiesPerEndpoint)
	for _, s := range sorted {
		if _, ok := p.peers[s]; !ok {
			p.everListed = append(p.everListed, s)
		}
		p.peers[s] = nil
	}
	if !proxy.settings.AllowGossip || proxy.queriesLoad || proxy.settings.Proxies < 2 || len(sorted) == 0 || p.proxiesPerEndpoint > maxGossipPeers {
		return
	}
	pairs := 0.0
	for i, g := range proxy.placements {
		for proxyIndex := range proxy.settings.Proxies {
			if proxyIndex == proxy.settings.ProxyIndex {
				continue
			}
			for at, remaining := startIndex(proxyIndex, len(sorted)), int(p.subsetSizes[i]); remaining > 0; at++ {
				s := sorted[at%len(sorted)]
				if !g.allows(s) {
					continue
				}
				remaining--
				if w := p.peers[s]; len(w) == 0 || w[len(w)-1] != proxyIndex {
					p.peers[s] = append(w, proxyIndex)
					pairs++
				}
			}
		}
	}
	p.gossips = proxy.settings.Prices.Message*((2*loadMessageSize+1)*pairs/float64(len(sorted)))/256 <= maxGossipPrice
}

func ceil(f float64) float64 {
	if n := float64(int(f)); n < f {
		return n + 1
	}
	return f
}

// endpointsFromStart returns the endpoints of a ring that satisfy a condition, from its start on.
func endpointsFromStart(r ring, of func(*endpoint) bool) (out []*endpoint) {
	for i := range r.endpoints {
		if s := r.at(i); of(s) {
			out = append(out, s)
		}
	}
	return out
}

func (p *expectedRings) check(proxy *Balancer, checkPeers bool) error {
	every := func(*endpoint) bool { return true }
	if got := endpointsFromStart(proxy.ring, every); !slices.Equal(got, p.all) {
		return fmt.Errorf("%d endpoints, want %d, or in another order", len(got), len(p.all))
	}
	for i, g := range proxy.placements {
		if got := endpointsFromStart(g.ring, every); !slices.Equal(got, p.byPlacement[i]) || g.subsetSize != p.subsetSizes[i] || !slices.Equal(g.candidates, p.candidates[i]) {
			return fmt.Errorf("placement %d: %d endpoints, want %d; subset size %v, want %v; %d candidates, want %d; or in another order", i,
				len(got), len(p.byPlacement[i]), g.subsetSize, p.subsetSizes[i], len(g.candidates), len(p.candidates[i]))
		}
	}
	if proxy.proxiesPerEndpoint != p.proxiesPerEndpoint || proxy.gossips != p.gossips {
		return fmt.Errorf("proxies per endpoint %v, want %v; gossips: %v, want %v", proxy.proxiesPerEndpoint, p.proxiesPerEndpoint, proxy.gossips, p.gossips)
	}
	for s, want := range p.peers {
		if s.inBaseSubset != p.inBaseSubset[s] {
			return fmt.Errorf("endpoint %d: in base subset %v, want %v", s.ID, s.inBaseSubset, p.inBaseSubset[s])
		}
		if !checkPeers { // so that endpoints can leave before their peers have been determined
			continue
		}
		if got := proxy.peersOf(s); !slices.Equal(got, want) {
			return fmt.Errorf("endpoint %d is shared with %v, want %v", s.ID, got, want)
		}
	}
	ejected := 0
	for _, s := range p.all {
		if s.ejected || s.inMaintenance {
			ejected++
		}
	}
	if n := proxy.Ejected(); n != ejected {
		return fmt.Errorf("%d endpoints count as ejected, want %d", n, ejected)
	}
	for name, kind := range map[string]struct {
		set ring
		of  func(*endpoint) bool
	}{"ejected endpoints": {proxy.ejected, func(s *endpoint) bool { return s.ejected }}, "unresponsive endpoints": {proxy.unresponsive, (*endpoint).isUnresponsive}} {
		kind.set.rotateTo(proxy.origin)
		if got, want := endpointsFromStart(kind.set, kind.of), slices.DeleteFunc(slices.Clone(p.all), func(s *endpoint) bool { return !kind.of(s) }); !slices.Equal(got, want) {
			return fmt.Errorf("%d %s, want %d, or in another order", len(got), name, len(want))
		}
	}
	return nil
}

// drawSettings draws settings in which proxies may or may not share endpoints, with overlapping placements.
func drawSettings(r *rand.Rand) Settings {
	s := gossipSettings(0, 1+r.Intn(12))
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

func drawList(r *rand.Rand, now Time, endpoints int) EndpointsUpdated {
	u := EndpointsUpdated{Kind: UpdateIncremental}
	n := 1 + r.Intn(3)
	if r.Intn(5) == 0 {
		u.Kind, n = []UpdateKind{UpdateComplete, UpdateCached, UpdateIncremental}[r.Intn(3)], r.Intn(endpoints)
	}
	for range n {
		e := Endpoint{ID: EndpointID(1 + r.Intn(endpoints)), Zone: fmt.Sprint("z", r.Intn(3)), MachineType: fmt.Sprint("k", r.Intn(2))}
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

// The rings and subsets that are updated change by change must equal those that are computed from all
// endpoints, in the same order.
func TestIncrementalRingsEqualRecomputedOnes(t *testing.T) {
	for seed := range int64(60) {
		r := rand.New(rand.NewSource(seed))
		proxy, endpoints := New(drawSettings(r), seed), 1+r.Intn(90)
		proxy.meanLatency = 0.03
		expected := expectedRings{peers: map[*endpoint][]int{}}
		proxy.Handle(time.Hour, drawList(r, time.Hour, endpoints))
		for step := range 150 {
			now, change := proxy.now+25*time.Millisecond, ""
			switch action := r.Intn(10); {
			case action < 4:
				e := drawList(r, now, endpoints)
				change = fmt.Sprintf("%+v", e)
				proxy.Handle(now, e)
			case action == 4:
				e := drawSettings(r)
				change = fmt.Sprintf("%+v", e)
				proxy.Handle(now, SettingsChanged{Settings: e})
			case action == 5:
				proxy.Handle(now, Maintenance{Endpoint: EndpointID(1 + r.Intn(endpoints)), On: r.Intn(2) == 0})
			case action == 6 && len(proxy.endpoints) > 0:
				proxy.Handle(now+time.Second, TimerFired{})
			case action == 7: // the list is, or claims to be, a subset for a while; this must leave no trace
				proxy.Handle(now, EndpointsUpdated{Kind: UpdateIncremental, TotalEndpoints: r.Intn(2000) - 5, SubsetStart: r.Uint64()})
				for _, s := range proxy.ring.endpoints {
					if n := len(proxy.peersOf(s)); n > proxy.settings.Proxies*len(proxy.placements) || proxy.proxiesPerEndpoint < 1 {
						t.Fatalf("seed %d, step %d: shared with %d proxies, proxies per endpoint %v", seed, step, n, proxy.proxiesPerEndpoint)
					}
				}
				proxy.Handle(now, EndpointsUpdated{Kind: UpdateIncremental})
			default: // attempts in flight can eject and count endpoints that have left the list
				for _, s := range expected.everListed {
					switch change = "attempts"; {
					case r.Intn(3) > 0:
					case r.Intn(2) == 0:
						proxy.eject(s, "test")
					case r.Intn(2) == 0:
						s.ejected, s.unansweredSends = false, 0
					default:
						proxy.addInFlight(&attempt{endpoint: s})
					}
				}
			}
			proxy.updateCandidates() // the round of checks does so before it ejects endpoints
			expected.compute(proxy)
			if err := expected.check(proxy, r.Intn(3) == 0); err != nil {
				t.Fatalf("seed %d, step %d, after %q: %v", seed, step, change, err)
			}
		}
	}
}

// A change of one endpoint must not determine the peers of all others, also where messages are nearly too
// expensive.
func TestListChangeDeterminesNoPeers(t *testing.T) {
	proxy := newProxyOfMany(0, 430, 200)
	proxy.settings.AllowGossip = true
	pairs := float64(proxy.settings.Proxies) * proxy.placements[0].subsetSize
	proxy.settings.Prices.Message = maxGossipPrice * 256 * 200 / ((2*loadMessageSize + 1) * (pairs - 100))
	proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 7, Zone: "z", State: Draining}}})
	for _, s := range proxy.ring.endpoints {
		if proxy.tracksPeers && s.peersVersion == proxy.ringVersion {
			t.Fatalf("the peers of endpoint %d have been determined", s.ID)
		}
	}
	if !proxy.tracksPeers {
		t.Error("the proxy does not track peers")
	}
}

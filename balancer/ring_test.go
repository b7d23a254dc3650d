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
// endpoints, separately for each proxy. An endpoint that has left the list keeps its last peers.
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

func (expected *expectedRings) compute(proxy *Balancer) {
	var sorted []*endpoint
	for _, ep := range proxy.endpoints {
		sorted = append(sorted, ep)
	}
	slices.SortFunc(sorted, func(a, b *endpoint) int { return cmp.Compare(a.ringPosition, b.ringPosition) })
	start := startIndex(proxy.settings.ProxyIndex, len(sorted))
	expected.all = append(append([]*endpoint{}, sorted[start:]...), sorted[:start]...)
	expected.byPlacement, expected.candidates, expected.subsetSizes, expected.proxiesPerEndpoint, expected.inBaseSubset, expected.gossips = nil, nil, nil, 0, map[*endpoint]bool{}, false
	perEndpoint := proxiesPerLearnedEndpoint
	if proxy.queriesLoad {
		perEndpoint = proxiesPerQueriedEndpoint
	}
	for _, p := range proxy.placements {
		allowed := slices.DeleteFunc(slices.Clone(expected.all), func(ep *endpoint) bool { return !p.allows(ep) })
		size := float64(len(allowed))
		subsetSize := min(size, max(minSubsetSize, ceil(perEndpoint*size/float64(proxy.settings.Proxies))))
		for _, ep := range allowed[:int(subsetSize)] {
			expected.inBaseSubset[ep] = true
		}
		candidates := slices.DeleteFunc(slices.Clone(allowed), func(ep *endpoint) bool { return ep.ejected || ep.inMaintenance || ep.State != Ready })
		expected.proxiesPerEndpoint += float64(proxy.settings.Proxies) * subsetSize / max(1, size)
		expected.byPlacement, expected.candidates, expected.subsetSizes = append(expected.byPlacement, allowed), append(expected.candidates, candidates[:min(len(candidates), int(subsetSize))]), append(expected.subsetSizes, subsetSize)
	}
	expected.proxiesPerEndpoint = max(1, expected.proxiesPerEndpoint)
	for _, ep := range sorted {
		if _, ok := expected.peers[ep]; !ok {
			expected.everListed = append(expected.everListed, ep)
		}
		expected.peers[ep] = nil
	}
	if !proxy.settings.AllowGossip || proxy.queriesLoad || proxy.settings.Proxies < 2 || len(sorted) == 0 || expected.proxiesPerEndpoint > maxGossipPeers {
		return
	}
	pairs := 0.0
	for i, p := range proxy.placements {
		for proxyIndex := range proxy.settings.Proxies {
			if proxyIndex == proxy.settings.ProxyIndex {
				continue
			}
			for at, remaining := startIndex(proxyIndex, len(sorted)), int(expected.subsetSizes[i]); remaining > 0; at++ {
				ep := sorted[at%len(sorted)]
				if !p.allows(ep) {
					continue
				}
				remaining--
				if peers := expected.peers[ep]; len(peers) == 0 || peers[len(peers)-1] != proxyIndex {
					expected.peers[ep] = append(peers, proxyIndex)
					pairs++
				}
			}
		}
	}
	expected.gossips = proxy.settings.Prices.Message*((2*loadMessageSize+1)*pairs/float64(len(sorted)))/256 <= maxGossipPrice
}

func ceil(f float64) float64 {
	if n := float64(int(f)); n < f {
		return n + 1
	}
	return f
}

// endpointsFromStart returns the endpoints of a ring that satisfy a condition, from its start on.
func endpointsFromStart(r ring, condition func(*endpoint) bool) (endpoints []*endpoint) {
	for i := range r.endpoints {
		if ep := r.at(i); condition(ep) {
			endpoints = append(endpoints, ep)
		}
	}
	return endpoints
}

func (expected *expectedRings) check(proxy *Balancer, checkPeers bool) error {
	always := func(*endpoint) bool { return true }
	if got := endpointsFromStart(proxy.ring, always); !slices.Equal(got, expected.all) {
		return fmt.Errorf("%d endpoints, want %d, or in another order", len(got), len(expected.all))
	}
	for i, p := range proxy.placements {
		if got := endpointsFromStart(p.ring, always); !slices.Equal(got, expected.byPlacement[i]) || p.subsetSize != expected.subsetSizes[i] || !slices.Equal(p.candidates, expected.candidates[i]) {
			return fmt.Errorf("placement %d: %d endpoints, want %d; subset size %v, want %v; %d candidates, want %d; or in another order", i,
				len(got), len(expected.byPlacement[i]), p.subsetSize, expected.subsetSizes[i], len(p.candidates), len(expected.candidates[i]))
		}
	}
	if proxy.proxiesPerEndpoint != expected.proxiesPerEndpoint || proxy.gossips != expected.gossips {
		return fmt.Errorf("proxies per endpoint %v, want %v; gossips: %v, want %v", proxy.proxiesPerEndpoint, expected.proxiesPerEndpoint, proxy.gossips, expected.gossips)
	}
	for ep, want := range expected.peers {
		if ep.inBaseSubset != expected.inBaseSubset[ep] {
			return fmt.Errorf("endpoint %d: in base subset %v, want %v", ep.ID, ep.inBaseSubset, expected.inBaseSubset[ep])
		}
		if !checkPeers { // so that some endpoints leave before their peers have been determined
			continue
		}
		if got := proxy.peersOf(ep); !slices.Equal(got, want) {
			return fmt.Errorf("endpoint %d is shared with %v, want %v", ep.ID, got, want)
		}
	}
	ejected := 0
	for _, ep := range expected.all {
		if ep.ejected || ep.inMaintenance {
			ejected++
		}
	}
	if n := proxy.Unavailable(); n != ejected {
		return fmt.Errorf("%d endpoints count as ejected, want %d", n, ejected)
	}
	for name, kind := range map[string]struct {
		set       ring
		condition func(*endpoint) bool
	}{"ejected endpoints": {proxy.ejected, func(ep *endpoint) bool { return ep.ejected }}, "unresponsive endpoints": {proxy.unresponsive, (*endpoint).isUnresponsive}} {
		kind.set.rotateTo(proxy.origin)
		if got, want := endpointsFromStart(kind.set, kind.condition), slices.DeleteFunc(slices.Clone(expected.all), func(ep *endpoint) bool { return !kind.condition(ep) }); !slices.Equal(got, want) {
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
	update := EndpointsUpdated{Kind: UpdateIncremental}
	n := 1 + r.Intn(3)
	if r.Intn(5) == 0 {
		update.Kind, n = []UpdateKind{UpdateComplete, UpdateCached, UpdateIncremental}[r.Intn(3)], r.Intn(endpoints)
	}
	for range n {
		e := Endpoint{ID: EndpointID(1 + r.Intn(endpoints)), Zone: fmt.Sprint("z", r.Intn(3)), MachineType: fmt.Sprint("k", r.Intn(2))}
		if e.State = EndpointState(r.Intn(3)); update.Kind != UpdateIncremental || r.Intn(2) == 0 {
			e.State = Ready
		}
		if r.Intn(6) == 0 {
			e.StartedAt = now
		}
		update.Endpoints = append(update.Endpoints, e)
	}
	return update
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
			case action == 7: // the list counts as a subset for a while; this must have no later effect
				proxy.Handle(now, EndpointsUpdated{Kind: UpdateIncremental, TotalEndpoints: r.Intn(2000) - 5, SubsetStart: r.Uint64()})
				for _, ep := range proxy.ring.endpoints {
					if n := len(proxy.peersOf(ep)); n > proxy.settings.Proxies*len(proxy.placements) || proxy.proxiesPerEndpoint < 1 {
						t.Fatalf("seed %d, step %d: shared with %d proxies, proxies per endpoint %v", seed, step, n, proxy.proxiesPerEndpoint)
					}
				}
				proxy.Handle(now, EndpointsUpdated{Kind: UpdateIncremental})
			default: // attempts in flight can eject and count endpoints that have left the list
				for _, ep := range expected.everListed {
					switch change = "attempts"; {
					case r.Intn(3) > 0:
					case r.Intn(2) == 0:
						proxy.eject(ep, "test")
					case r.Intn(2) == 0:
						ep.ejected, ep.unansweredSends = false, 0
					default:
						proxy.addInFlight(&attempt{endpoint: ep})
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

// A change of one endpoint must not lead to the computation of the peers of all others, also where messages
// are nearly too expensive.
func TestListChangeDoesNotComputePeersOfOtherEndpoints(t *testing.T) {
	proxy := newProxyOfMany(0, 430, 200)
	proxy.settings.AllowGossip = true
	pairs := float64(proxy.settings.Proxies) * proxy.placements[0].subsetSize
	proxy.settings.Prices.Message = maxGossipPrice * 256 * 200 / ((2*loadMessageSize + 1) * (pairs - 100))
	proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 7, Zone: "z", State: Draining}}})
	for _, ep := range proxy.ring.endpoints {
		if proxy.tracksPeers && ep.peersVersion == proxy.ringVersion {
			t.Fatalf("the peers of endpoint %d have been determined", ep.ID)
		}
	}
	if !proxy.tracksPeers {
		t.Error("the proxy does not track peers")
	}
}

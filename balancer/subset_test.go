package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// newSubsetFleet returns proxies of which each knows a subset, and all endpoints in ring order. A subset
// starts at the proxy's start position and has the given multiple of the endpoints that the proxy uses. The
// endpoints are in three zones.
func newSubsetFleet(proxies, endpoints, subsetFactor int, classes []Class) (fleet []*Balancer, sorted []*endpoint) {
	for id := range endpoints {
		sorted = append(sorted, &endpoint{Endpoint: Endpoint{ID: EndpointID(id + 1), Zone: fmt.Sprint("z", id%3)}, ringPosition: ringPosition(EndpointID(id + 1))})
	}
	slices.SortFunc(sorted, func(a, b *endpoint) int { return cmp.Compare(a.ringPosition, b.ringPosition) })
	complete := ring{endpoints: sorted}
	for proxyIndex := range proxies {
		settings := gossipSettings(proxyIndex, proxies)
		settings.Classes = append(settings.Classes, classes...)
		proxy, update := New(settings, int64(proxyIndex)), EndpointsUpdated{Kind: UpdateComplete, TotalEndpoints: endpoints, SubsetStart: startPosition(proxyIndex)}
		complete.rotateTo(update.SubsetStart)
		for i := range min(endpoints, subsetFactor*max(5, 6*endpoints/proxies+1)) {
			update.Endpoints = append(update.Endpoints, complete.at(i).Endpoint)
		}
		proxy.Handle(time.Hour, update)
		fleet = append(fleet, proxy)
	}
	return fleet, sorted
}

// Proxies that each know a subset use as many endpoints as if they knew all, namely the first of their
// subset. Each endpoint is used by some proxy. At the endpoints of its subset that it does not use, a proxy
// knows exactly which other proxies use them. At the endpoints that it uses, it knows about as many other
// proxies as there are.
func TestProxiesWithSubsetsCoverTheFleet(t *testing.T) {
	for _, size := range []struct{ proxies, endpoints, subsetFactor int }{{40, 1000, 4}, {300, 200, 3}, {100, 100, 2}, {100, 97, 100}, {30, 2000, 1}} {
		fleet, sorted := newSubsetFleet(size.proxies, size.endpoints, size.subsetFactor, nil)
		subsetSize := max(5, (6*size.endpoints+size.proxies-1)/size.proxies)
		users, complete := map[EndpointID][]int{}, ring{endpoints: sorted}
		for proxyIndex := range fleet {
			complete.rotateTo(startPosition(proxyIndex))
			for i := range subsetSize {
				users[complete.at(i).ID] = append(users[complete.at(i).ID], proxyIndex)
			}
		}
		for _, ep := range sorted {
			if n := len(users[ep.ID]); n == 0 {
				t.Errorf("%+v: no proxy uses endpoint %d", size, ep.ID)
			}
		}
		knownPeers, wantKnownPeers := 0, 0
		for proxyIndex, proxy := range fleet {
			p := proxy.placements[0]
			if int(p.subsetSize) != subsetSize || len(p.candidates) != subsetSize || proxy.proxiesPerEndpoint != float64(size.proxies*subsetSize)/float64(size.endpoints) {
				t.Fatalf("%+v: proxy %d has a subset of %v endpoints, want %d, and estimates %v proxies per endpoint", size, proxyIndex, p.subsetSize, subsetSize, proxy.proxiesPerEndpoint)
			}
			for i := range p.ring.endpoints {
				ep := p.ring.at(i)
				others := slices.DeleteFunc(slices.Clone(users[ep.ID]), func(other int) bool { return other == proxyIndex })
				if slices.Contains(users[ep.ID], proxyIndex) != ep.inBaseSubset || ep.inBaseSubset != (i < subsetSize) {
					t.Errorf("%+v: proxy %d, endpoint %d: in base subset: %v", size, proxyIndex, i, ep.inBaseSubset)
				}
				if got := proxy.peersOf(ep); i >= subsetSize && !slices.Equal(got, others) {
					t.Errorf("%+v: proxy %d shares its endpoint %d with %v, want %v", size, proxyIndex, i, got, others)
				}
				if i < subsetSize {
					knownPeers, wantKnownPeers = knownPeers+len(proxy.peersOf(ep)), wantKnownPeers+len(others)
				}
			}
		}
		if ratio := float64(knownPeers) / float64(wantKnownPeers); ratio < 0.8 || ratio > 1.25 {
			t.Errorf("%+v: %d peers are known at the endpoints of base subsets, want about %d", size, knownPeers, wantKnownPeers)
		}
	}
}

// The size of a placement is estimated from the endpoints of the subset that it allows. The estimated number
// of proxies per endpoint, which slow starts depend on, is about that of a proxy which knows the complete
// list.
func TestPlacementSizeIsScaledFromTheSubset(t *testing.T) {
	zoneClasses := []Class{{Name: "here", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, AllowedZones: []string{"z1"}}}
	fleet, _ := newSubsetFleet(60, 1200, 4, zoneClasses)
	completeFleet, _ := newSubsetFleet(60, 1200, 1000, zoneClasses)
	for proxyIndex, proxy := range fleet {
		// The subset has about 40 of 400 endpoints, as ring positions are random.
		if p := proxy.placements[1]; p.subsetSize < 25 || p.subsetSize > 55 || proxy.placementSize(p) < 250 || proxy.placementSize(p) > 550 {
			t.Errorf("proxy %d: subset of %v endpoints, of %v allowed", proxyIndex, p.subsetSize, proxy.placementSize(p))
		}
		if proxy.proxiesPerEndpoint < 0.95*completeFleet[proxyIndex].proxiesPerEndpoint || proxy.proxiesPerEndpoint > 1.05*completeFleet[proxyIndex].proxiesPerEndpoint {
			t.Errorf("proxy %d estimates %.1f proxies per endpoint, want about %.1f", proxyIndex, proxy.proxiesPerEndpoint, completeFleet[proxyIndex].proxiesPerEndpoint)
		}
	}
}

// When all endpoints that a proxy uses are ejected, other endpoints of its subset replace them. When the
// entire subset has been ejected, a new endpoint gets the attempts.
func TestOtherEndpointsOfTheSubsetReplaceEjectedOnes(t *testing.T) {
	fleet, _ := newSubsetFleet(40, 1000, 4, nil)
	proxy := fleet[7]
	p := proxy.placements[0]
	for range 5 {
		for _, ep := range p.candidates {
			proxy.eject(ep, "test")
		}
		before := slices.Clone(p.candidates)
		if proxy.updateCandidates(); len(p.candidates) > 0 && (len(p.candidates) > len(before) || slices.Contains(before, p.candidates[0])) {
			t.Fatalf("%d candidates, before %d", len(p.candidates), len(before))
		}
	}
	if len(p.ring.endpoints) < 600 || proxy.Unavailable() != len(p.ring.endpoints) {
		t.Fatalf("%d of %d ejected", proxy.Unavailable(), len(p.ring.endpoints))
	}
	proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, TotalEndpoints: 1000, SubsetStart: startPosition(7), Endpoints: []Endpoint{{ID: 2000, Zone: "z0"}}})
	if len(p.candidates) != 1 || !slices.Contains(attemptedEndpoints(proxy.Handle(proxy.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})), 2000) {
		t.Errorf("%d candidates once there is one more endpoint", len(p.candidates))
	}
}

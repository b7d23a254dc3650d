package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// partFleet gives each node so many times what it works with, from its own point on, of servers in three zones.
func partFleet(nodes, servers, times int, classes []Class) (fleet []*Balancer, sorted []*endpoint) {
	for id := range servers {
		sorted = append(sorted, &endpoint{Endpoint: Endpoint{ID: EndpointID(id + 1), Zone: fmt.Sprint("z", id%3)}, ringPosition: ringPosition(EndpointID(id + 1))})
	}
	slices.SortFunc(sorted, func(a, b *endpoint) int { return cmp.Compare(a.ringPosition, b.ringPosition) })
	all := ring{endpoints: sorted}
	for self := range nodes {
		s := tellingSettings(self, nodes)
		s.Classes = append(s.Classes, classes...)
		m, u := New(s, int64(self)), EndpointsUpdated{Kind: UpdateComplete, TotalEndpoints: servers, SubsetStart: startPosition(self)}
		all.rotateTo(u.SubsetStart)
		for i := range min(servers, times*max(5, 6*servers/nodes+1)) {
			u.Endpoints = append(u.Endpoints, all.at(i).Endpoint)
		}
		m.Handle(time.Hour, u)
		fleet = append(fleet, m)
	}
	return fleet, sorted
}

// Nodes that know a part each work with as many servers as if they knew all, the first of their own; each server has its
// nodes; and each node knows which others work with a server beyond its first ones, and about how many do with those.
func TestPartsMakeAFleet(t *testing.T) {
	for _, size := range []struct{ nodes, servers, times int }{{40, 1000, 4}, {300, 200, 3}, {100, 100, 2}, {100, 97, 100}, {30, 2000, 1}} {
		fleet, sorted := partFleet(size.nodes, size.servers, size.times, nil)
		reach := max(5, (6*size.servers+size.nodes-1)/size.nodes)
		home, all := map[EndpointID][]int{}, ring{endpoints: sorted}
		for self := range fleet {
			all.rotateTo(startPosition(self))
			for i := range reach {
				home[all.at(i).ID] = append(home[all.at(i).ID], self)
			}
		}
		for _, s := range sorted {
			if n := len(home[s.ID]); n == 0 {
				t.Errorf("%+v: server %d has no node", size, s.ID)
			}
		}
		told, want := 0, 0
		for self, m := range fleet {
			g := m.placements[0]
			if int(g.subsetSize) != reach || len(g.candidates) != reach || m.proxiesPerEndpoint != float64(size.nodes*reach)/float64(size.servers) {
				t.Fatalf("%+v: node %d has a reach of %v, not %d, and %v sharers", size, self, g.subsetSize, reach, m.proxiesPerEndpoint)
			}
			for i := range g.ring.endpoints {
				s := g.ring.at(i)
				others := slices.DeleteFunc(slices.Clone(home[s.ID]), func(node int) bool { return node == self })
				if slices.Contains(home[s.ID], self) != s.inBaseSubset || s.inBaseSubset != (i < reach) {
					t.Errorf("%+v: node %d, server %d: home is %v", size, self, i, s.inBaseSubset)
				}
				if got := m.peersOf(s); i >= reach && !slices.Equal(got, others) {
					t.Errorf("%+v: node %d shares its %d. server with %v, not %v", size, self, i, got, others)
				}
				if i < reach {
					told, want = told+len(m.peersOf(s)), want+len(others)
				}
			}
		}
		if part := float64(told) / float64(want); part < 0.8 || part > 1.25 {
			t.Errorf("%+v: of the servers in reach %d others are known, not %d", size, told, want)
		}
	}
}

// A placement's size is drawn from what is open of the part; the sharers that cold starts count on are about those that
// a node which knows all takes.
func TestPartOfAPlacement(t *testing.T) {
	placed := []Class{{Name: "here", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, AllowedZones: []string{"z1"}}}
	fleet, _ := partFleet(60, 1200, 4, placed)
	whole, _ := partFleet(60, 1200, 1000, placed)
	for self, m := range fleet {
		if g := m.placements[1]; g.subsetSize < 25 || g.subsetSize > 55 || m.placementSize(g) < 250 || m.placementSize(g) > 550 { // 40 of 400, but by chance
			t.Errorf("node %d: reach %v of %v", self, g.subsetSize, m.placementSize(g))
		}
		if m.proxiesPerEndpoint < 0.95*whole[self].proxiesPerEndpoint || m.proxiesPerEndpoint > 1.05*whole[self].proxiesPerEndpoint {
			t.Errorf("node %d takes a server for shared by %.1f, not %.1f", self, m.proxiesPerEndpoint, whole[self].proxiesPerEndpoint)
		}
	}
}

// When all that a node works with fail, the rest of its part takes their place, and with all of that ill it still sends.
func TestPartHoldsAReserve(t *testing.T) {
	fleet, _ := partFleet(40, 1000, 4, nil)
	m := fleet[7]
	g := m.placements[0]
	for range 5 {
		for _, s := range g.candidates {
			m.eject(s, "test")
		}
		before := slices.Clone(g.candidates)
		if m.updateCandidates(); len(g.candidates) > 0 && (len(g.candidates) > len(before) || slices.Contains(before, g.candidates[0])) {
			t.Fatalf("%d near, before %d", len(g.candidates), len(before))
		}
	}
	if len(g.ring.endpoints) < 600 || m.Ejected() != len(g.ring.endpoints) {
		t.Fatalf("%d of %d ejected", m.Ejected(), len(g.ring.endpoints))
	}
	m.Handle(m.now, EndpointsUpdated{Kind: UpdateIncremental, TotalEndpoints: 1000, SubsetStart: startPosition(7), Endpoints: []Endpoint{{ID: 2000, Zone: "z0"}}})
	if len(g.candidates) != 1 || !slices.Contains(sends(m.Handle(m.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})), 2000) {
		t.Errorf("%d near once there is one more", len(g.candidates))
	}
}

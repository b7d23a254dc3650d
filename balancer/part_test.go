package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// partFleet gives each node so many times what it works with, from its own point on, of servers in three zones.
func partFleet(nodes, servers, times int, classes []Class) (fleet []*Module, sorted []*server) {
	for id := range servers {
		sorted = append(sorted, &server{Server: Server{ID: ServerID(id + 1), Zone: fmt.Sprint("z", id%3)}, order: mix(uint64(id + 1))})
	}
	slices.SortFunc(sorted, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
	all := ring{servers: sorted}
	for self := range nodes {
		s := tellingSettings(self, nodes)
		s.Classes = append(s.Classes, classes...)
		m, u := New(s, int64(self)), ListUpdate{Kind: ListFull, Total: servers, From: startPoint(self)}
		all.turn(u.From)
		for i := range min(servers, times*max(5, 6*servers/nodes+1)) {
			u.Entries = append(u.Entries, all.at(i).Server)
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
		home, all := map[ServerID][]int{}, ring{servers: sorted}
		for self := range fleet {
			all.turn(startPoint(self))
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
			g := m.groups[0]
			if int(g.reach) != reach || len(g.near) != reach || m.sharers != float64(size.nodes*reach)/float64(size.servers) {
				t.Fatalf("%+v: node %d has a reach of %v, not %d, and %v sharers", size, self, g.reach, reach, m.sharers)
			}
			for i := range g.list.servers {
				s := g.list.at(i)
				others := slices.DeleteFunc(slices.Clone(home[s.ID]), func(node int) bool { return node == self })
				if slices.Contains(home[s.ID], self) != s.home || s.home != (i < reach) {
					t.Errorf("%+v: node %d, server %d: home is %v", size, self, i, s.home)
				}
				if got := m.with(s); i >= reach && !slices.Equal(got, others) {
					t.Errorf("%+v: node %d shares its %d. server with %v, not %v", size, self, i, got, others)
				}
				if i < reach {
					told, want = told+len(m.with(s)), want+len(others)
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
	placed := []Class{{Name: "here", Worth: 1, Aim: time.Second, Deadline: time.Second, OnlyZones: []string{"z1"}}}
	fleet, _ := partFleet(60, 1200, 4, placed)
	whole, _ := partFleet(60, 1200, 1000, placed)
	for self, m := range fleet {
		if g := m.groups[1]; g.reach < 25 || g.reach > 55 || m.sizeOf(g) < 250 || m.sizeOf(g) > 550 { // 40 of 400, but by chance
			t.Errorf("node %d: reach %v of %v", self, g.reach, m.sizeOf(g))
		}
		if m.sharers < 0.95*whole[self].sharers || m.sharers > 1.05*whole[self].sharers {
			t.Errorf("node %d takes a server for shared by %.1f, not %.1f", self, m.sharers, whole[self].sharers)
		}
	}
}

// When all that a node works with fail, the rest of its part takes their place, and with all of that ill it still sends.
func TestPartHoldsAReserve(t *testing.T) {
	fleet, _ := partFleet(40, 1000, 4, nil)
	m := fleet[7]
	g := m.groups[0]
	for range 5 {
		for _, s := range g.near {
			m.accuse(s, "test")
		}
		before := slices.Clone(g.near)
		if m.survey(); len(g.near) > 0 && (len(g.near) > len(before) || slices.Contains(before, g.near[0])) {
			t.Fatalf("%d near, before %d", len(g.near), len(before))
		}
	}
	if len(g.list.servers) < 600 || m.Ejected() != len(g.list.servers) {
		t.Fatalf("%d of %d ejected", m.Ejected(), len(g.list.servers))
	}
	m.Handle(m.now, ListUpdate{Kind: ListChanges, Total: 1000, From: startPoint(7), Entries: []Server{{ID: 2000, Zone: "z0"}}})
	if len(g.near) != 1 || !slices.Contains(sends(m.Handle(m.now, RequestArrived{ID: "a", Class: "page", Patience: time.Second})), 2000) {
		t.Errorf("%d near once there is one more", len(g.near))
	}
}

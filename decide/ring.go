package decide

// The ring: servers by a hash of their ids, and the places on it from which nodes take their own. Nothing of a
// request is decided here. The interface is in api.go.

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// ring holds servers by their place, and is walked from a start on. A change costs what changed, and the moving of
// pointers.
type ring struct {
	servers []*server
	start   int
}

func byPlace(a, b *server) int { return cmp.Compare(a.order, b.order) }

// at gives the i-th server from the start on.
func (r *ring) at(i int) *server {
	if i += r.start; i >= len(r.servers) {
		i -= len(r.servers)
	}
	return r.servers[i]
}

// find gives where a place is, or would be.
func (r *ring) find(order uint64) (int, bool) {
	return slices.BinarySearchFunc(r.servers, order, func(s *server, o uint64) int { return cmp.Compare(s.order, o) })
}

// turn lets the ring be walked from a place on.
func (r *ring) turn(order uint64) {
	if r.start, _ = r.find(order); r.start == len(r.servers) {
		r.start = 0
	}
}

// put adds a server, unless it is there or has left the list.
func (r *ring) put(s *server) {
	if i, there := r.find(s.order); !there && s.State != Gone {
		r.servers = slices.Insert(r.servers, i, s)
	}
}

// keep leaves out the others.
func (r *ring) keep(stays func(*server) bool) {
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool { return !stays(s) })
}

// update takes servers in or out, as each belongs there now. They come by their place, each once.
func (r *ring) update(changed []*server, belongs func(*server) bool) {
	var added []*server
	kept, rest := 0, 0 // what is before kept stays; what is from rest on has not been looked at
	for _, s := range changed {
		i, there := (&ring{servers: r.servers[rest:]}).find(s.order)
		switch {
		case there && !belongs(s):
			kept += copy(r.servers[kept:], r.servers[rest:rest+i])
			rest += i + 1
		case !there && belongs(s):
			added = append(added, s)
		}
	}
	kept += copy(r.servers[kept:], r.servers[rest:])
	clear(r.servers[kept:])
	r.servers = append(r.servers[:kept], added...)
	for n, end := len(added)-1, kept; n >= 0; n-- { // from the last place on, so that each moves once
		i, _ := (&ring{servers: r.servers[:end]}).find(added[n].order)
		copy(r.servers[i+n+1:], r.servers[i:end])
		r.servers[i+n], end = added[n], i
	}
}

// ringStart is the place on a ring of servers from which a node takes its own.
func ringStart(node, servers int) int {
	return int(float64(servers) * math.Mod(float64(node)*math.Phi, 1))
}

// nodesByStart gives the numbers of nodes by their places, of which those on a ring of any size follow.
func nodesByStart(nodes int) []int {
	all := make([]int, nodes)
	for node := range all {
		all[node] = node
	}
	slices.SortFunc(all, func(a, b int) int {
		return cmp.Compare(math.Mod(float64(a)*math.Phi, 1), math.Mod(float64(b)*math.Phi, 1))
	})
	return all
}

// enlist takes servers that may have changed into the rings where each belongs, or out of them.
func (m *Module) enlist(changed []*server) {
	slices.SortFunc(changed, byPlace)
	changed = slices.Compact(changed)
	for _, s := range changed {
		if s.State == Gone {
			m.with(s) // its attempts still know it
			delete(m.known, s.ID)
		}
	}
	m.list.update(changed, func(s *server) bool { return s.State != Gone })
	m.suspects.update(changed, func(s *server) bool { return s.State != Gone && s.suspect })
	m.silent.update(changed, (*server).mute)
	for _, g := range m.groups {
		g.list.update(changed, func(s *server) bool { return s.State != Gone && g.open(s) })
	}
	if n := len(m.list.servers); n > 0 {
		m.first = m.list.servers[ringStart(m.set.Self, n)].order
	}
	m.list.turn(m.first)
	for _, g := range m.groups {
		g.list.turn(m.first)
	}
}

// with gives the other nodes that work with a server, group by group; of one that has left the list, those that did
// last. They are found when they are first asked for after a change.
func (m *Module) with(s *server) []int {
	at, there := m.list.find(s.order)
	if s.sharedAt == m.changes || !there || m.list.servers[at] != s {
		return s.shared
	}
	s.shared, s.sharedAt = s.shared[:0], m.changes
	if !m.shares {
		return s.shared
	}
	for _, g := range m.groups {
		i, in := g.list.find(s.order)
		if !in {
			continue
		}
		nodes := m.nodes
		if size, reach := len(g.list.servers), int(g.reach); reach < size { // else all nodes work with all
			before, _ := m.list.find(g.list.servers[(i-reach+size)%size].order) // from its place on s is too far
			from, to := m.startsUpTo(before), m.startsUpTo(at)
			if nodes = m.nodes[min(from, to):to]; before > at {
				nodes = append(slices.Clone(m.nodes[from:]), m.nodes[:to]...)
			}
		}
		for _, node := range slices.Sorted(slices.Values(nodes)) {
			if n := len(s.shared); node != m.set.Self && (n == 0 || s.shared[n-1] != node) { // groups share servers
				s.shared = append(s.shared, node)
			}
		}
	}
	return s.shared
}

// startsUpTo counts the nodes that start at a place of the list or before it.
func (m *Module) startsUpTo(at int) int {
	return sort.Search(len(m.nodes), func(i int) bool { return ringStart(m.nodes[i], len(m.list.servers)) > at })
}

package balancer

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
func ringStart(node, servers int) int { return int(float64(servers) * startPart(node)) }

// startPoint is the same on the scale of a server's place, for nodes that know a part of the servers.
func startPoint(node int) uint64 { return uint64(startPart(node) * (1 << 64)) }

func startPart(node int) float64 { return math.Mod(float64(node)*math.Phi, 1) }

// nodesByStart gives the numbers of nodes by their places, of which those on a ring of any size follow.
func nodesByStart(nodes int) []int {
	all := make([]int, nodes)
	for node := range all {
		all[node] = node
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(startPart(a), startPart(b)) })
	return all
}

// part is what a list says of itself where it is a part of all servers.
type part struct {
	total int    // servers of the whole list; 0: this is all of it
	from  uint64 // where it begins
}

// enlist takes servers that may have changed into the rings where each belongs, or out of them.
func (m *Module) enlist(changed []*server, p part) {
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
	m.part = p
	if n := len(m.list.servers); m.total > 0 {
		m.first = m.from
	} else if n > 0 {
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
		for _, node := range slices.Sorted(slices.Values(m.startsFor(g, i, at))) {
			if n := len(s.shared); node != m.set.Self && (n == 0 || s.shared[n-1] != node) { // groups share servers
				s.shared = append(s.shared, node)
			}
		}
	}
	return s.shared
}

// startsFor gives the nodes that have the i-th server of a group in reach, which is the at-th of all: those that start
// at it, or at one before it of so many as are in reach. Of a part that begins too near to it, those are taken to lie
// as dense as the servers of the part.
func (m *Module) startsFor(g *group, i, at int) []int {
	size, reach := len(g.list.servers), int(g.reach)
	if g.reach >= m.sizeOf(g) {
		return m.nodes
	}
	if m.total == 0 {
		before, _ := m.list.find(g.list.servers[(i-reach+size)%size].order)
		return m.startsAmong(uint64(before), uint64(at))
	}
	here, steps := g.list.servers[i].order, (i-g.list.start+size)%size
	if steps >= reach {
		return m.startsAmong(g.list.at(steps-reach).order, here)
	}
	before := uint64(float64(reach-steps) / m.sizeOf(g) * (1 << 64))
	if here-m.from > math.MaxUint64-before {
		return m.nodes // all around
	}
	return m.startsAmong(m.from-before, here)
}

// startsAmong gives the nodes that start after one place and up to another: places in the list or, of a part, points.
func (m *Module) startsAmong(after, upTo uint64) []int {
	count := func(place uint64) int {
		return sort.Search(len(m.nodes), func(i int) bool {
			if m.total > 0 {
				return startPoint(m.nodes[i]) > place
			}
			return uint64(ringStart(m.nodes[i], len(m.list.servers))) > place
		})
	}
	if after > upTo {
		return append(slices.Clone(m.nodes[count(after):]), m.nodes[:count(upTo)]...)
	}
	return m.nodes[count(after):count(upTo)]
}

package balancer

// What nodes tell each other of the servers that they share. The interface is in api.go.

import (
	"math"
	"time"
)

const (
	notePoints = 0.005 // of the result, that telling of each request may cost
	noteNodes  = 32.0  // nodes on a server beyond which each has better to do than to listen to all
	noteCost   = 10e-6 // s; of processor time that one takes here and at its receiver, for the system calls
	noteHolds  = 10.0  // mean latencies; a note holds so long, as the one that ends it may be lost
)

// share finds whether nodes tell each other of the servers that they share: those that each works with.
// Each is counted once for each node and each of its groups at most.
func (m *Module) share() {
	n, pairs := float64(max(len(m.list.servers), m.total)), 0.0
	m.changes++
	m.tells, m.shares = false, m.set.MayMessage && !m.looks && m.set.Nodes > 1 && n > 0 && m.sharers <= noteNodes
	if !m.shares {
		return
	}
	if len(m.nodes) != m.set.Nodes {
		m.nodes = nodesByStart(m.set.Nodes)
	}
	dear := func(pairs float64) bool {
		each := (2*noteBytes + 1) * pairs / n // at its start and at its end
		return m.set.Prices.Message*each/256 > notePoints
	}
	others := float64(m.set.Nodes)
	if m.set.Self >= 0 && m.set.Self < m.set.Nodes {
		others--
	}
	for _, g := range m.groups {
		pairs += others * g.reach
	}
	twice := n * float64(len(m.groups)-1) // the last of one group may be the first of the next
	if m.total == 0 && dear(pairs) && !dear(pairs-twice) {
		pairs = 0
		for _, s := range m.list.servers {
			pairs += float64(len(m.with(s)))
		}
	}
	m.tells = !dear(pairs)
}

// tell lets the nodes that share a server know what this one has out there. The note replaces the one before,
// so nothing adds up if it is lost, late or comes twice. With it goes the latency that an answer shows for a
// mean request: each node alone has few answers of a server and knows it late.
func (m *Module) tell(s *server, latency float64) {
	if !m.tells || s.State != Ready {
		return
	}
	data := encodeNote(s.ID, s.load, latency)
	for _, node := range m.with(s) {
		m.do(SendMessage{To: node, Data: data})
	}
}

// spare takes the notes on an attempt out of the processor time for decisions. Where that is used up, a node
// says no more that one begins: the next end of one at that server tells it too. Ends are told on credit.
func (m *Module) spare(s *server, end bool) bool {
	rate, cost := m.set.CPUPerSecond.Seconds(), noteCost*float64(len(m.with(s)))
	m.spared = math.Min(rate/10, m.spared+rate*(m.now-m.sparedAt).Seconds())
	m.sparedAt = m.now
	if rate > 0 && !end && m.spared < cost {
		return false
	}
	m.spared = math.Max(-rate/10, m.spared-cost)
	return true
}

// hear takes a note. One that this node does not understand, or about a server it has not listed, is nothing.
func (m *Module) hear(e MessageReceived) {
	id, load, latency, ok := decodeNote(e.Data)
	s := m.known[id]
	if !ok || s == nil || e.From < 0 || e.From >= m.set.Nodes || e.From == m.set.Self {
		return
	}
	if latency > 0 && m.mean > 0 {
		m.weigh(s, latency)
	}
	s.heardOf(note{from: e.From, load: load, at: m.now})
}

// loadOf is the work out at a server, in mean requests: this node's and what it has been told of others'.
func (m *Module) loadOf(s *server) float64 {
	load, holds := s.load, time.Duration(noteHolds*m.mean*float64(time.Second))
	for _, t := range s.notes {
		if m.now-t.at <= holds {
			load += t.load
		}
	}
	return load
}

// hold adds an attempt's work to what this node has out at its server, or takes it off, with the latency.
func (m *Module) hold(s *server, work, latency float64) {
	if s.load = math.Max(0, s.load+work); s.n == 0 {
		s.load = 0 // no rounding adds up
	}
	if m.spare(s, work < 0) {
		m.tell(s, latency)
	}
}

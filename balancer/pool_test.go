package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func manyNodes(self, nodes, servers int) *Balancer {
	m := New(Settings{Proxies: nodes, ProxyIndex: self, MaxAttempts: 3, MinEventInterval: 5 * time.Millisecond, SlowStartInitial: 0.3,
		SlowStartDuration: 8 * time.Second, OverloadFactor: 2.5, OverloadDuration: time.Second, ConnectTimeout: 100 * time.Millisecond,
		Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent}}}, int64(self))
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z"})
	}
	m.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: list})
	return m
}

// Servers take few connections: of many nodes each works with a part of the fleet, and all servers with like parts of
// the nodes.
func TestReachIsEven(t *testing.T) {
	const nodes, servers = 360, 60
	count := map[EndpointID]int{}
	for self := range nodes {
		m := manyNodes(self, nodes, servers)
		if len(m.placements[0].candidates) != 5 {
			t.Fatalf("node %d works with %d servers, want %v", self, len(m.placements[0].candidates), 5)
		}
		for _, s := range m.placements[0].candidates {
			count[s.ID]++
		}
	}
	want := nodes * 5 / servers
	for id := range servers {
		if n := count[EndpointID(id+1)]; n < want-3 || n > want+3 {
			t.Errorf("server %d is in reach of %d nodes, want about %d", id+1, n, want)
		}
	}
	if m := manyNodes(2, 3, 20); len(m.placements[0].candidates) != 20 {
		t.Errorf("one of 3 nodes works with %d of 20 servers", len(m.placements[0].candidates))
	}
}

// A server that leaves the list changes little of what a node works with; a suspect's place is taken by the next.
func TestReachIsStable(t *testing.T) {
	for self := range 50 {
		m := manyNodes(self, 360, 60)
		before := map[EndpointID]bool{}
		for _, s := range m.placements[0].candidates {
			before[s.ID] = true
		}
		m.Handle(time.Hour, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 7, State: Removed}}})
		changed := 0
		for _, s := range m.placements[0].candidates {
			if !before[s.ID] {
				changed++
			}
		}
		if changed > 2 {
			t.Errorf("node %d: %d of %d servers changed as one left", self, changed, len(m.placements[0].candidates))
		}
		first := m.placements[0].candidates[0]
		m.eject(first, "test")
		if m.updateCandidates(); len(m.placements[0].candidates) != 5 || m.placements[0].candidates[0] == first {
			t.Errorf("node %d: a suspect keeps its place", self)
		}
	}
}

// pooledNode is one of many nodes, with 2 answers a second of 100 ms from each of six servers.
func pooledNode(t *testing.T) *Balancer {
	m := manyNodes(1, 360, 60)
	m.hasEstimates, m.meanLatency, m.baseLatency, m.tightestObjective, m.meanRate, m.peakRate = true, 0.1, 0.1, 1, 0.5, 0.5
	for _, s := range m.placements[0].candidates {
		s.responseRate, s.responseRateAt, s.observedSince = 0.5, m.now, m.now-time.Hour
		s.inFlightLimit = m.computeInFlightLimit(s)
	}
	if m.updatePooledMode(m.placements[0]); !m.placements[0].usesPooledMode {
		t.Fatalf("H %v and still not judged together", m.computeInFlightLimit(m.placements[0].candidates[0]))
	}
	return m
}

// A node with few requests at each server must not refuse because they come together by chance, but must when they
// stay: counts are summed and smoothed.
func TestPoolJudgesSmoothedSums(t *testing.T) {
	m := pooledNode(t)
	h := 0.0
	for _, s := range m.placements[0].candidates {
		h += m.computeInFlightLimit(s)
	}
	m.placements[0].candidates[0].inFlight = 1
	if m.updatePooledMode(m.placements[0]); m.placements[0].mode != Normal || m.updateMode(m.placements[0], m.placements[0].candidates[0]) != Normal {
		t.Errorf("one request, just sent, at H %.2f in all: %v", h, m.placements[0].mode)
	}
	m.placements[0].candidates[0].inFlight, m.placements[0].candidates[1].inFlight = 2, 2
	if m.updatePooledMode(m.placements[0]); m.placements[0].mode == Normal {
		t.Errorf("four requests at once at H %.2f in all: normal", h)
	}
	m = pooledNode(t)
	for _, s := range m.placements[0].candidates {
		s.inFlight = 0.25 // 1.5 in all
	}
	m.placements[0].smoothedInFlight = 0
	for range 200 {
		m.now += tickInterval
		for _, s := range m.placements[0].candidates {
			s.responseRateAt = m.now
		}
		m.updatePooledMode(m.placements[0])
	}
	if m.placements[0].mode != Overloaded {
		t.Errorf("1.5 requests for 5 s: %v", m.placements[0].mode)
	}
	for _, s := range m.placements[0].candidates {
		s.inFlight = 0
	}
	for range 500 {
		m.now += tickInterval
		m.updatePooledMode(m.placements[0])
	}
	if m.placements[0].mode != Normal {
		t.Errorf("nothing for 12 s: %v", m.placements[0].mode)
	}
}

// A full answer blocks its own server also while servers are judged together.
func TestImposedModeWhilePooled(t *testing.T) {
	m := pooledNode(t)
	m.imposeMode(m.placements[0].candidates[0], Blocking)
	if m.updateMode(m.placements[0], m.placements[0].candidates[0]) != Blocking || m.updateMode(m.placements[0], m.placements[0].candidates[1]) != Normal {
		t.Error("imposed mode lost, or spread")
	}
	if m.now += imposedModeTTL; m.updateMode(m.placements[0], m.placements[0].candidates[0]) != Normal {
		t.Error("imposed mode did not lapse")
	}
}

// Thirty nodes with a whole send each for a server that has just started are a burst that pushes it over, also when they
// have had nothing to send for an hour: what they saved up is under the rule's budget in sum.
func TestColdBudgetsOfManyNodes(t *testing.T) {
	sends, saved, budget := 0, 0.0, 0.0
	for self := range 36 {
		m := manyNodes(self, 360, 60)
		m.hasEstimates, m.meanLatency, m.meanRate, m.peakRate, m.baseLatency, m.tightestObjective = true, 0.1, 0.5, 0.5, 0.1, 1
		s := m.endpointFor(1)
		s.inBaseSubset = true
		m.beginSlowStart(s, m.now)
		if !m.limitedBySlowStart(s) {
			sends++
		}
		budget += m.settings.SlowStartInitial * m.meanRate * m.settings.OverloadFactor * m.settings.OverloadDuration.Seconds()
		if s.slowStartTokensAt -= time.Hour; !m.limitedBySlowStart(s) {
			saved += math.Floor(s.slowStartTokens)
		}
	}
	if sends > 4 {
		t.Errorf("%d of 36 nodes may send to a server in the moment of its start", sends)
	}
	if saved < 1 || saved > 0.6*budget {
		t.Errorf("36 nodes saved up %v sends, where the rule allows %.1f in the overload time", saved, budget)
	}
}

// With many suspects, trials must stay a small part of the traffic: each delays a request and costs a connection.
func TestTrialsAreFew(t *testing.T) {
	m := manyNodes(1, 360, 60)
	for _, s := range m.ring.endpoints[:20] {
		m.eject(s, "test")
	}
	trials := 0
	for i := range 400 {
		id := RequestID(fmt.Sprint(i))
		m.Handle(m.now+100*time.Millisecond, RequestArrived{ID: id, Class: "page", Timeout: 2 * time.Second})
		if r := m.requests[id]; r != nil && r.recoveryProbe {
			trials++
		}
	}
	if trials < 5 || trials > 25 {
		t.Errorf("%d trials in 400 requests", trials)
	}
}

// Rounding drawn once and for all would leave some servers without requests for good where H is under one.
func TestRoundingMovesOn(t *testing.T) {
	m := manyNodes(0, 5, 15)
	m.hasEstimates, m.meanLatency, m.baseLatency, m.tightestObjective, m.meanRate, m.peakRate = true, 0.1, 0.1, 1, 1.5, 1.5
	for _, s := range m.ring.endpoints {
		open := 0
		for range 200 {
			m.now += sheddingPeriod
			m.periodStart = m.now
			m.placements[0].usesPooledMode, s.localMode, s.responseRate, s.responseRateAt, s.observedSince = false, Normal, 1.5, m.now, m.now-time.Hour
			if s.inFlightLimit = m.computeInFlightLimit(s); m.updateMode(m.placements[0], s) == Normal {
				open++
			}
		}
		h := m.computeInFlightLimit(s)
		if part := float64(open) / 200; h >= 1 || part < h-0.1 || part > h+0.1 {
			t.Errorf("server %d is normal %.2f of the time at H %.2f", s.ID, part, h)
		}
	}
}

// When most servers are suspects (idle connections dropped, slow handshakes) the reach of every node widens to the few
// that are not, those just restarted first: added up, the nodes pushed such a server over.
func TestColdServerIsLeftToItsOwnNodes(t *testing.T) {
	const nodes = 360
	senders := 0
	for self := range nodes {
		m := manyNodes(self, nodes, 60)
		for _, s := range m.ring.endpoints {
			if s.ID != 1 {
				m.eject(s, "test")
			}
		}
		m.Handle(m.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 1, Zone: "z", StartedAt: m.now}}})
		s := m.endpoints[1]
		if s.slowStartTokens = 1; !m.limitedBySlowStart(s) {
			senders++
		}
	}
	if senders < 20 || senders > 40 {
		t.Errorf("%d of %d nodes may send to a server that has just started, want about 30", senders, nodes)
	}
}

// A node of a fleet must see its servers often enough to know them: what it has learned of one holds about as long as a
// trouble takes to do harm. Yet a server's nodes must be several, so that their traffic evens out.
func TestNodeOfAFleetKnowsItsServers(t *testing.T) {
	const nodes, servers, rate = 80, 60, 20.0 // requests each second of a node
	count := map[EndpointID]int{}
	for self := range nodes {
		m := manyNodes(self, nodes, servers)
		for _, s := range m.placements[0].candidates {
			count[s.ID]++
		}
		if seen := rate * observationDecay / m.placements[0].subsetSize; seen < 10 {
			t.Fatalf("node %d sees %.1f answers of a server while what it has learned holds, want 10", self, seen)
		}
	}
	for id := range servers {
		if n := count[EndpointID(id+1)]; n < 5 {
			t.Errorf("%d nodes work with server %d, want 5 or more", n, id+1)
		}
	}
}

package balancer

import (
	"fmt"
	"testing"
	"time"
)

func lookSettings() Settings {
	return Settings{Proxies: 30, MaxAttempts: 3, MinEventInterval: time.Millisecond, SlowStartInitial: 0.3, SlowStartDuration: 8 * time.Second,
		OverloadFactor: 3, ConnectTimeout: 100 * time.Millisecond, AllowLoadQueries: true, LoadReports: LoadReportsByQuery,
		Prices:  Prices{LoadQuery: 0.002},
		Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, Idempotency: Idempotent}}}
}

func lookingNode(s Settings) *Balancer {
	m := New(s, 3)
	var list []Endpoint
	for i := range 20 {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z"})
	}
	m.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: list})
	m.serviceTime, m.tightestObjective, m.responses = 0.1, 0.5, 100
	return m
}

func probes(actions []Action) (ids []EndpointID) {
	for _, a := range actions {
		if p, ok := a.(QueryLoad); ok {
			ids = append(ids, p.Endpoint)
		}
	}
	return ids
}

func sends(actions []Action) (ids []EndpointID) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			ids = append(ids, s.Endpoint)
		}
	}
	return ids
}

func report(n, waiting float64) *LoadReport {
	return &LoadReport{InFlight: n, HasInFlight: true, QueueLength: waiting, HasQueueLength: true}
}

// One of many nodes knows nothing of what the others have sent: it asks two servers and takes the emptier one.
func TestLooksAtTwoAndTakesTheEmptier(t *testing.T) {
	m := lookingNode(lookSettings())
	out := m.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
	asked := probes(out)
	if len(asked) != 2 || asked[0] == asked[1] || len(sends(out)) > 0 {
		t.Fatalf("%v", out)
	}
	if out = m.Handle(m.now, LoadQueryEnded{Endpoint: asked[0], LoadReport: report(2, 1)}); len(sends(out)) > 0 {
		t.Fatal("sent before the second answer")
	}
	if to := sends(m.Handle(m.now, LoadQueryEnded{Endpoint: asked[1], LoadReport: report(0, 0)})); len(to) != 1 || to[0] != asked[1] {
		t.Errorf("sent to %v, want %v", to, asked[1])
	}
}

// A server that stands still answers no probe: the request goes to the one that does, without waiting for long.
func TestLookIsNotHeldUpByASilentServer(t *testing.T) {
	m := lookingNode(lookSettings())
	asked := probes(m.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}))
	m.Handle(m.now, LoadQueryEnded{Endpoint: asked[0], LoadReport: report(1, 0)})
	if to := sends(m.Handle(m.now+loadQueryTimeout, TimerFired{Token: loadQueryToken})); len(to) != 1 || to[0] != asked[0] {
		t.Errorf("sent to %v, want %v", to, asked[0])
	}
}

// Two full servers are chance: further ones are asked before the request counts as one too many, and not for ever.
func TestFullServersAreLookedPast(t *testing.T) {
	m := lookingNode(lookSettings())
	out := m.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
	for round := 1; round <= maxLoadQueryRounds; round++ {
		asked := probes(out)
		if len(asked) != 2 {
			t.Fatalf("round %d: %v", round, out)
		}
		m.Handle(m.now, LoadQueryEnded{Endpoint: asked[0], LoadReport: report(30, 29)})
		out = m.Handle(m.now, LoadQueryEnded{Endpoint: asked[1], LoadReport: report(30, 29)})
	}
	if len(out) != 1 || out[0].(Reject).ID != "a" {
		t.Errorf("after %d rounds: %v", maxLoadQueryRounds, out)
	}
}

// Where probes are dear the node goes by its own counts, and an answer to a probe of a server that is no longer listed
// must not bring it back.
func TestNoLookWhereProbesAreDear(t *testing.T) {
	s := lookSettings()
	s.Prices.LoadQuery = 0.01
	m := lookingNode(s)
	if out := m.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}); len(probes(out)) > 0 || len(sends(out)) != 1 {
		t.Errorf("%v", out)
	}
	m.Handle(m.now, LoadQueryEnded{Endpoint: 999, LoadReport: report(0, 0)})
	if m.endpoints[999] != nil {
		t.Error("an unlisted server was taken up")
	}
}

// Servers are replaced for months: what is gone is forgotten.
func TestGoneServersAreForgotten(t *testing.T) {
	m := lookingNode(lookSettings())
	for i := range 5000 {
		m.Handle(m.now+time.Second, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{
			{ID: EndpointID(i + 100), State: Ready, StartedAt: m.now}, {ID: EndpointID(i + 99), State: Removed}}})
		id := RequestID(fmt.Sprint(i))
		m.Handle(m.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second})
		m.Handle(m.now+2*time.Second, TimerFired{})
	}
	if len(m.endpoints) > 25 || len(m.ring.endpoints) > 25 || len(m.requests) > 2 || len(m.openRequests) > 2 || len(m.awaitingLoad) > 2 {
		t.Errorf("%d servers known, %d requests, %d open, %d looking", len(m.endpoints), len(m.requests), len(m.openRequests), len(m.awaitingLoad))
	}
}

// Before a node has had answers its H must hold all the same: without a limit a fleet at the brim jams in its first
// seconds, while every node still learns.
func TestUntaughtNodeHoldsAnH(t *testing.T) {
	m := lookingNode(lookSettings())
	m.serviceTime, m.responses = 0, 0
	m.updateCandidates()
	s := m.ring.endpoints[0]
	if m.recordLoadReport(s, report(1, 0)); m.updateMode(m.placements[0], s) != Normal {
		t.Error("one request is no overload")
	}
	if m.recordLoadReport(s, report(9, 8)); m.updateMode(m.placements[0], s) != Blocking {
		t.Error("nine requests at an unknown server do not block it")
	}
}

// A heavy request that would be late behind the work already there looks further, where a light one is sent.
func TestHeavyRequestWantsAnEmptierServer(t *testing.T) {
	for hint, want := range map[time.Duration]int{20 * time.Millisecond: 1, 400 * time.Millisecond: 0} {
		m := lookingNode(lookSettings())
		c := m.classNamed("page", false)
		c.meanWorkHint, c.workHints = 0.1, 100
		asked := probes(m.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second, WorkHint: hint, HasWorkHint: true}))
		m.Handle(m.now, LoadQueryEnded{Endpoint: asked[0], LoadReport: report(1, 0)})
		out := m.Handle(m.now, LoadQueryEnded{Endpoint: asked[1], LoadReport: report(1, 0)})
		if len(sends(out)) != want || len(probes(out)) != 2*(1-want) {
			t.Errorf("hint %v: %v", hint, out)
		}
	}
}

// A cold server does the same work more slowly: a request that fits a warm one may be late there.
func TestColdServerFitsLess(t *testing.T) {
	m := lookingNode(lookSettings())
	asked := probes(m.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}))
	for _, id := range asked {
		m.beginSlowStart(m.endpoints[id], m.now)
		m.endpoints[id].slowStartTokens = 1
	}
	m.Handle(m.now, LoadQueryEnded{Endpoint: asked[0], LoadReport: report(1, 0)})
	if out := m.Handle(m.now, LoadQueryEnded{Endpoint: asked[1], LoadReport: report(1, 0)}); len(probes(out)) != 2 {
		t.Errorf("%v", out)
	}
}

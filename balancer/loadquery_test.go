package balancer

import (
	"fmt"
	"testing"
	"time"
)

func loadQuerySettings() Settings {
	return Settings{Proxies: 30, MaxAttempts: 3, MinEventInterval: time.Millisecond, SlowStartInitial: 0.3, SlowStartDuration: 8 * time.Second,
		OverloadFactor: 3, ConnectTimeout: 100 * time.Millisecond, AllowLoadQueries: true, LoadReports: LoadReportsByQuery,
		Prices:  Prices{LoadQuery: 0.002},
		Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, Idempotency: Idempotent}}}
}

func newLoadQueryingProxy(settings Settings) *Balancer {
	proxy := New(settings, 3)
	var list []Endpoint
	for i := range 20 {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z"})
	}
	proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: list})
	proxy.serviceTime, proxy.tightestObjective, proxy.responses = 0.1, 0.5, 100
	return proxy
}

func queriedEndpoints(actions []Action) (ids []EndpointID) {
	for _, a := range actions {
		if query, ok := a.(QueryLoad); ok {
			ids = append(ids, query.Endpoint)
		}
	}
	return ids
}

func attemptedEndpoints(actions []Action) (ids []EndpointID) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			ids = append(ids, s.Endpoint)
		}
	}
	return ids
}

func newLoadReport(inFlight, queueLength float64) *LoadReport {
	return &LoadReport{InFlight: inFlight, HasInFlight: true, QueueLength: queueLength, HasQueueLength: true}
}

// One of many proxies does not know what the others have sent: it queries two endpoints for their load and
// uses the less loaded one.
func TestQueriesTwoEndpointsAndPicksTheLessLoaded(t *testing.T) {
	proxy := newLoadQueryingProxy(loadQuerySettings())
	out := proxy.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
	queried := queriedEndpoints(out)
	if len(queried) != 2 || queried[0] == queried[1] || len(attemptedEndpoints(out)) > 0 {
		t.Fatalf("actions %v, want load queries to two endpoints and no attempt", out)
	}
	if out = proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[0], LoadReport: newLoadReport(2, 1)}); len(attemptedEndpoints(out)) > 0 {
		t.Fatal("attempt before the second load report")
	}
	if to := attemptedEndpoints(proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[1], LoadReport: newLoadReport(0, 0)})); len(to) != 1 || to[0] != queried[1] {
		t.Errorf("sent to %v, want %v", to, queried[1])
	}
}

// An endpoint that hangs answers no load query: after loadQueryTimeout the request goes to the other
// endpoint, which has answered.
func TestLoadQueryTimeoutDispatchesToTheEndpointThatAnswered(t *testing.T) {
	proxy := newLoadQueryingProxy(loadQuerySettings())
	queried := queriedEndpoints(proxy.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}))
	proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[0], LoadReport: newLoadReport(1, 0)})
	if to := attemptedEndpoints(proxy.Handle(proxy.now+loadQueryTimeout, TimerFired{Token: loadQueryToken})); len(to) != 1 || to[0] != queried[0] {
		t.Errorf("sent to %v, want %v", to, queried[0])
	}
}

// That two endpoints are full may be chance: further endpoints are queried before the request is rejected,
// but only for maxLoadQueryRounds.
func TestFullEndpointsLeadToFurtherLoadQueryRounds(t *testing.T) {
	proxy := newLoadQueryingProxy(loadQuerySettings())
	out := proxy.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
	for round := 1; round <= maxLoadQueryRounds; round++ {
		queried := queriedEndpoints(out)
		if len(queried) != 2 {
			t.Fatalf("round %d: actions %v, want two load queries", round, out)
		}
		proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[0], LoadReport: newLoadReport(30, 29)})
		out = proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[1], LoadReport: newLoadReport(30, 29)})
	}
	if len(out) != 1 || out[0].(Reject).ID != "a" {
		t.Errorf("actions after %d rounds: %v, want a rejection", maxLoadQueryRounds, out)
	}
}

// Where load queries are expensive, the proxy uses its own counts. The answer of an endpoint that is no
// longer listed must not add the endpoint again.
func TestNoLoadQueriesWhereTheyAreExpensive(t *testing.T) {
	settings := loadQuerySettings()
	settings.Prices.LoadQuery = 0.01
	proxy := newLoadQueryingProxy(settings)
	if out := proxy.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}); len(queriedEndpoints(out)) > 0 || len(attemptedEndpoints(out)) != 1 {
		t.Errorf("actions %v, want one attempt and no load query", out)
	}
	proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: 999, LoadReport: newLoadReport(0, 0)})
	if proxy.endpoints[999] != nil {
		t.Error("an unlisted endpoint was added")
	}
}

// Guards against state that grows as endpoints are replaced over months.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	proxy := newLoadQueryingProxy(loadQuerySettings())
	for i := range 5000 {
		proxy.Handle(proxy.now+time.Second, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{
			{ID: EndpointID(i + 100), State: Ready, StartedAt: proxy.now}, {ID: EndpointID(i + 99), State: Removed}}})
		id := RequestID(fmt.Sprint(i))
		proxy.Handle(proxy.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second})
		proxy.Handle(proxy.now+2*time.Second, TimerFired{})
	}
	if len(proxy.endpoints) > 25 || len(proxy.ring.endpoints) > 25 || len(proxy.requests) > 2 || len(proxy.openRequests) > 2 || len(proxy.awaitingLoad) > 2 {
		t.Errorf("%d endpoints known, %d requests, %d open, %d awaiting load reports", len(proxy.endpoints), len(proxy.requests), len(proxy.openRequests), len(proxy.awaitingLoad))
	}
}

// A limit on requests in flight must apply before a proxy has had responses. Otherwise a fully loaded fleet
// is overloaded in its first seconds, while all proxies still learn.
func TestInFlightLimitAppliesBeforeFirstResponses(t *testing.T) {
	proxy := newLoadQueryingProxy(loadQuerySettings())
	proxy.serviceTime, proxy.responses = 0, 0
	proxy.updateCandidates()
	ep := proxy.ring.endpoints[0]
	if proxy.recordLoadReport(ep, newLoadReport(1, 0)); proxy.updateMode(proxy.placements[0], ep) != Normal {
		t.Error("one request overloads an endpoint")
	}
	if proxy.recordLoadReport(ep, newLoadReport(9, 8)); proxy.updateMode(proxy.placements[0], ep) != Blocking {
		t.Error("nine requests at an unknown endpoint do not block it")
	}
}

// If a heavy request would be late behind the work of two endpoints, the proxy queries further endpoints. It
// sends a light request to one of the two.
func TestHeavyRequestQueriesFurtherEndpoints(t *testing.T) {
	for hint, want := range map[time.Duration]int{20 * time.Millisecond: 1, 400 * time.Millisecond: 0} {
		proxy := newLoadQueryingProxy(loadQuerySettings())
		c := proxy.classNamed("page", false)
		c.meanWorkHint, c.workHints = 0.1, 100
		queried := queriedEndpoints(proxy.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second, WorkHint: hint, HasWorkHint: true}))
		proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[0], LoadReport: newLoadReport(1, 0)})
		out := proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[1], LoadReport: newLoadReport(1, 0)})
		if len(attemptedEndpoints(out)) != want || len(queriedEndpoints(out)) != 2*(1-want) {
			t.Errorf("work hint %v: actions %v, want an attempt for a short hint, load queries for a long one", hint, out)
		}
	}
}

// An endpoint in slow start does the same work more slowly: a request that would be in time at a warm
// endpoint may be late there.
func TestSlowStartingEndpointCountsAsSlower(t *testing.T) {
	proxy := newLoadQueryingProxy(loadQuerySettings())
	queried := queriedEndpoints(proxy.Handle(time.Hour, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}))
	for _, id := range queried {
		proxy.beginSlowStart(proxy.endpoints[id], proxy.now)
		proxy.endpoints[id].slowStartTokens = 1
	}
	proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[0], LoadReport: newLoadReport(1, 0)})
	if out := proxy.Handle(proxy.now, LoadQueryEnded{Endpoint: queried[1], LoadReport: newLoadReport(1, 0)}); len(queriedEndpoints(out)) != 2 {
		t.Errorf("actions %v, want two further load queries", out)
	}
}

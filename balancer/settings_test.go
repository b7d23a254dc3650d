package balancer

import (
	"testing"
	"time"
)

func newSettings(classes ...Class) Settings {
	return Settings{Proxies: 1, MaxAttempts: 3, AllowCancel: true, SlowStartInitial: 0.2, SlowStartDuration: 20 * time.Second, OverloadFactor: 3,
		OverloadDuration: time.Second, Classes: classes, Tenants: []Tenant{{Name: "t", Quota: 10}}}
}

// newLearnedProxy returns a proxy with four endpoints that has answered some requests of class a.
func newLearnedProxy(t *testing.T) *Balancer {
	t.Helper()
	proxy := New(newSettings(Class{Name: "a", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent}), 3)
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z", Cell: i})
	}
	proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateComplete, Endpoints: list})
	for range 40 {
		proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{})
		out := attemptedEndpoints(proxy.Handle(proxy.now, RequestArrived{ID: "w", Class: "a", Timeout: time.Second}))
		if len(out) != 1 {
			t.Fatalf("attempts %v", out)
		}
		proxy.Handle(proxy.now+20*time.Millisecond, AttemptEnded{ID: "w", Endpoint: out[0], RequestAnswered: true, Elapsed: 20 * time.Millisecond})
	}
	return proxy
}

// startRequest sends a request and returns the endpoint of its only attempt.
func startRequest(t *testing.T, proxy *Balancer, e RequestArrived) EndpointID {
	t.Helper()
	out := proxy.Handle(proxy.now, e)
	if ids := attemptedEndpoints(out); len(ids) == 1 {
		return ids[0]
	}
	t.Fatalf("actions for request %s: %v, want one attempt", e.ID, out)
	return 0
}

// Open requests keep the idempotency and the number of attempts that they arrived with; later requests get
// the new ones. What was learned is retained.
func TestOpenRequestsKeepTheirClassAfterSettingsChange(t *testing.T) {
	proxy := newLearnedProxy(t)
	meanBefore, responsesBefore := proxy.meanLatency, proxy.classes["a"].responses
	before := startRequest(t, proxy, RequestArrived{ID: "before", Class: "a", Timeout: time.Second})
	settings := newSettings(Class{Name: "a", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: NotIdempotent},
		Class{Name: "b", PriorityWeight: 5, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: IdempotentByKey, DedupScope: DedupInCell})
	settings.MaxAttempts = 5
	proxy.Handle(proxy.now, SettingsChanged{Settings: settings})
	if proxy.meanLatency != meanBefore || proxy.classes["a"].responses != responsesBefore || len(proxy.ring.endpoints) != 4 || proxy.placements[0].maxPriorityWeight != 5 {
		t.Errorf("mean latency %v, want %v; %v responses, want %v; %d endpoints; highest weight %v", proxy.meanLatency, meanBefore, proxy.classes["a"].responses, responsesBefore,
			len(proxy.ring.endpoints), proxy.placements[0].maxPriorityWeight)
	}
	after := startRequest(t, proxy, RequestArrived{ID: "after", Class: "a", Timeout: time.Second})
	withPreviousSettings := startRequest(t, proxy, RequestArrived{ID: "previous", Class: "a", PreviousSettings: true, Timeout: time.Second})
	for _, c := range []struct {
		id        RequestID
		at        EndpointID
		wantRetry bool
	}{{"before", before, true}, {"after", after, false}, {"previous", withPreviousSettings, true}} {
		out := proxy.Handle(proxy.now, AttemptEnded{ID: c.id, Endpoint: c.at, Outcome: ConnectionReset})
		if (len(attemptedEndpoints(out)) == 1) != c.wantRetry {
			t.Errorf("actions for request %s after a connection reset: %v", c.id, out)
		}
	}
}

// A class that is added or removed does not change the others. A lower maximum number of attempts applies at
// once, also to open requests.
func TestAddedAndRemovedClassesLeaveOthersUnchanged(t *testing.T) {
	proxy := newLearnedProxy(t)
	openAt := startRequest(t, proxy, RequestArrived{ID: "kept", Class: "a", Timeout: time.Second})
	settings := newSettings(Class{Name: "b", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, Idempotency: Idempotent, AllowedZones: []string{"y"}})
	settings.MaxAttempts = 1
	proxy.Handle(proxy.now, SettingsChanged{Settings: settings})
	if out := proxy.Handle(proxy.now, AttemptEnded{ID: "kept", Endpoint: openAt, Outcome: Rejected}); len(attemptedEndpoints(out)) != 0 {
		t.Errorf("a second attempt where one is allowed: %v", out)
	}
	if out := proxy.Handle(proxy.now, RequestArrived{ID: "b", Class: "b", Timeout: time.Second}); len(attemptedEndpoints(out)) != 0 {
		t.Errorf("attempt of a class whose zone has no endpoint: %v", out)
	}
	for range 10 {
		proxy.Handle(proxy.now, SettingsChanged{Settings: newSettings(Class{Name: "b", Idempotency: Idempotent, AllowedZones: []string{"z"}})})
		proxy.Handle(proxy.now, SettingsChanged{Settings: newSettings(Class{Name: "b", Idempotency: Idempotent})})
	}
	if len(proxy.placements) > 3 || len(proxy.tenants) != 1 {
		t.Errorf("%d placements and %d tenants are left", len(proxy.placements), len(proxy.tenants))
	}
	startRequest(t, proxy, RequestArrived{ID: "b2", Class: "b", Timeout: time.Second})
	proxy.Handle(proxy.now+time.Hour, TimerFired{}) // past the deadlines of all requests
}

package balancer

import (
	"fmt"
	"testing"
	"time"
)

// countAttempts sends n requests, which are answered after 20 ms, and counts the attempts by endpoint.
func countAttempts(t *testing.T, proxy *Balancer, n int) map[EndpointID]int {
	t.Helper()
	attempts := map[EndpointID]int{}
	for i := range n {
		id := RequestID(fmt.Sprint("request", i))
		proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{})
		for _, to := range attemptedEndpoints(proxy.Handle(proxy.now, RequestArrived{ID: id, Class: "a", Timeout: time.Second})) {
			attempts[to]++
			proxy.Handle(proxy.now+20*time.Millisecond, AttemptEnded{ID: id, Endpoint: to, RequestAnswered: true, Elapsed: 20 * time.Millisecond})
		}
	}
	return attempts
}

// Maintenance continues through every change of the list, and ends only by the operator's order. The endpoint
// then begins a slow start, in which it gets traffic.
func TestMaintenanceContinuesThroughListChanges(t *testing.T) {
	proxy := newLearnedProxy(t)
	updateList := func(kind UpdateKind, entries ...Endpoint) {
		proxy.Handle(proxy.now, EndpointsUpdated{Kind: kind, Endpoints: entries})
	}
	completeList := []Endpoint{{ID: 1, Zone: "z"}, {ID: 2, Zone: "z"}, {ID: 3, Zone: "z"}, {ID: 4, Zone: "z"}}
	if out := proxy.Handle(proxy.now, Maintenance{Endpoint: 2, On: true}); len(out) != 1 || out[0] != Action(CloseIdleConnections{Endpoint: 2}) {
		t.Errorf("the first call: %v", out)
	}
	if out := proxy.Handle(proxy.now, Maintenance{Endpoint: 2, On: true}); len(out) != 0 {
		t.Errorf("the second call: %v", out) // two orders to begin maintenance need only one to end it
	}
	for _, c := range []struct {
		name   string
		change func()
	}{
		{"the start of maintenance", func() {}},
		{"an incremental update", func() { updateList(UpdateIncremental, Endpoint{ID: 2, Zone: "z"}) }},
		{"a complete update", func() { updateList(UpdateComplete, completeList...) }},
		{"a restart", func() { updateList(UpdateIncremental, Endpoint{ID: 2, Zone: "z", StartedAt: proxy.now}) }},
		{"its removal and return", func() {
			updateList(UpdateIncremental, Endpoint{ID: 2, State: Removed})
			updateList(UpdateIncremental, Endpoint{ID: 2, Zone: "z"})
		}},
		{"new settings", func() { proxy.Handle(proxy.now, SettingsChanged{Settings: proxy.settings}) }},
	} {
		if c.change(); proxy.Unavailable() != 1 {
			t.Errorf("after %s: %d endpoints count as ejected, want 1", c.name, proxy.Unavailable())
		}
		if attempts := countAttempts(t, proxy, 50); attempts[2] != 0 || attempts[1]+attempts[3]+attempts[4] != 50 {
			t.Errorf("after %s: attempts %v", c.name, attempts)
		}
	}
	proxy.Handle(proxy.now, Maintenance{Endpoint: 2})
	if ep := proxy.endpoints[2]; !ep.slowStarting || ep.slowStartSince != proxy.now || proxy.Unavailable() != 0 {
		t.Errorf("after the return: %+v", ep)
	}
	attempts := countAttempts(t, proxy, 70) // takes about 5 s
	if attempts[2] == 0 || attempts[2] >= 20 {
		t.Errorf("in the 5 s after the maintenance: attempts %v, want those of a slow start", attempts)
	}
	slowStartSince := proxy.endpoints[2].slowStartSince
	proxy.Handle(proxy.now, Maintenance{Endpoint: 2})
	if proxy.endpoints[2].slowStartSince != slowStartSince {
		t.Error("a repeated end of the maintenance begins another slow start")
	}
}

// With all endpoints in maintenance requests are rejected at once. Maintenance can begin before an endpoint
// is listed.
func TestMaintenanceOfAllEndpointsRejectsRequests(t *testing.T) {
	proxy := newLearnedProxy(t)
	for id := range 4 {
		proxy.Handle(proxy.now, Maintenance{Endpoint: EndpointID(id + 1), On: true})
	}
	out := proxy.Handle(proxy.now, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	if len(out) != 1 || len(attemptedEndpoints(out)) != 0 {
		t.Errorf("with no endpoint left: %v, want a rejection", out)
	} else if _, ok := out[0].(Reject); !ok {
		t.Errorf("with no endpoint left: %v, want a rejection", out)
	}
	proxy.Handle(proxy.now, Maintenance{Endpoint: 9, On: true}) // the endpoint is not listed yet
	proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 9, Zone: "z"}}})
	if attempts := countAttempts(t, proxy, 10); len(attempts) != 0 {
		t.Errorf("attempts %v", attempts)
	}
	proxy.Handle(proxy.now, Maintenance{Endpoint: 9})
	if attempts := countAttempts(t, proxy, 100); attempts[9] == 0 || len(attempts) != 1 {
		t.Errorf("with one endpoint back: attempts %v", attempts)
	}
}

// An attempt that is in flight when maintenance begins ends as usual. Its connection is then closed, and its
// retry uses another endpoint.
func TestMaintenanceLetsAttemptInFlightEnd(t *testing.T) {
	proxy := newLearnedProxy(t)
	at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	proxy.Handle(proxy.now, Maintenance{Endpoint: at, On: true})
	out := proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, Outcome: NotSent})
	if retriedAt := attemptedEndpoints(out); len(retriedAt) != 1 || retriedAt[0] == at || out[0] != Action(CloseIdleConnections{Endpoint: at}) {
		t.Errorf("after an attempt that was not sent: %v", out)
	}
}

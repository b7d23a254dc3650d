package balancer

import (
	"fmt"
	"testing"
	"time"
)

// countAttempts sends n requests, which are answered after 20 ms, and counts the attempts by endpoint.
func countAttempts(t *testing.T, proxy *Balancer, n int) map[EndpointID]int {
	t.Helper()
	got := map[EndpointID]int{}
	for i := range n {
		id := RequestID(fmt.Sprint("ask", i))
		proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{})
		for _, to := range attemptedEndpoints(proxy.Handle(proxy.now, RequestArrived{ID: id, Class: "a", Timeout: time.Second})) {
			got[to]++
			proxy.Handle(proxy.now+20*time.Millisecond, AttemptEnded{ID: id, Endpoint: to, RequestAnswered: true, Elapsed: 20 * time.Millisecond})
		}
	}
	return got
}

// Maintenance holds through every change of the list, and ends only by the operator's order. The endpoint
// then begins a slow start, and gets traffic in it.
func TestMaintenanceHoldsThroughListChanges(t *testing.T) {
	proxy := newLearnedProxy(t)
	list := func(kind UpdateKind, entries ...Endpoint) {
		proxy.Handle(proxy.now, EndpointsUpdated{Kind: kind, Endpoints: entries})
	}
	all := []Endpoint{{ID: 1, Zone: "z"}, {ID: 2, Zone: "z"}, {ID: 3, Zone: "z"}, {ID: 4, Zone: "z"}}
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
		{"the ban", func() {}},
		{"a change", func() { list(UpdateIncremental, Endpoint{ID: 2, Zone: "z"}) }},
		{"a full one", func() { list(UpdateComplete, all...) }},
		{"a restart", func() { list(UpdateIncremental, Endpoint{ID: 2, Zone: "z", StartedAt: proxy.now}) }},
		{"its leaving and coming", func() {
			list(UpdateIncremental, Endpoint{ID: 2, State: Removed})
			list(UpdateIncremental, Endpoint{ID: 2, Zone: "z"})
		}},
		{"new settings", func() { proxy.Handle(proxy.now, SettingsChanged{Settings: proxy.settings}) }},
	} {
		if c.change(); proxy.Ejected() != 1 {
			t.Errorf("after %s: %d endpoints count as ejected, want 1", c.name, proxy.Ejected())
		}
		if got := countAttempts(t, proxy, 50); got[2] != 0 || got[1]+got[3]+got[4] != 50 {
			t.Errorf("after %s: attempts %v", c.name, got)
		}
	}
	proxy.Handle(proxy.now, Maintenance{Endpoint: 2})
	if s := proxy.endpoints[2]; !s.slowStarting || s.slowStartSince != proxy.now || proxy.Ejected() != 0 {
		t.Errorf("after the return: %+v", s)
	}
	cold := countAttempts(t, proxy, 70) // takes about 5 s
	if cold[2] == 0 || cold[2] >= 20 {
		t.Errorf("in the 5 s after the maintenance: attempts %v, want those of a slow start", cold)
	}
	since := proxy.endpoints[2].slowStartSince
	proxy.Handle(proxy.now, Maintenance{Endpoint: 2})
	if proxy.endpoints[2].slowStartSince != since {
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
	if got := countAttempts(t, proxy, 10); len(got) != 0 {
		t.Errorf("attempts %v", got)
	}
	proxy.Handle(proxy.now, Maintenance{Endpoint: 9})
	if got := countAttempts(t, proxy, 100); got[9] == 0 || len(got) != 1 {
		t.Errorf("with one endpoint back: attempts %v", got)
	}
}

// An attempt that is in flight when maintenance begins ends as usual. Its connection is then closed, and its
// retry uses another endpoint.
func TestMaintenanceWithAttemptInFlight(t *testing.T) {
	proxy := newLearnedProxy(t)
	at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	proxy.Handle(proxy.now, Maintenance{Endpoint: at, On: true})
	out := proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, Outcome: NotSent})
	if again := attemptedEndpoints(out); len(again) != 1 || again[0] == at || out[0] != Action(CloseIdleConnections{Endpoint: at}) {
		t.Errorf("after an attempt that was not sent: %v", out)
	}
}

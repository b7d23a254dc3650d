package balancer

import (
	"fmt"
	"testing"
	"time"
)

// ask sends a number of requests, answered at once, and counts them by server.
func ask(t *testing.T, m *Balancer, n int) map[EndpointID]int {
	t.Helper()
	got := map[EndpointID]int{}
	for i := range n {
		id := RequestID(fmt.Sprint("ask", i))
		m.Handle(m.now+50*time.Millisecond, TimerFired{})
		for _, to := range sends(m.Handle(m.now, RequestArrived{ID: id, Class: "a", Timeout: time.Second})) {
			got[to]++
			m.Handle(m.now+20*time.Millisecond, AttemptEnded{ID: id, Endpoint: to, RequestAnswered: true, Elapsed: 20 * time.Millisecond})
		}
	}
	return got
}

// A ban holds through every change of the list, and only the call back ends it. The return is a cold start, with
// traffic in it.
func TestMaintenance(t *testing.T) {
	m := plainNode(t)
	list := func(kind UpdateKind, entries ...Endpoint) {
		m.Handle(m.now, EndpointsUpdated{Kind: kind, Endpoints: entries})
	}
	all := []Endpoint{{ID: 1, Zone: "z"}, {ID: 2, Zone: "z"}, {ID: 3, Zone: "z"}, {ID: 4, Zone: "z"}}
	if out := m.Handle(m.now, Maintenance{Endpoint: 2, On: true}); len(out) != 1 || out[0] != Action(CloseIdleConnections{Endpoint: 2}) {
		t.Errorf("the first call: %v", out)
	}
	if out := m.Handle(m.now, Maintenance{Endpoint: 2, On: true}); len(out) != 0 {
		t.Errorf("the second call: %v", out) // two calls out need one call back
	}
	for _, c := range []struct {
		name   string
		change func()
	}{
		{"the ban", func() {}},
		{"a change", func() { list(UpdateIncremental, Endpoint{ID: 2, Zone: "z"}) }},
		{"a full one", func() { list(UpdateComplete, all...) }},
		{"a restart", func() { list(UpdateIncremental, Endpoint{ID: 2, Zone: "z", StartedAt: m.now}) }},
		{"its leaving and coming", func() {
			list(UpdateIncremental, Endpoint{ID: 2, State: Removed})
			list(UpdateIncremental, Endpoint{ID: 2, Zone: "z"})
		}},
		{"new settings", func() { m.Handle(m.now, SettingsChanged{Settings: m.settings}) }},
	} {
		if c.change(); m.Ejected() != 1 {
			t.Errorf("after %s %d servers are ejected", c.name, m.Ejected())
		}
		if got := ask(t, m, 50); got[2] != 0 || got[1]+got[3]+got[4] != 50 {
			t.Errorf("after %s: sends %v", c.name, got)
		}
	}
	m.Handle(m.now, Maintenance{Endpoint: 2})
	if s := m.endpoints[2]; !s.slowStarting || s.slowStartSince != m.now || m.Ejected() != 0 {
		t.Errorf("back: %+v", s)
	}
	cold := ask(t, m, 70) // about 5 s
	if cold[2] == 0 || cold[2] >= 20 {
		t.Errorf("in the 5 s after: sends %v, want a cold server's part", cold)
	}
	since := m.endpoints[2].slowStartSince
	m.Handle(m.now, Maintenance{Endpoint: 2})
	if m.endpoints[2].slowStartSince != since {
		t.Error("a second call back starts it cold once more")
	}
}

func TestMaintenanceOfAll(t *testing.T) {
	m := plainNode(t)
	for id := range 4 {
		m.Handle(m.now, Maintenance{Endpoint: EndpointID(id + 1), On: true})
	}
	out := m.Handle(m.now, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	if len(out) != 1 || len(sends(out)) != 0 {
		t.Errorf("with none left: %v, want a refusal", out)
	} else if _, ok := out[0].(Reject); !ok {
		t.Errorf("with none left: %v, want a refusal", out)
	}
	m.Handle(m.now, Maintenance{Endpoint: 9, On: true}) // it is in no list yet
	m.Handle(m.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 9, Zone: "z"}}})
	if got := ask(t, m, 10); len(got) != 0 {
		t.Errorf("sends %v", got)
	}
	m.Handle(m.now, Maintenance{Endpoint: 9})
	if got := ask(t, m, 100); got[9] == 0 || len(got) != 1 {
		t.Errorf("with one back: sends %v", got)
	}
}

// An attempt that was out when the ban came ends as it ends; its connection is closed, and nothing is tried there.
func TestMaintenanceWithAttemptsOut(t *testing.T) {
	m := plainNode(t)
	at := sentTo(t, m, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	m.Handle(m.now, Maintenance{Endpoint: at, On: true})
	out := m.Handle(m.now, AttemptEnded{ID: "q", Endpoint: at, Outcome: NotSent})
	if again := sends(out); len(again) != 1 || again[0] == at || out[0] != Action(CloseIdleConnections{Endpoint: at}) {
		t.Errorf("an attempt that the node did not write: %v", out)
	}
}

package balancer

import (
	"testing"
	"time"
)

func plainSettings(classes ...Class) Settings {
	return Settings{Proxies: 1, MaxAttempts: 3, AllowCancel: true, SlowStartInitial: 0.2, SlowStartDuration: 20 * time.Second, OverloadFactor: 3,
		OverloadDuration: time.Second, Classes: classes, Tenants: []Tenant{{Name: "t", Quota: 10}}}
}

// plainNode has four servers and has answered some requests of class a.
func plainNode(t *testing.T) *Balancer {
	t.Helper()
	m := New(plainSettings(Class{Name: "a", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent}), 3)
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z", Cell: i})
	}
	m.Handle(time.Hour, EndpointsUpdated{Kind: UpdateComplete, Endpoints: list})
	for range 40 {
		m.Handle(m.now+50*time.Millisecond, TimerFired{})
		out := sends(m.Handle(m.now, RequestArrived{ID: "w", Class: "a", Timeout: time.Second}))
		if len(out) != 1 {
			t.Fatalf("sends %v", out)
		}
		m.Handle(m.now+20*time.Millisecond, AttemptEnded{ID: "w", Endpoint: out[0], RequestAnswered: true, Elapsed: 20 * time.Millisecond})
	}
	return m
}

// sentTo opens a request and gives the one server that it went to.
func sentTo(t *testing.T, m *Balancer, e RequestArrived) EndpointID {
	t.Helper()
	out := m.Handle(m.now, e)
	if ids := sends(out); len(ids) == 1 {
		return ids[0]
	}
	t.Fatalf("request %s: %v", e.ID, out)
	return 0
}

// Open requests keep the effect and the attempts that they came with, later ones have the new; what was learned stays.
func TestSettingsChange(t *testing.T) {
	m := plainNode(t)
	mean, count := m.meanLatency, m.classes["a"].responses
	before := sentTo(t, m, RequestArrived{ID: "before", Class: "a", Timeout: time.Second})
	s := plainSettings(Class{Name: "a", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: NotIdempotent},
		Class{Name: "b", PriorityWeight: 5, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: IdempotentByKey, DedupScope: DedupInCell})
	s.MaxAttempts = 5
	m.Handle(m.now, SettingsChanged{Settings: s})
	if m.meanLatency != mean || m.classes["a"].responses != count || len(m.ring.endpoints) != 4 || m.placements[0].maxPriorityWeight != 5 {
		t.Errorf("mean %v of %v, %v answers of %v, %d servers, top worth %v", m.meanLatency, mean, m.classes["a"].responses, count,
			len(m.ring.endpoints), m.placements[0].maxPriorityWeight)
	}
	after := sentTo(t, m, RequestArrived{ID: "after", Class: "a", Timeout: time.Second})
	former := sentTo(t, m, RequestArrived{ID: "former", Class: "a", PreviousSettings: true, Timeout: time.Second})
	for _, c := range []struct {
		id    RequestID
		at    EndpointID
		again bool
	}{{"before", before, true}, {"after", after, false}, {"former", former, true}} {
		out := m.Handle(m.now, AttemptEnded{ID: c.id, Endpoint: c.at, Outcome: ConnectionReset})
		if (len(sends(out)) == 1) != c.again {
			t.Errorf("%s after a reset: %v", c.id, out)
		}
	}
}

// A class that comes or goes changes nothing for those that stay, and fewer attempts bind at once.
func TestClassesComeAndGo(t *testing.T) {
	m := plainNode(t)
	kept := sentTo(t, m, RequestArrived{ID: "kept", Class: "a", Timeout: time.Second})
	s := plainSettings(Class{Name: "b", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, Idempotency: Idempotent, AllowedZones: []string{"y"}})
	s.MaxAttempts = 1
	m.Handle(m.now, SettingsChanged{Settings: s})
	if out := m.Handle(m.now, AttemptEnded{ID: "kept", Endpoint: kept, Outcome: Rejected}); len(sends(out)) != 0 {
		t.Errorf("a second attempt of one: %v", out)
	}
	if out := m.Handle(m.now, RequestArrived{ID: "b", Class: "b", Timeout: time.Second}); len(sends(out)) != 0 {
		t.Errorf("a class whose zone has no server: %v", out)
	}
	for range 10 {
		m.Handle(m.now, SettingsChanged{Settings: plainSettings(Class{Name: "b", Idempotency: Idempotent, AllowedZones: []string{"z"}})})
		m.Handle(m.now, SettingsChanged{Settings: plainSettings(Class{Name: "b", Idempotency: Idempotent})})
	}
	if len(m.placements) > 3 || len(m.tenants) != 1 {
		t.Errorf("%d groups and %d tenants are left", len(m.placements), len(m.tenants))
	}
	sentTo(t, m, RequestArrived{ID: "b2", Class: "b", Timeout: time.Second})
	m.Handle(m.now+time.Hour, TimerFired{}) // all of them are answered by now
}

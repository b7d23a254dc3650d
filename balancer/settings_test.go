package balancer

import (
	"testing"
	"time"
)

func plainSettings(classes ...Class) Settings {
	return Settings{Nodes: 1, MaxAttempts: 3, MayCancel: true, ColdFrom: 0.2, ColdTime: 20 * time.Second, OverloadFactor: 3,
		OverloadTime: time.Second, Classes: classes, Tenants: []Tenant{{Name: "t", Quota: 10}}}
}

// plainNode has four servers and has answered some requests of class a.
func plainNode(t *testing.T) *Module {
	t.Helper()
	m := New(plainSettings(Class{Name: "a", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: Safe}), 3)
	var list []Server
	for i := range 4 {
		list = append(list, Server{ID: ServerID(i + 1), Zone: "z", Cell: i})
	}
	m.Handle(time.Hour, ListUpdate{Kind: ListFull, Entries: list})
	for range 40 {
		m.Handle(m.now+50*time.Millisecond, TimerFired{})
		out := sends(m.Handle(m.now, RequestArrived{ID: "w", Class: "a", Patience: time.Second}))
		if len(out) != 1 {
			t.Fatalf("sends %v", out)
		}
		m.Handle(m.now+20*time.Millisecond, AttemptEnded{ID: "w", Server: out[0], Over: true, Elapsed: 20 * time.Millisecond})
	}
	return m
}

// sentTo opens a request and gives the one server that it went to.
func sentTo(t *testing.T, m *Module, e RequestArrived) ServerID {
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
	mean, count := m.mean, m.classes["a"].count
	before := sentTo(t, m, RequestArrived{ID: "before", Class: "a", Patience: time.Second})
	s := plainSettings(Class{Name: "a", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: Unsafe},
		Class{Name: "b", Worth: 5, Aim: time.Second, Deadline: 2 * time.Second, Effect: Keyed, KeyScope: ScopeCell})
	s.MaxAttempts = 5
	m.Handle(m.now, SettingsChanged{Settings: s})
	if m.mean != mean || m.classes["a"].count != count || len(m.list.servers) != 4 || m.groups[0].top != 5 {
		t.Errorf("mean %v of %v, %v answers of %v, %d servers, top worth %v", m.mean, mean, m.classes["a"].count, count,
			len(m.list.servers), m.groups[0].top)
	}
	after := sentTo(t, m, RequestArrived{ID: "after", Class: "a", Patience: time.Second})
	former := sentTo(t, m, RequestArrived{ID: "former", Class: "a", Former: true, Patience: time.Second})
	for _, c := range []struct {
		id    RequestID
		at    ServerID
		again bool
	}{{"before", before, true}, {"after", after, false}, {"former", former, true}} {
		out := m.Handle(m.now, AttemptEnded{ID: c.id, Server: c.at, Code: Reset})
		if (len(sends(out)) == 1) != c.again {
			t.Errorf("%s after a reset: %v", c.id, out)
		}
	}
}

// A class that comes or goes changes nothing for those that stay, and fewer attempts bind at once.
func TestClassesComeAndGo(t *testing.T) {
	m := plainNode(t)
	kept := sentTo(t, m, RequestArrived{ID: "kept", Class: "a", Patience: time.Second})
	s := plainSettings(Class{Name: "b", Worth: 1, Aim: time.Second, Deadline: time.Second, Effect: Safe, OnlyZones: []string{"y"}})
	s.MaxAttempts = 1
	m.Handle(m.now, SettingsChanged{Settings: s})
	if out := m.Handle(m.now, AttemptEnded{ID: "kept", Server: kept, Code: Full}); len(sends(out)) != 0 {
		t.Errorf("a second attempt of one: %v", out)
	}
	if out := m.Handle(m.now, RequestArrived{ID: "b", Class: "b", Patience: time.Second}); len(sends(out)) != 0 {
		t.Errorf("a class whose zone has no server: %v", out)
	}
	for range 10 {
		m.Handle(m.now, SettingsChanged{Settings: plainSettings(Class{Name: "b", Effect: Safe, OnlyZones: []string{"z"}})})
		m.Handle(m.now, SettingsChanged{Settings: plainSettings(Class{Name: "b", Effect: Safe})})
	}
	if len(m.groups) > 3 || len(m.tenants) != 1 {
		t.Errorf("%d groups and %d tenants are left", len(m.groups), len(m.tenants))
	}
	sentTo(t, m, RequestArrived{ID: "b2", Class: "b", Patience: time.Second})
	m.Handle(m.now+time.Hour, TimerFired{}) // all of them are answered by now
}

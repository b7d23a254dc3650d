package balancer

import (
	"testing"
	"time"
)

// A variant of a class goes where it may, and limits know it as its class, in the settings and in those before.
func TestVariantOfAClass(t *testing.T) {
	table := newTable()
	table.add(-1, OfFleet, "", UnitRepeats)
	table.Levels = []Level{{Above: 0.5, Refuse: []string{"view"}, Status: 429, Wait: time.Second}}
	if err := table.Ready(); err != nil {
		t.Fatal(err)
	}
	m := plainModule()
	m.Handle(0, ListUpdate{Kind: ListFull, Entries: []Server{{ID: 1, Zone: "a"}, {ID: 2, Zone: "b"}}})
	plain := m.set
	with := plain
	variant := plain.Classes[0]
	variant.Name, variant.Of, variant.OnlyZones = "view of b", "view", []string{"b"}
	with.Classes = append(with.Classes[:1:1], variant)
	m.classes["view"].latency = 7
	m.Handle(0, SettingsChanged{Settings: with})
	if k := m.classes["view of b"]; k.latency != 7 || k.Worth != 1 {
		t.Errorf("it begins with %+v", k)
	}
	for i := range 20 {
		id := RequestID(rune('a' + i))
		for _, a := range m.Handle(time.Hour, RequestArrived{ID: id, Class: "view of b", Patience: time.Second}) {
			if s, ok := a.(Send); ok {
				if s.Server != 2 {
					t.Fatalf("%+v", s)
				}
				m.Handle(time.Hour, AttemptEnded{ID: id, Server: 2, Code: OK, Over: true})
			}
		}
	}
	m.Handle(time.Hour, TableChanged{Table: table, Hand: handOf(table)})
	m.Handle(time.Hour, LevelChanged{Level: 1})
	for _, former := range []bool{false, true} {
		if former {
			m.Handle(time.Hour, SettingsChanged{Settings: plain})
		}
		out := m.Handle(time.Hour, RequestArrived{ID: "x", Class: "view of b", Former: former, Patience: time.Second})
		if r, ok := out[0].(Refuse); !ok || r.Status != 429 {
			t.Errorf("former %v: %+v", former, out)
		}
	}
}

package balancer

import (
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// A variant of a class goes where it may, and limits know it as its class, in the settings and in those before.
func TestVariantOfAClass(t *testing.T) {
	table := fleetTable(ratelimit.UnitRetries)
	table.Levels = []ratelimit.DegradationLevel{{EnterAbove: 0.5, RejectClasses: []string{"view"}, Status: 429, RetryAfter: time.Second}}
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	m := plainModule()
	m.Handle(0, EndpointsUpdated{Kind: UpdateComplete, Endpoints: []Endpoint{{ID: 1, Zone: "a"}, {ID: 2, Zone: "b"}}})
	plain := m.settings
	with := plain
	variant := plain.Classes[0]
	variant.Name, variant.VariantOf, variant.AllowedZones = "view of b", "view", []string{"b"}
	with.Classes = append(with.Classes[:1:1], variant)
	m.classes["view"].meanLatency = 7
	m.Handle(0, SettingsChanged{Settings: with})
	if k := m.classes["view of b"]; k.meanLatency != 7 || k.PriorityWeight != 1 {
		t.Errorf("it begins with %+v", k)
	}
	for i := range 20 {
		id := RequestID(rune('a' + i))
		for _, a := range m.Handle(time.Hour, RequestArrived{ID: id, Class: "view of b", Timeout: time.Second}) {
			if s, ok := a.(StartAttempt); ok {
				if s.Endpoint != 2 {
					t.Fatalf("%+v", s)
				}
				m.Handle(time.Hour, AttemptEnded{ID: id, Endpoint: 2, Outcome: OK, RequestAnswered: true})
			}
		}
	}
	m.Handle(time.Hour, TableChanged{Table: table, Tokens: tokensOf(table)})
	m.Handle(time.Hour, DegradationChanged{Level: 1})
	for _, former := range []bool{false, true} {
		if former {
			m.Handle(time.Hour, SettingsChanged{Settings: plain})
		}
		out := m.Handle(time.Hour, RequestArrived{ID: "x", Class: "view of b", PreviousSettings: former, Timeout: time.Second})
		if r, ok := out[0].(Reject); !ok || r.Status != 429 {
			t.Errorf("former %v: %+v", former, out)
		}
	}
}

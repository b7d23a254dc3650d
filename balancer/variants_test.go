package balancer

import (
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// A variant of a class uses the endpoints that its own rule allows. Limits apply to it as to its class, in
// the present and in the previous settings.
func TestVariantIsPlacedByItsRuleAndLimitedAsItsClass(t *testing.T) {
	table := fleetTable(ratelimit.UnitRetries)
	table.Levels = []ratelimit.DegradationLevel{{EnterAbove: 0.5, RejectClasses: []string{"view"}, Status: 429, RetryAfter: time.Second}}
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	proxy := newLimitedBalancer()
	proxy.Handle(0, EndpointsUpdated{Kind: UpdateComplete, Endpoints: []Endpoint{{ID: 1, Zone: "a"}, {ID: 2, Zone: "b"}}})
	withoutVariant := proxy.settings
	withVariant := withoutVariant
	variant := withoutVariant.Classes[0]
	variant.Name, variant.VariantOf, variant.AllowedZones = "view-b", "view", []string{"b"}
	withVariant.Classes = append(withVariant.Classes[:1:1], variant)
	proxy.classes["view"].meanLatency = 7
	proxy.Handle(0, SettingsChanged{Settings: withVariant})
	if c := proxy.classes["view-b"]; c.meanLatency != 7 || c.PriorityWeight != 1 {
		t.Errorf("the variant begins with %+v, want the state of its class", c)
	}
	for i := range 20 {
		id := RequestID(rune('a' + i))
		for _, a := range proxy.Handle(time.Hour, RequestArrived{ID: id, Class: "view-b", Timeout: time.Second}) {
			if s, ok := a.(StartAttempt); ok {
				if s.Endpoint != 2 {
					t.Fatalf("attempt %+v, want one at endpoint 2", s)
				}
				proxy.Handle(time.Hour, AttemptEnded{ID: id, Endpoint: 2, Outcome: OK, RequestAnswered: true})
			}
		}
	}
	proxy.Handle(time.Hour, TableChanged{Table: table, Tokens: newTokens(table)})
	proxy.Handle(time.Hour, DegradationChanged{Level: 1})
	for _, previous := range []bool{false, true} {
		if previous {
			proxy.Handle(time.Hour, SettingsChanged{Settings: withoutVariant})
		}
		out := proxy.Handle(time.Hour, RequestArrived{ID: "x", Class: "view-b", PreviousSettings: previous, Timeout: time.Second})
		if r, ok := out[0].(Reject); !ok || r.Status != 429 {
			t.Errorf("previous settings: %v, actions %+v, want a rejection with status 429", previous, out)
		}
	}
}

package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// fixedTokens implements ratelimit.Tokens with numbers that tests set.
type fixedTokens struct{ available, capacity []float64 }

func newTokens(t *ratelimit.Table) *fixedTokens {
	return &fixedTokens{available: make([]float64, t.TokenSlots()), capacity: make([]float64, t.TokenSlots())}
}

func (f *fixedTokens) Available(slot int) float64      { return f.available[slot] }
func (f *fixedTokens) Capacity(slot int) float64       { return f.capacity[slot] }
func (f *fixedTokens) Take(slot int, amount float64)   { f.available[slot] -= amount }
func (f *fixedTokens) Return(slot int, amount float64) { f.available[slot] += amount }
func (f *fixedTokens) Rejected(int, float64)           {}

// fleetTable returns a table with one limit, on all requests.
func fleetTable(unit ratelimit.Unit) *ratelimit.Table {
	table := &ratelimit.Table{Format: ratelimit.Format, Scopes: []ratelimit.Scope{{Parent: -1, LimitCount: 1}}}
	table.Limits = []ratelimit.Limit{{Parent: -1, Unit: unit, Rate: 10, Weight: 1, Borrow: true, FallbackShare: 0.25, Status: 429,
		RetryAfter: time.Second}}
	table.Limits[0].Name, _ = table.LimitName(0, unit)
	return table
}

// sendRequests sends n requests of alternating classes to a balancer with two endpoints, and returns the
// actions for each.
func sendRequests(proxy *Balancer, n int, classes ...string) (out [][]Action) {
	now := time.Hour
	proxy.Handle(now, EndpointsUpdated{Kind: UpdateComplete, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
	for i := range n {
		now += time.Millisecond
		out = append(out, proxy.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: classes[i%len(classes)], Tenant: "book",
			Timeout: time.Second}))
	}
	return out
}

func newLimitedBalancer() *Balancer {
	return New(Settings{Proxies: 1, MaxAttempts: 2, SendRetryAfter: true, MaxRetryAfter: time.Minute, MinEventInterval: time.Millisecond, Zone: "site",
		Classes: []Class{{Name: "view", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second}}}, 1)
}

// concurrencyTable returns a table with a limit of two requests in flight and a degradation level that sheds
// the class report.
func concurrencyTable(t *testing.T) (*ratelimit.Table, *fixedTokens) {
	table := fleetTable(ratelimit.UnitConcurrency)
	table.Limits[0].RetryAfter = 10 * time.Second
	table.Levels = []ratelimit.DegradationLevel{{EnterAbove: 0.5, RejectClasses: []string{"report"}, Status: 503, RetryAfter: time.Second}}
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	tokens := newTokens(table)
	tokens.available[0], tokens.capacity[0] = 2, 2
	return table, tokens
}

// The table in force rejects requests with its status and Retry-After. Requests return their reservations to
// the tokens that they took them from, also after the table has been replaced.
func TestTableInForceRejectsAndGetsReservationsBack(t *testing.T) {
	table, tokens := concurrencyTable(t)
	proxy := newLimitedBalancer()
	proxy.Handle(0, TableChanged{Table: table, Tokens: tokens})
	out := sendRequests(proxy, 3, "view")
	r, ok := out[2][0].(Reject)
	if !ok || proxy.requests["2"] != nil || r.Status != 429 || r.RetryAfter < 5*time.Second || r.RetryAfter > 15*time.Second || tokens.available[0] != 0 {
		t.Fatalf("actions %+v, want the third request rejected with status 429; %v tokens available, want none", out, tokens.available)
	}
	proxy.Handle(time.Hour+time.Second, DegradationChanged{Level: 1})
	if out := proxy.Handle(time.Hour+time.Second, RequestArrived{ID: "x", Class: "report", Timeout: time.Second}); out[0].(Reject).Status != 503 {
		t.Fatalf("actions at level 1: %+v, want a rejection with status 503", out)
	}
	if inForce, shadow := proxy.LimitCounts(); inForce.Requests != 4 || !slices.Equal(inForce.RejectedByLimit, []uint64{1, 1}) || shadow.Requests != 0 {
		t.Fatalf("counts of the table in force %+v, of the shadow table %+v", inForce, shadow)
	}
	proxy.Handle(time.Hour+time.Second, TableChanged{})
	proxy.Handle(time.Hour+time.Second, AttemptEnded{ID: "0", Endpoint: out[0][0].(StartAttempt).Endpoint, Outcome: OK, RequestAnswered: true})
	proxy.Handle(time.Hour+time.Second, RequestAbandoned{ID: "1"})
	if tokens.available[0] != 2 {
		t.Fatalf("%v tokens available after the end of all requests, want 2", tokens.available)
	}
}

// A shadow table counts its decisions and does not change any action.
func TestShadowTableCountsWithoutEffect(t *testing.T) {
	table, tokens := concurrencyTable(t)
	proxy := newLimitedBalancer()
	proxy.Handle(0, TableChanged{Table: table, Tokens: tokens, Shadow: true})
	got, want := sendRequests(proxy, 40, "view"), sendRequests(newLimitedBalancer(), 40, "view")
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("actions with a shadow table %v\nwithout a table %v", got, want)
	}
	if inForce, shadow := proxy.LimitCounts(); shadow.Requests != 40 || shadow.Rejected != 38 || shadow.Disagreements != 38 || inForce.Requests != 0 {
		t.Fatalf("counts of the table in force %+v, of the shadow table %+v", inForce, shadow)
	}
}

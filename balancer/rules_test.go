package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
)

// arrivalsPerSecond is the rate of requests in a simulated environment.
const arrivalsPerSecond = 60

// simulateWorld runs a simulated environment for some time. mutate may change the balancer's actions.
func simulateWorld(seed int64, length time.Duration, mutate func(*world, []balancer.Action) []balancer.Action) *world {
	w := newWorld(seed)
	w.capacity, w.mutate = arrivalsPerSecond/3, mutate
	w.run(length, arrivalsPerSecond, true)
	w.run(12*time.Second, 0, false) // let all deadlines pass
	return w
}

// The balancer follows the rules under arbitrary legal sequences of events and settings.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		w := simulateWorld(seed, 15*time.Second, nil)
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first:\n%s", seed, len(w.violations), strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if w := simulateWorld(seed, 5*time.Second, nil); len(w.violations) > 0 {
			t.Fatal(w.violations[0])
		}
	})
}

// Equal seeds and events must lead to equal actions.
func TestSameEventsLeadToSameActions(t *testing.T) {
	w := newWorld(7)
	w.run(10*time.Second, arrivalsPerSecond, false)
	repeated := newWorld(7)
	repeated.run(10*time.Second, arrivalsPerSecond, false)
	if len(w.actions) < 500 || len(w.actions) != len(repeated.actions) {
		t.Fatalf("%d and %d steps", len(w.actions), len(repeated.actions))
	}
	for i := range w.actions {
		if w.actions[i] != repeated.actions[i] {
			t.Fatalf("step %d: %s, then %s", i, w.actions[i], repeated.actions[i])
		}
	}
}

// The checker reports each kind of violation, when the balancer's actions are changed accordingly.
func TestCheckerCatchesEachRuleViolation(t *testing.T) {
	mapActions := func(change func(*world, balancer.Action) []balancer.Action) func(*world, []balancer.Action) []balancer.Action {
		return func(w *world, in []balancer.Action) (out []balancer.Action) {
			for _, a := range in {
				out = append(out, change(w, a)...)
			}
			return out
		}
	}
	toOtherEndpoint := func(w *world, attempt balancer.StartAttempt) balancer.StartAttempt {
		for _, id := range w.endpointIDs {
			if endpoint := w.endpoints[id]; id != attempt.Endpoint && endpoint.drainListedAt == 0 {
				attempt.Endpoint = id
				return attempt
			}
		}
		return attempt
	}
	for _, c := range []struct {
		want   string
		change func(w *world, a balancer.Action) []balancer.Action
	}{
		{"no answer in time", func(w *world, a balancer.Action) []balancer.Action {
			switch a.(type) {
			case balancer.Fail, balancer.Reject:
				return nil
			}
			return []balancer.Action{a}
		}},
		{"second final answer", func(w *world, a balancer.Action) []balancer.Action {
			if f, ok := a.(balancer.Fail); ok {
				return []balancer.Action{a, f}
			}
			return []balancer.Action{a}
		}},
		{"never listed", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				s.Endpoint = 12345
				return []balancer.Action{s}
			}
			return []balancer.Action{a}
		}},
		{"drains or is removed", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				for _, id := range w.endpointIDs {
					if w.endpoints[id].drainListedAt > 0 {
						s.Endpoint = id
					}
				}
				return []balancer.Action{s}
			}
			return []balancer.Action{a}
		}},
		{"request that is not idempotent sent again", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				return []balancer.Action{a, toOtherEndpoint(w, s)}
			}
			return []balancer.Action{a}
		}},
		{"two attempts in flight", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				return []balancer.Action{a, toOtherEndpoint(w, s)}
			}
			return []balancer.Action{a}
		}},
		{"outside its deduplication scope or window", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				return []balancer.Action{a, toOtherEndpoint(w, s)}
			}
			return []balancer.Action{a}
		}},
		{"attempts", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				return []balancer.Action{a, s, s, s, s, s}
			}
			return []balancer.Action{a}
		}},
		{"for a request that is over", func(w *world, a balancer.Action) []balancer.Action {
			if r, ok := a.(balancer.Reject); ok {
				return []balancer.Action{a, balancer.StartAttempt{ID: r.ID, Endpoint: w.endpointIDs[0]}}
			}
			return []balancer.Action{a}
		}},
		{"rejected although", func(w *world, a balancer.Action) []balancer.Action {
			if f, ok := a.(balancer.Fail); ok {
				return []balancer.Action{balancer.Reject{ID: f.ID}}
			}
			return []balancer.Action{a}
		}},
		{"its budget is", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				for _, id := range w.endpointIDs {
					if endpoint := w.endpoints[id]; endpoint.startListed && endpoint.drainListedAt == 0 && w.now-endpoint.StartedAt < 2*time.Second {
						s.Endpoint = id
					}
				}
				return []balancer.Action{s}
			}
			return []balancer.Action{a}
		}},
		{"not open to", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				s = toOtherEndpoint(w, s)
				return []balancer.Action{s}
			}
			return []balancer.Action{a}
		}},
		{"left open", func(w *world, a balancer.Action) []balancer.Action {
			if _, ok := a.(balancer.CloseIdleConnections); ok {
				return nil
			}
			return []balancer.Action{a}
		}},
		{"CancelAttempt", func(w *world, a balancer.Action) []balancer.Action {
			if s, ok := a.(balancer.StartAttempt); ok {
				return []balancer.Action{a, balancer.CancelAttempt{ID: s.ID, Attempt: 9}}
			}
			return []balancer.Action{a}
		}},
		{"forbidden load query", func(w *world, a balancer.Action) []balancer.Action {
			return []balancer.Action{a, balancer.QueryLoad{Endpoint: w.endpointIDs[0]}}
		}},
		{"forbidden message", func(w *world, a balancer.Action) []balancer.Action {
			return []balancer.Action{a, balancer.SendMessage{ToAll: true}}
		}},
	} {
		found := false
		for seed := int64(1); seed <= 25 && !found; seed++ {
			w := simulateWorld(seed, 10*time.Second, mapActions(c.change))
			found = strings.Contains(fmt.Sprint(w.violations), c.want)
		}
		if !found {
			t.Errorf("a balancer that violates the rules so that %q should be reported was not caught", c.want)
		}
	}
}

package balancer

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// successor makes the module of a new process, by way of the form in which the state passes.
func successor(t *testing.T, m *Module, change func(*Learned)) *Module {
	t.Helper()
	raw, err := json.Marshal(m.Learned(m.now))
	if err != nil {
		t.Fatal(err)
	}
	var l Learned
	if err := json.Unmarshal(raw, &l); err != nil {
		t.Fatal(err)
	}
	change(&l)
	next := New(m.set, 9)
	next.Handle(m.now, Restored{Learned: l})
	return next
}

func listOf(m *Module) (all []Server) {
	for _, s := range m.list.servers {
		all = append(all, s.Server)
	}
	return all
}

// What was learned goes on, whatever the list's order and however old the list that comes first.
func TestSuccessorKnowsItsServers(t *testing.T) {
	m := plainNode(t)
	m.Handle(m.now, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: 4, Zone: "z", StartedAt: m.now - time.Second}}})
	m.known[2].suspect, m.known[2].trialAt, m.known[2].trialWait = true, m.now+time.Second, time.Second
	sentTo(t, m, RequestArrived{ID: "out", Class: "a", Patience: time.Second})
	m.budget = 3
	next := successor(t, m, func(*Learned) {})
	next.Handle(m.now, ListUpdate{Kind: ListCached, Entries: []Server{{ID: 1, Zone: "z"}, {ID: 4, Zone: "z"}}})
	next.Handle(m.now, ListUpdate{Kind: ListFull, Entries: listOf(m)})
	if next.mean != m.mean || next.answers != m.answers || next.budget != 3 || !next.learned ||
		next.classes["a"].latency != m.classes["a"].latency {
		t.Errorf("mean %v of %v, %v answers, budget %v, learned %v", next.mean, m.mean, next.answers, next.budget, next.learned)
	}
	load := 0.0
	for id, s := range next.known {
		before := m.known[id]
		if s.rate != before.rate || s.suspect != before.suspect || s.cold != before.cold || s.coldSince != before.coldSince {
			t.Errorf("server %d: %+v, before %+v", id, s, before)
		}
		load += next.loadOf(s)
	}
	if load < 0.9 {
		t.Errorf("the work that the old process has out counts %v", load)
	}
	next.Handle(m.now+time.Minute, TimerFired{})
	for id, s := range next.known {
		if next.loadOf(s) != 0 {
			t.Errorf("a minute later server %d still counts work", id)
		}
	}
}

// A server that has restarted since is new, and one that no list names gets nothing.
func TestSuccessorTrustsTheList(t *testing.T) {
	m := plainNode(t)
	m.known[1].suspect = true
	next := successor(t, m, func(*Learned) {})
	next.Handle(m.now, ListUpdate{Kind: ListFull, Entries: []Server{{ID: 1, Zone: "z", StartedAt: m.now}}})
	if s := next.known[1]; s.suspect || !s.cold || len(next.known) != 1 {
		t.Errorf("%d servers, restarted one %+v", len(next.known), s)
	}
}

// State of another making changes nothing where it makes no sense.
func TestOddStateIsNothing(t *testing.T) {
	for _, change := range []func(*Learned){
		func(l *Learned) { l.Mean = -1 },
		func(l *Learned) { l.Answers = math.Inf(1) },
		func(l *Learned) { l.Servers[0].Load = -4 },
		func(l *Learned) { l.Servers[0].Excess = 1e300 },
		func(l *Learned) { l.Classes[0].Relative = 0 },
		func(l *Learned) { l.Servers[0].TrialWait, l.Servers[0].TrialAt = -time.Hour, 1<<62 },
		func(l *Learned) { l.Servers[0].LatencyAt, l.Servers[0].RateAt = 1<<62, -1<<62 },
		func(l *Learned) { *l = Learned{} },
	} {
		m := plainNode(t)
		next := successor(t, m, change)
		next.Handle(m.now, ListUpdate{Kind: ListFull, Entries: listOf(m)})
		if got := ask(t, next, 60); got[1]+got[2]+got[3]+got[4] != 60 || len(got) != 4 {
			t.Errorf("sends %v", got)
		}
		for _, s := range next.known {
			if x := next.delay(&request{class: next.classes["a"], heavy: 1}, s); !(x > 0) || math.IsInf(x, 0) {
				t.Errorf("a delay of %v", x)
			}
		}
	}
}

// The old process leaves cold servers to the new one, as both together would send too much.
func TestHandedOverSendsNothingCold(t *testing.T) {
	m := plainNode(t)
	m.Handle(m.now, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: 4, Zone: "z", StartedAt: m.now}}})
	m.Handle(m.now, HandedOver{})
	if got := ask(t, m, 100); got[4] != 0 || len(got) != 3 {
		t.Errorf("sends %v", got)
	}
}

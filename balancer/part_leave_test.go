package balancer

import (
	"fmt"
	"testing"
	"time"
)

// partNode works with servers 1 to 4 of a part; told gives it the part anew, with more of the 40 that there are.
func partNode(t *testing.T) (m *Module, told func(kind ListKind, more ...Server)) {
	m = plainNode(t)
	return m, func(kind ListKind, more ...Server) {
		if kind == ListFull {
			more = append(more, Server{ID: 1, Zone: "z"}, Server{ID: 2, Zone: "z"}, Server{ID: 3, Zone: "z"}, Server{ID: 4, Zone: "z"})
		}
		m.Handle(m.now, ListUpdate{Kind: kind, Entries: more, Total: 40, From: startPoint(m.set.Self)})
	}
}

// A ban holds for a server that comes into the part after it, however often it does. One that ends while the server is
// elsewhere leaves it cold for those that it comes to, as for those that had it then.
func TestBanOutsideThePart(t *testing.T) {
	m, told := partNode(t)
	told(ListFull)
	m.Handle(m.now, Maintenance{Server: 9, On: true})
	for range 2 {
		for _, kind := range []ListKind{ListFull, ListChanges} {
			if told(kind, Server{ID: 9, Zone: "z", StartedAt: m.now}); m.Ejected() != 1 || len(m.groups[0].list.servers) != 5 {
				t.Errorf("%d ejected of %d", m.Ejected(), len(m.groups[0].list.servers))
			}
			if got := ask(t, m, 50); got[9] != 0 || got[1]+got[2]+got[3]+got[4] != 50 {
				t.Errorf("banned outside, then in by %v: sends %v", kind, got)
			}
			if told(kind, Server{ID: 9, State: Gone}); m.Ejected() != 0 {
				t.Errorf("%d ejected once it is gone", m.Ejected())
			}
		}
	}
	m.Handle(m.now, Maintenance{Server: 9})
	lifted := m.now
	m.Handle(m.now+time.Second, Maintenance{Server: 9}) // the ban is over already
	m.Handle(m.now, Maintenance{Server: 8})             // was never banned
	told(ListFull, Server{ID: 8, Zone: "z"}, Server{ID: 9, Zone: "z", StartedAt: lifted - time.Minute})
	s := m.known[9]
	if !s.cold || s.coldSince != lifted || s.tokens >= 1 || m.known[8].cold {
		t.Errorf("lifted outside, then in: cold %v since %v before now, %v tokens", s.cold, m.now-s.coldSince, s.tokens)
	}
	if got := ask(t, m, 70); got[9] == 0 || got[9] >= 14 { // warm ones get 14 each
		t.Errorf("sends %v, want a cold server's part", got)
	}
	told(ListFull)
	told(ListChanges, Server{ID: 9, Zone: "z"})
	if again := m.known[9]; again == s || !again.cold || again.coldSince != lifted {
		t.Errorf("gone and back in its ramp: %+v", again)
	}
	told(ListChanges, Server{ID: 9, Zone: "z", StartedAt: m.now})
	if s := m.known[9]; !s.cold || s.coldSince != m.now {
		t.Errorf("started anew: %+v", s)
	}
	told(ListFull)
	m.Handle(m.now+m.set.ColdTime, TimerFired{})
	told(ListFull, Server{ID: 9, Zone: "z"})
	if m.warmth(m.known[9]) < 1 {
		t.Errorf("in long after: %+v", m.known[9])
	}
	for id := ServerID(10); id < 100; id++ {
		m.Handle(m.now+m.set.ColdTime, Maintenance{Server: id, On: true})
		if m.Handle(m.now, Maintenance{Server: id}); len(m.lifted) > 2 {
			t.Fatalf("%d ended bans are held", len(m.lifted))
		}
	}
}

// A server that comes into the part in its ramp is as cold as elsewhere, with a token drawn anew each time.
func TestColdServerComesIntoThePart(t *testing.T) {
	m, told := partNode(t)
	started, drawn := m.now-m.set.ColdTime/4, map[float64]bool{}
	for range 5 {
		told(ListFull, Server{ID: 9, Zone: "z", StartedAt: started})
		s := m.known[9]
		if want := m.set.ColdFrom + (1-m.set.ColdFrom)/4; m.warmth(s) != want || s.tokens < 0 || s.tokens >= 1 || !s.home {
			t.Errorf("warmth %v, want %v; %v tokens; home %v", m.warmth(s), want, s.tokens, s.home)
		}
		drawn[s.tokens] = true
		told(ListChanges, Server{ID: 9, State: Gone})
	}
	if len(drawn) != 5 {
		t.Errorf("tokens %v", drawn)
	}
}

// Suspicion goes with a server that leaves the part: back, it is judged anew, and what was still out at it from before
// counts for nothing. If it refuses still, few requests find out.
func TestSuspectLeavesThePartAndReturns(t *testing.T) {
	m, told := partNode(t)
	told(ListFull, Server{ID: 9, Zone: "z"})
	before := m.known[9]
	m.accuse(before, "test")
	for _, kind := range []ListKind{ListFull, ListChanges} {
		if told(kind, Server{ID: 9, Zone: "z"}); m.known[9] != before || !before.suspect || m.Ejected() != 1 {
			t.Errorf("told by %v that it is still there: %+v", kind, m.known[9])
		}
	}
	told(ListFull)
	if m.Ejected() != 0 || len(m.suspects.servers) != 0 {
		t.Errorf("%d suspects without it", len(m.suspects.servers))
	}
	told(ListFull, Server{ID: 9, Zone: "z"})
	m.strike(before, ConnectFailed)
	m.accuse(before, "an attempt from before")
	if s := m.known[9]; s == before || s.suspect || s.strikes > 0 || len(m.suspects.servers) != 0 {
		t.Errorf("back: %+v", s)
	}
	sent := 0
	for i := range 100 {
		m.Handle(m.now+50*time.Millisecond, TimerFired{})
		id := RequestID(fmt.Sprint("r", i))
		out := m.Handle(m.now, RequestArrived{ID: id, Class: "a", Patience: time.Second})
		for n := 0; len(sends(out)) > 0; n++ {
			end := AttemptEnded{ID: id, Attempt: n, Server: sends(out)[0], Over: true, Elapsed: 20 * time.Millisecond}
			if end.Server == 9 {
				end.Code, end.Over, sent = ConnectFailed, false, sent+1
			}
			out = m.Handle(m.now, end)
		}
	}
	if sent == 0 || sent > suspectAt {
		t.Errorf("%d sends to a server that refuses", sent)
	}
}

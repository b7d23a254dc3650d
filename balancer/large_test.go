package balancer

import (
	"testing"
	"time"
)

// While a request comes, no time runs, no silence counts and its server has no work; from its last byte all of it does.
func TestComingRequest(t *testing.T) {
	m := plainNode(t)
	at := sentTo(t, m, RequestArrived{ID: "q", Class: "a", Patience: time.Second, Coming: true})
	s := m.known[at]
	for range 400 { // 20 s
		if out := m.Handle(m.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("while it comes: %v", out)
		}
	}
	if s.n != 0 || s.load != 0 || s.unanswered != 0 || s.suspect {
		t.Errorf("while it comes: %+v", s)
	}
	m.Handle(m.now, RequestWhole{ID: "q", Patience: time.Second})
	m.Handle(m.now, RequestWhole{ID: "q", Patience: time.Hour}) // nobody says it twice
	if s.n != 1 || s.load == 0 || s.unanswered != 1 {
		t.Errorf("when it is whole: %+v", s)
	}
	m.Handle(m.now+999*time.Millisecond, TimerFired{})
	if r := m.requests["q"]; r == nil || r.done {
		t.Error("it ends before its time")
	}
	out := m.Handle(m.now+2*time.Millisecond, TimerFired{})
	if len(out) < 2 || out[0] != Action(Refuse{ID: "q"}) {
		t.Errorf("at its deadline: %v", out)
	}
	m.Handle(m.now, AttemptEnded{ID: "q", Server: at, Over: true, Code: Cancelled})
	if s.n != 0 || s.load != 0 || len(m.requests) != 0 {
		t.Errorf("at its end: %+v, %d requests", s, len(m.requests))
	}
}

// What was not kept can't be sent again; what never ran is refused, whatever its class.
func TestSpentRequest(t *testing.T) {
	for _, c := range []struct {
		effect Effect
		code   OutcomeCode
		spent  bool
		sends  int
		final  Action
	}{
		{Safe, ConnectFailed, true, 0, Refuse{ID: "q"}}, {Unsafe, ConnectFailed, true, 0, Refuse{ID: "q"}},
		{Unsafe, Full, true, 0, Refuse{ID: "q"}}, {Unsafe, Reset, true, 0, Fail{ID: "q"}},
		{Unsafe, ConnectFailed, false, 1, nil}, {Safe, Reset, false, 1, nil},
	} {
		m := plainNode(t)
		s := m.set
		s.Classes = []Class{{Name: "a", Worth: 1, Aim: time.Second, Deadline: time.Second, Effect: c.effect}}
		m.Handle(m.now, SettingsChanged{Settings: s})
		at := sentTo(t, m, RequestArrived{ID: "q", Class: "a", Patience: time.Second, Coming: true})
		m.Handle(m.now+10*time.Second, TimerFired{})
		out := m.Handle(m.now, AttemptEnded{ID: "q", Server: at, Code: c.code, Spent: c.spent})
		if len(sends(out)) != c.sends || c.final != nil && (len(out) != 1 || out[0] != c.final) {
			t.Errorf("%+v: %v", c, out)
		}
	}
}

// A long answer has its server's work done when it begins; how slowly its client reads says nothing of the server.
func TestLongAnswerFreesItsServer(t *testing.T) {
	m := plainNode(t)
	at := sentTo(t, m, RequestArrived{ID: "q", Class: "a", Patience: time.Second})
	s := m.known[at]
	m.Handle(m.now+20*time.Millisecond, StreamStarted{ID: "q", Server: at, Elapsed: 20 * time.Millisecond})
	if s.n != 0 || s.load != 0 {
		t.Errorf("when it begins: %+v", s)
	}
	mean := m.mean
	for range 400 {
		if out := m.Handle(m.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("while it is read: %v", out)
		}
	}
	m.Handle(m.now, AttemptEnded{ID: "q", Server: at, Over: true, Elapsed: 20 * time.Second, Code: OK})
	if s.n != 0 || s.suspect || m.mean != mean || len(m.requests) != 0 {
		t.Errorf("at its end: %+v, mean %v of %v", s, m.mean, mean)
	}
}

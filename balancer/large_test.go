package balancer

import (
	"testing"
	"time"
)

// While a request comes, no time runs, no silence counts and its server has no work; from its last byte all of it does.
func TestComingRequest(t *testing.T) {
	m := plainNode(t)
	at := sentTo(t, m, RequestArrived{ID: "q", Class: "a", Timeout: time.Second, Incomplete: true})
	s := m.endpoints[at]
	for range 400 { // 20 s
		if out := m.Handle(m.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("while it comes: %v", out)
		}
	}
	if s.inFlight != 0 || s.inFlightWork != 0 || s.unansweredSends != 0 || s.ejected {
		t.Errorf("while it comes: %+v", s)
	}
	m.Handle(m.now, RequestSent{ID: "q", Timeout: time.Second})
	m.Handle(m.now, RequestSent{ID: "q", Timeout: time.Hour}) // nobody says it twice
	if s.inFlight != 1 || s.inFlightWork == 0 || s.unansweredSends != 1 {
		t.Errorf("when it is whole: %+v", s)
	}
	m.Handle(m.now+999*time.Millisecond, TimerFired{})
	if r := m.requests["q"]; r == nil || r.answered {
		t.Error("it ends before its time")
	}
	out := m.Handle(m.now+2*time.Millisecond, TimerFired{})
	if len(out) < 2 || out[0] != Action(Reject{ID: "q"}) {
		t.Errorf("at its deadline: %v", out)
	}
	m.Handle(m.now, AttemptEnded{ID: "q", Endpoint: at, RequestAnswered: true, Outcome: Cancelled})
	if s.inFlight != 0 || s.inFlightWork != 0 || len(m.requests) != 0 {
		t.Errorf("at its end: %+v, %d requests", s, len(m.requests))
	}
}

// What was not kept can't be sent again; what never ran is refused, whatever its class.
func TestSpentRequest(t *testing.T) {
	for _, c := range []struct {
		effect Idempotency
		code   Outcome
		spent  bool
		sends  int
		final  Action
	}{
		{Idempotent, ConnectFailed, true, 0, Reject{ID: "q"}}, {NotIdempotent, ConnectFailed, true, 0, Reject{ID: "q"}},
		{NotIdempotent, Rejected, true, 0, Reject{ID: "q"}}, {NotIdempotent, ConnectionReset, true, 0, Fail{ID: "q"}},
		{NotIdempotent, ConnectFailed, false, 1, nil}, {Idempotent, ConnectionReset, false, 1, nil},
	} {
		m := plainNode(t)
		s := m.settings
		s.Classes = []Class{{Name: "a", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, Idempotency: c.effect}}
		m.Handle(m.now, SettingsChanged{Settings: s})
		at := sentTo(t, m, RequestArrived{ID: "q", Class: "a", Timeout: time.Second, Incomplete: true})
		m.Handle(m.now+10*time.Second, TimerFired{})
		out := m.Handle(m.now, AttemptEnded{ID: "q", Endpoint: at, Outcome: c.code, BodyDiscarded: c.spent})
		if len(sends(out)) != c.sends || c.final != nil && (len(out) != 1 || out[0] != c.final) {
			t.Errorf("%+v: %v", c, out)
		}
	}
}

// A long answer has its server's work done when it begins; how slowly its client reads says nothing of the server.
func TestLongAnswerFreesItsServer(t *testing.T) {
	m := plainNode(t)
	at := sentTo(t, m, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	s := m.endpoints[at]
	m.Handle(m.now+20*time.Millisecond, ResponseStarted{ID: "q", Endpoint: at, Elapsed: 20 * time.Millisecond})
	if s.inFlight != 0 || s.inFlightWork != 0 {
		t.Errorf("when it begins: %+v", s)
	}
	mean := m.meanLatency
	for range 400 {
		if out := m.Handle(m.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("while it is read: %v", out)
		}
	}
	m.Handle(m.now, AttemptEnded{ID: "q", Endpoint: at, RequestAnswered: true, Elapsed: 20 * time.Second, Outcome: OK})
	if s.inFlight != 0 || s.ejected || m.meanLatency != mean || len(m.requests) != 0 {
		t.Errorf("at its end: %+v, mean %v of %v", s, m.meanLatency, mean)
	}
}

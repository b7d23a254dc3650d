package balancer

import (
	"testing"
	"time"
)

// While a request is incomplete, its deadline does not run, no attempt counts as unanswered and its endpoint
// has no work. All of this begins with the request's last byte.
func TestIncompleteRequestCountsFromItsLastByte(t *testing.T) {
	proxy := newLearnedProxy(t)
	at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second, Incomplete: true})
	s := proxy.endpoints[at]
	for range 400 { // 20 s
		if out := proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("while the request arrives: %v", out)
		}
	}
	if s.inFlight != 0 || s.inFlightWork != 0 || s.unansweredSends != 0 || s.ejected {
		t.Errorf("while the request arrives: %+v", s)
	}
	proxy.Handle(proxy.now, RequestSent{ID: "q", Timeout: time.Second})
	proxy.Handle(proxy.now, RequestSent{ID: "q", Timeout: time.Hour}) // a repeated event has no effect
	if s.inFlight != 1 || s.inFlightWork == 0 || s.unansweredSends != 1 {
		t.Errorf("once the request is complete: %+v", s)
	}
	proxy.Handle(proxy.now+999*time.Millisecond, TimerFired{})
	if r := proxy.requests["q"]; r == nil || r.answered {
		t.Error("the request ends before its deadline")
	}
	out := proxy.Handle(proxy.now+2*time.Millisecond, TimerFired{})
	if len(out) < 2 || out[0] != Action(Reject{ID: "q"}) {
		t.Errorf("at its deadline: %v", out)
	}
	proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, RequestAnswered: true, Outcome: Cancelled})
	if s.inFlight != 0 || s.inFlightWork != 0 || len(proxy.requests) != 0 {
		t.Errorf("at the end: %+v, %d requests", s, len(proxy.requests))
	}
}

// A request whose body was discarded cannot be sent again. It is rejected if it never ran, whatever its
// class, and failed otherwise.
func TestDiscardedBodyPreventsRetry(t *testing.T) {
	for _, c := range []struct {
		effect  Idempotency
		outcome Outcome
		spent   bool
		sends   int
		final   Action
	}{
		{Idempotent, ConnectFailed, true, 0, Reject{ID: "q"}}, {NotIdempotent, ConnectFailed, true, 0, Reject{ID: "q"}},
		{NotIdempotent, Rejected, true, 0, Reject{ID: "q"}}, {NotIdempotent, ConnectionReset, true, 0, Fail{ID: "q"}},
		{NotIdempotent, ConnectFailed, false, 1, nil}, {Idempotent, ConnectionReset, false, 1, nil},
	} {
		proxy := newLearnedProxy(t)
		s := proxy.settings
		s.Classes = []Class{{Name: "a", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, Idempotency: c.effect}}
		proxy.Handle(proxy.now, SettingsChanged{Settings: s})
		at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second, Incomplete: true})
		proxy.Handle(proxy.now+10*time.Second, TimerFired{})
		out := proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, Outcome: c.outcome, BodyDiscarded: c.spent})
		if len(attemptedEndpoints(out)) != c.sends || c.final != nil && (len(out) != 1 || out[0] != c.final) {
			t.Errorf("%+v: %v", c, out)
		}
	}
}

// The endpoint of a long response has finished its work when the response begins. How slowly the client reads
// says nothing about the endpoint.
func TestLongResponseIsNotInFlightOnceItBegins(t *testing.T) {
	proxy := newLearnedProxy(t)
	at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	s := proxy.endpoints[at]
	proxy.Handle(proxy.now+20*time.Millisecond, ResponseStarted{ID: "q", Endpoint: at, Elapsed: 20 * time.Millisecond})
	if s.inFlight != 0 || s.inFlightWork != 0 {
		t.Errorf("when the response begins: %+v", s)
	}
	mean := proxy.meanLatency
	for range 400 {
		if out := proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("while the response is read: %v", out)
		}
	}
	proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, RequestAnswered: true, Elapsed: 20 * time.Second, Outcome: OK})
	if s.inFlight != 0 || s.ejected || proxy.meanLatency != mean || len(proxy.requests) != 0 {
		t.Errorf("at the end: %+v, mean latency %v, want %v", s, proxy.meanLatency, mean)
	}
}

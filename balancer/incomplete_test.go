package balancer

import (
	"testing"
	"time"
)

// While a request is incomplete, its deadline does not run, its attempt does not count as unanswered and its
// endpoint has no work. All three begin with the last byte of the request.
func TestIncompleteRequestCountsFromItsLastByte(t *testing.T) {
	proxy := newLearnedProxy(t)
	at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second, Incomplete: true})
	ep := proxy.endpoints[at]
	for range 400 { // 20 s
		if out := proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("actions while the request arrives: %v, want a timer at most", out)
		}
	}
	if ep.inFlight != 0 || ep.inFlightWork != 0 || ep.unansweredSends != 0 || ep.ejected {
		t.Errorf("while the request arrives: %+v", ep)
	}
	proxy.Handle(proxy.now, RequestSent{ID: "q", Timeout: time.Second})
	proxy.Handle(proxy.now, RequestSent{ID: "q", Timeout: time.Hour}) // a repeated event has no effect
	if ep.inFlight != 1 || ep.inFlightWork == 0 || ep.unansweredSends != 1 {
		t.Errorf("once the request is complete: %+v", ep)
	}
	proxy.Handle(proxy.now+999*time.Millisecond, TimerFired{})
	if r := proxy.requests["q"]; r == nil || r.answered {
		t.Error("the request ends before its deadline")
	}
	out := proxy.Handle(proxy.now+2*time.Millisecond, TimerFired{})
	if len(out) < 2 || out[0] != Action(Reject{ID: "q"}) {
		t.Errorf("actions at the deadline: %v, want a rejection", out)
	}
	proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, RequestAnswered: true, Outcome: Cancelled})
	if ep.inFlight != 0 || ep.inFlightWork != 0 || len(proxy.requests) != 0 {
		t.Errorf("at the end: %+v, %d requests", ep, len(proxy.requests))
	}
}

// TestReceivedRequestHasItsDeadlineBeforeItIsSent guards against requests that wait without a deadline while
// their endpoint takes no bytes. Until it is sent, the endpoint has no work.
func TestReceivedRequestHasItsDeadlineBeforeItIsSent(t *testing.T) {
	for _, isSent := range []bool{false, true} {
		proxy := newLearnedProxy(t)
		at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second, Incomplete: true})
		ep := proxy.endpoints[at]
		proxy.Handle(proxy.now+10*time.Second, RequestReceived{ID: "q", Timeout: time.Second})
		if ep.inFlight != 0 || ep.unansweredSends != 0 {
			t.Errorf("once the request has come: %+v", ep)
		}
		proxy.Handle(proxy.now+500*time.Millisecond, TimerFired{})
		if isSent {
			proxy.Handle(proxy.now, RequestSent{ID: "q", Timeout: time.Second})
		}
		if r := proxy.requests["q"]; r == nil || r.answered || isSent != (ep.inFlight == 1) {
			t.Errorf("sent %v: request %+v, endpoint %+v", isSent, r, ep)
		}
		out := proxy.Handle(proxy.now+501*time.Millisecond, TimerFired{})
		if len(out) < 2 || out[0] != Action(Reject{ID: "q"}) {
			t.Errorf("sent %v: actions at the deadline: %v, want a rejection", isSent, out)
		}
	}
}

// A request whose body was discarded cannot be sent again. It is rejected if it never ran, whatever its
// class, and failed otherwise.
func TestDiscardedBodyPreventsRetry(t *testing.T) {
	for _, c := range []struct {
		idempotency   Idempotency
		outcome       Outcome
		bodyDiscarded bool
		wantAttempts  int
		wantAnswer    Action
	}{
		{Idempotent, ConnectFailed, true, 0, Reject{ID: "q"}}, {NotIdempotent, ConnectFailed, true, 0, Reject{ID: "q"}},
		{NotIdempotent, Rejected, true, 0, Reject{ID: "q"}}, {NotIdempotent, ConnectionReset, true, 0, Fail{ID: "q"}},
		{NotIdempotent, ConnectFailed, false, 1, nil}, {Idempotent, ConnectionReset, false, 1, nil},
	} {
		proxy := newLearnedProxy(t)
		settings := proxy.settings
		settings.Classes = []Class{{Name: "a", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, Idempotency: c.idempotency}}
		proxy.Handle(proxy.now, SettingsChanged{Settings: settings})
		at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second, Incomplete: true})
		proxy.Handle(proxy.now+10*time.Second, TimerFired{})
		out := proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, Outcome: c.outcome, BodyDiscarded: c.bodyDiscarded})
		if len(attemptedEndpoints(out)) != c.wantAttempts || c.wantAnswer != nil && (len(out) != 1 || out[0] != c.wantAnswer) {
			t.Errorf("case %+v: actions %v", c, out)
		}
	}
}

// The endpoint of a long response has finished its work when the response begins. How slowly the client reads
// says nothing about the endpoint.
func TestLongResponseIsNotInFlightOnceItBegins(t *testing.T) {
	proxy := newLearnedProxy(t)
	at := startRequest(t, proxy, RequestArrived{ID: "q", Class: "a", Timeout: time.Second})
	ep := proxy.endpoints[at]
	proxy.Handle(proxy.now+20*time.Millisecond, ResponseStarted{ID: "q", Endpoint: at, Elapsed: 20 * time.Millisecond})
	if ep.inFlight != 0 || ep.inFlightWork != 0 {
		t.Errorf("when the response begins: %+v", ep)
	}
	meanBefore := proxy.meanLatency
	for range 400 {
		if out := proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{}); len(out) > 1 {
			t.Fatalf("actions while the response is read: %v, want a timer at most", out)
		}
	}
	proxy.Handle(proxy.now, AttemptEnded{ID: "q", Endpoint: at, RequestAnswered: true, Elapsed: 20 * time.Second, Outcome: OK})
	if ep.inFlight != 0 || ep.ejected || proxy.meanLatency != meanBefore || len(proxy.requests) != 0 {
		t.Errorf("at the end: %+v, mean latency %v, want %v", ep, proxy.meanLatency, meanBefore)
	}
}

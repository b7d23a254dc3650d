package balancer

import (
	"fmt"
	"testing"
	"time"
)

// partNode works with servers 1 to 4 of a part; told gives it the part anew, with more of the 40 that there are.
func partNode(t *testing.T) (m *Balancer, told func(kind UpdateKind, more ...Endpoint)) {
	m = plainNode(t)
	return m, func(kind UpdateKind, more ...Endpoint) {
		if kind == UpdateComplete {
			more = append(more, Endpoint{ID: 1, Zone: "z"}, Endpoint{ID: 2, Zone: "z"}, Endpoint{ID: 3, Zone: "z"}, Endpoint{ID: 4, Zone: "z"})
		}
		m.Handle(m.now, EndpointsUpdated{Kind: kind, Endpoints: more, TotalEndpoints: 40, SubsetStart: startPosition(m.settings.ProxyIndex)})
	}
}

// A ban holds for a server that comes into the part after it, however often it does. One that ends while the server is
// elsewhere leaves it cold for those that it comes to, as for those that had it then.
func TestBanOutsideThePart(t *testing.T) {
	m, told := partNode(t)
	told(UpdateComplete)
	m.Handle(m.now, Maintenance{Endpoint: 9, On: true})
	for range 2 {
		for _, kind := range []UpdateKind{UpdateComplete, UpdateIncremental} {
			if told(kind, Endpoint{ID: 9, Zone: "z", StartedAt: m.now}); m.Ejected() != 1 || len(m.placements[0].ring.endpoints) != 5 {
				t.Errorf("%d ejected of %d", m.Ejected(), len(m.placements[0].ring.endpoints))
			}
			if got := ask(t, m, 50); got[9] != 0 || got[1]+got[2]+got[3]+got[4] != 50 {
				t.Errorf("banned outside, then in by %v: sends %v", kind, got)
			}
			if told(kind, Endpoint{ID: 9, State: Removed}); m.Ejected() != 0 {
				t.Errorf("%d ejected once it is gone", m.Ejected())
			}
		}
	}
	m.Handle(m.now, Maintenance{Endpoint: 9})
	lifted := m.now
	m.Handle(m.now+time.Second, Maintenance{Endpoint: 9}) // the ban is over already
	m.Handle(m.now, Maintenance{Endpoint: 8})             // was never banned
	told(UpdateComplete, Endpoint{ID: 8, Zone: "z"}, Endpoint{ID: 9, Zone: "z", StartedAt: lifted - time.Minute})
	s := m.endpoints[9]
	if !s.slowStarting || s.slowStartSince != lifted || s.slowStartTokens >= 1 || m.endpoints[8].slowStarting {
		t.Errorf("lifted outside, then in: cold %v since %v before now, %v tokens", s.slowStarting, m.now-s.slowStartSince, s.slowStartTokens)
	}
	if got := ask(t, m, 70); got[9] == 0 || got[9] >= 14 { // warm ones get 14 each
		t.Errorf("sends %v, want a cold server's part", got)
	}
	told(UpdateComplete)
	told(UpdateIncremental, Endpoint{ID: 9, Zone: "z"})
	if again := m.endpoints[9]; again == s || !again.slowStarting || again.slowStartSince != lifted {
		t.Errorf("gone and back in its ramp: %+v", again)
	}
	told(UpdateIncremental, Endpoint{ID: 9, Zone: "z", StartedAt: m.now})
	if s := m.endpoints[9]; !s.slowStarting || s.slowStartSince != m.now {
		t.Errorf("started anew: %+v", s)
	}
	told(UpdateComplete)
	m.Handle(m.now+m.settings.SlowStartDuration, TimerFired{})
	told(UpdateComplete, Endpoint{ID: 9, Zone: "z"})
	if m.warmFraction(m.endpoints[9]) < 1 {
		t.Errorf("in long after: %+v", m.endpoints[9])
	}
	for id := EndpointID(10); id < 100; id++ {
		m.Handle(m.now+m.settings.SlowStartDuration, Maintenance{Endpoint: id, On: true})
		if m.Handle(m.now, Maintenance{Endpoint: id}); len(m.maintenanceEnded) > 2 {
			t.Fatalf("%d ended bans are held", len(m.maintenanceEnded))
		}
	}
}

// A server that comes into the part in its ramp is as cold as elsewhere, with a token drawn anew each time.
func TestColdServerComesIntoThePart(t *testing.T) {
	m, told := partNode(t)
	started, drawn := m.now-m.settings.SlowStartDuration/4, map[float64]bool{}
	for range 5 {
		told(UpdateComplete, Endpoint{ID: 9, Zone: "z", StartedAt: started})
		s := m.endpoints[9]
		if want := m.settings.SlowStartInitial + (1-m.settings.SlowStartInitial)/4; m.warmFraction(s) != want || s.slowStartTokens < 0 || s.slowStartTokens >= 1 || !s.inBaseSubset {
			t.Errorf("warmth %v, want %v; %v tokens; home %v", m.warmFraction(s), want, s.slowStartTokens, s.inBaseSubset)
		}
		drawn[s.slowStartTokens] = true
		told(UpdateIncremental, Endpoint{ID: 9, State: Removed})
	}
	if len(drawn) != 5 {
		t.Errorf("tokens %v", drawn)
	}
}

// Suspicion goes with a server that leaves the part: back, it is judged anew, and what was still out at it from before
// counts for nothing. If it refuses still, few requests find out.
func TestSuspectLeavesThePartAndReturns(t *testing.T) {
	m, told := partNode(t)
	told(UpdateComplete, Endpoint{ID: 9, Zone: "z"})
	before := m.endpoints[9]
	m.eject(before, "test")
	for _, kind := range []UpdateKind{UpdateComplete, UpdateIncremental} {
		if told(kind, Endpoint{ID: 9, Zone: "z"}); m.endpoints[9] != before || !before.ejected || m.Ejected() != 1 {
			t.Errorf("told by %v that it is still there: %+v", kind, m.endpoints[9])
		}
	}
	told(UpdateComplete)
	if m.Ejected() != 0 || len(m.ejected.endpoints) != 0 {
		t.Errorf("%d suspects without it", len(m.ejected.endpoints))
	}
	told(UpdateComplete, Endpoint{ID: 9, Zone: "z"})
	m.recordFailure(before, ConnectFailed)
	m.eject(before, "an attempt from before")
	if s := m.endpoints[9]; s == before || s.ejected || s.consecutiveFailures > 0 || len(m.ejected.endpoints) != 0 {
		t.Errorf("back: %+v", s)
	}
	sent := 0
	for i := range 100 {
		m.Handle(m.now+50*time.Millisecond, TimerFired{})
		id := RequestID(fmt.Sprint("r", i))
		out := m.Handle(m.now, RequestArrived{ID: id, Class: "a", Timeout: time.Second})
		for n := 0; len(sends(out)) > 0; n++ {
			end := AttemptEnded{ID: id, Attempt: n, Endpoint: sends(out)[0], RequestAnswered: true, Elapsed: 20 * time.Millisecond}
			if end.Endpoint == 9 {
				end.Outcome, end.RequestAnswered, sent = ConnectFailed, false, sent+1
			}
			out = m.Handle(m.now, end)
		}
	}
	if sent == 0 || sent > ejectAfterFailures {
		t.Errorf("%d sends to a server that refuses", sent)
	}
}

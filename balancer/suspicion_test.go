package balancer_test

import (
	"testing"
	"time"

	"wrenspread/balancer"
)

// One lost answer and two requests that have just been sent are no silence: servers that lose a few in a hundred would
// all be left out in turn.
func TestRecentSendsAreNoSilence(t *testing.T) {
	r, sends := newRig(t, rigSettings(), 3), map[balancer.EndpointID]int{}
	r.run(4*time.Second, 60, "once")
	r.accused = 0
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if sends[id]++; sends[id]%12 == 0 {
			return time.Hour, balancer.OK
		}
		return 50 * time.Millisecond, balancer.OK
	}
	for range 100 { // pauses, after which a lost answer is the oldest that is out and others come at once
		r.run(300*time.Millisecond, 40, "once")
		r.run(260*time.Millisecond, 0, "once")
		r.run(20*time.Millisecond, 600, "once")
	}
	if r.accused > 0 {
		t.Errorf("%d log lines of servers that lose one answer in twelve", r.accused)
	}
}

// Servers that break a quarter of their requests still serve three quarters: leaving most of a fleet out for it would
// crowd the rest. One that refuses connections is left out at once, and is taken as cold when it answers again.
func TestServersThatFailAPartStay(t *testing.T) {
	for _, code := range []balancer.Outcome{balancer.ConnectionReset, balancer.ServerError} {
		r, sends := newRig(t, rigSettings(), 6), map[balancer.EndpointID]int{}
		r.run(4*time.Second, 120, "dear")
		r.reset()
		good := r.delay
		r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
			// Three in a row, and nine good ones: by the row alone each would be a suspect soon.
			if sends[id]++; id > 2 && sends[id]%12 < 3 {
				return 20 * time.Millisecond, code
			}
			return good(id)
		}
		r.run(10*time.Second, 120, "dear")
		if r.accused > 0 || r.refused+r.failed > 60 {
			t.Errorf("code %d: %d log lines, %d refused, %d failed of 1200; further attempts are limited to 120", code, r.accused, r.refused, r.failed)
		}
	}
	r := newRig(t, rigSettings(), 3)
	r.run(4*time.Second, 60, "dear")
	good, down := r.delay, true
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 1 && down {
			return time.Millisecond, balancer.ConnectFailed
		}
		return good(id)
	}
	r.reset()
	r.run(time.Second, 60, "dear")
	if r.sent[1] > 4 || r.accused != 1 {
		t.Errorf("%d sends to one that refuses connections, %d log lines", r.sent[1], r.accused)
	}
	down = false
	r.run(6*time.Second, 60, "dear")
	r.reset()
	r.run(time.Second, 60, "dear")
	if n := r.sent[1]; n == 0 || n > 16 {
		t.Errorf("once it answers it got %d in a second, want a cold one's part of 20", n)
	}
}

// Of servers to which a third of the connections come up late, two in a row now and then, none is left out: each that is,
// is tried by few requests and taken as cold then. One to which none comes up is out of reach.
func TestLateConnectionsAreNoProof(t *testing.T) {
	r, sends := newRig(t, rigSettings(), 4), map[balancer.EndpointID]int{}
	r.run(4*time.Second, 60, "dear")
	r.reset()
	r.accused = 0
	good, cut := r.delay, balancer.EndpointID(0)
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if sends[id]++; id == cut || sends[id]%6 < 2 {
			return 100 * time.Millisecond, balancer.ConnectTimedOut
		}
		return good(id)
	}
	r.run(10*time.Second, 60, "dear")
	if r.accused > 0 || r.refused+r.failed > 30 {
		t.Errorf("%d log lines, %d refused, %d failed of 600", r.accused, r.refused, r.failed)
	}
	cut = 1
	r.reset()
	r.run(2*time.Second, 60, "dear")
	if r.sent[1] > 12 || r.accused != 1 {
		t.Errorf("%d sends to one out of reach, %d log lines", r.sent[1], r.accused)
	}
}

// A silent server is left out and its requests are answered elsewhere, also while the list is down; it then comes
// back paced, as it may be cold.
func TestSilentServerWhileListIsDown(t *testing.T) {
	s := rigSettings()
	s.PollForEndpoints = true
	r := newRig(t, s, 5)
	r.run(5*time.Second, 100, "cheap")
	quick := r.delay
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 3 {
			return time.Hour, balancer.TimedOut
		}
		return quick(id)
	}
	r.reset()
	r.run(6*time.Second, 100, "cheap")
	if r.sent[3] > 25 || r.failed > 0 || r.refused > 5 {
		t.Errorf("silent server got %d, %d failed, %d refused", r.sent[3], r.failed, r.refused)
	}
	if r.asks < 3 {
		t.Errorf("the list was asked for %d times only", r.asks)
	}
	r.delay = quick
	r.reset()
	r.run(3*time.Second, 100, "cheap")
	early := r.sent[3]
	r.run(9*time.Second, 100, "cheap")
	r.reset()
	r.run(5*time.Second, 100, "cheap")
	if early > 50 || r.sent[3] < 60 {
		t.Errorf("back from silence: %d in the first 3 s, %d in 5 s once warm", early, r.sent[3])
	}
}

// A server that fails fast must not attract work.
func TestFastFailerAttractsNothing(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 2 {
			return time.Millisecond, balancer.ServerError
		}
		return 50 * time.Millisecond, balancer.OK
	}
	r.run(10*time.Second, 100, "cheap")
	if r.sent[2] > 60 {
		t.Errorf("%d of %d sends went to the server that fails", r.sent[2], r.sent[1]+r.sent[2]+r.sent[3]+r.sent[4])
	}
}

// Log lines are few even where a server fails and recovers all the time.
func TestLogIsLimited(t *testing.T) {
	r := newRig(t, rigSettings(), 3)
	r.run(3*time.Second, 100, "cheap")
	n := 0
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 1 {
			if n++; n%3 != 0 {
				return time.Millisecond, balancer.ConnectionReset
			}
		}
		return 50 * time.Millisecond, balancer.OK
	}
	r.accused = 0
	r.run(60*time.Second, 100, "cheap")
	if r.accused == 0 || r.accused > 13 {
		t.Errorf("%d log lines in a minute about one server", r.accused)
	}
}

package balancer_test

import (
	"testing"
	"time"

	"wrenspread/balancer"
)

// An endpoint with one lost response and two requests that have just been sent does not count as leaving
// three attempts unanswered. Otherwise endpoints that lose a few percent of their responses would all be
// ejected in turn.
func TestRecentAttemptsDoNotCountAsUnanswered(t *testing.T) {
	r, attempts := newRig(t, rigSettings(), 3), map[balancer.EndpointID]int{}
	r.run(4*time.Second, 60, "nonidempotent")
	r.logLines = 0
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if attempts[id]++; attempts[id]%12 == 0 {
			return time.Hour, balancer.OK
		}
		return 50 * time.Millisecond, balancer.OK
	}
	for range 100 { // pauses, after which a lost response is the oldest in flight and a burst follows
		r.run(300*time.Millisecond, 40, "nonidempotent")
		r.run(260*time.Millisecond, 0, "nonidempotent")
		r.run(20*time.Millisecond, 600, "nonidempotent")
	}
	if r.logLines > 0 {
		t.Errorf("%d log lines about endpoints that lose one response in twelve", r.logLines)
	}
}

// Endpoints that fail a quarter of their requests still serve the others: ejecting most of a fleet would
// overload the remaining endpoints. An endpoint that refuses connections is ejected at once, and gets a slow
// start when it accepts them again.
func TestEndpointsFailingAFractionAreNotEjected(t *testing.T) {
	for _, outcome := range []balancer.Outcome{balancer.ConnectionReset, balancer.ServerError} {
		r, attempts := newRig(t, rigSettings(), 6), map[balancer.EndpointID]int{}
		r.run(4*time.Second, 120, "high")
		r.reset()
		normalDelay := r.delay
		r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
			// Three failures in a row and nine responses: by the failures in a row alone, each would soon be ejected.
			if attempts[id]++; id > 2 && attempts[id]%12 < 3 {
				return 20 * time.Millisecond, outcome
			}
			return normalDelay(id)
		}
		r.run(10*time.Second, 120, "high")
		if r.logLines > 0 || r.rejected+r.failed > 60 {
			t.Errorf("outcome %d: %d log lines, %d rejected, %d failed of 1200; retries are limited to 120", outcome, r.logLines, r.rejected, r.failed)
		}
	}
	r := newRig(t, rigSettings(), 3)
	r.run(4*time.Second, 60, "high")
	normalDelay, refusing := r.delay, true
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 1 && refusing {
			return time.Millisecond, balancer.ConnectFailed
		}
		return normalDelay(id)
	}
	r.reset()
	r.run(time.Second, 60, "high")
	if r.sent[1] > 4 || r.logLines != 1 {
		t.Errorf("%d attempts at an endpoint that refuses connections, %d log lines", r.sent[1], r.logLines)
	}
	refusing = false
	r.run(6*time.Second, 60, "high")
	r.reset()
	r.run(time.Second, 60, "high")
	if n := r.sent[1]; n == 0 || n > 16 {
		t.Errorf("once it accepts connections it got %d attempts in a second, want those of a slow start", n)
	}
}

// Endpoints at which a third of the connections are established late, sometimes two in a row, are not
// ejected: an ejected endpoint gets few requests and then a slow start. An endpoint at which no connection is
// established is unreachable, and is ejected.
func TestLateConnectionsDoNotEject(t *testing.T) {
	r, attempts := newRig(t, rigSettings(), 4), map[balancer.EndpointID]int{}
	r.run(4*time.Second, 60, "high")
	r.reset()
	r.logLines = 0
	normalDelay, unreachable := r.delay, balancer.EndpointID(0)
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if attempts[id]++; id == unreachable || attempts[id]%6 < 2 {
			return 100 * time.Millisecond, balancer.ConnectTimedOut
		}
		return normalDelay(id)
	}
	r.run(10*time.Second, 60, "high")
	if r.logLines > 0 || r.rejected+r.failed > 30 {
		t.Errorf("%d log lines, %d rejected, %d failed of 600", r.logLines, r.rejected, r.failed)
	}
	unreachable = 1
	r.reset()
	r.run(2*time.Second, 60, "high")
	if r.sent[1] > 12 || r.logLines != 1 {
		t.Errorf("%d attempts at an unreachable endpoint, %d log lines", r.sent[1], r.logLines)
	}
}

// An endpoint that does not respond is ejected and its requests are answered by others, also while discovery
// fails. When it responds again, it gets a slow start, as it may have restarted.
func TestUnresponsiveEndpointIsEjectedWithoutDiscovery(t *testing.T) {
	settings := rigSettings()
	settings.PollForEndpoints = true
	r := newRig(t, settings, 5)
	r.run(5*time.Second, 100, "low")
	normalDelay := r.delay
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 3 {
			return time.Hour, balancer.TimedOut
		}
		return normalDelay(id)
	}
	r.reset()
	r.run(6*time.Second, 100, "low")
	if r.sent[3] > 25 || r.failed > 0 || r.rejected > 5 {
		t.Errorf("unresponsive endpoint got %d attempts, %d failed, %d rejected", r.sent[3], r.failed, r.rejected)
	}
	if r.polls < 3 {
		t.Errorf("discovery was polled only %d times", r.polls)
	}
	r.delay = normalDelay
	r.reset()
	r.run(3*time.Second, 100, "low")
	sentEarly := r.sent[3]
	r.run(9*time.Second, 100, "low")
	r.reset()
	r.run(5*time.Second, 100, "low")
	if sentEarly > 50 || r.sent[3] < 60 {
		t.Errorf("responsive again: %d attempts in the first 3 s, %d in 5 s once warm", sentEarly, r.sent[3])
	}
}

// An endpoint that fails fast must not attract work.
func TestFastFailingEndpointAttractsNoWork(t *testing.T) {
	r := newRig(t, rigSettings(), 4)
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 2 {
			return time.Millisecond, balancer.ServerError
		}
		return 50 * time.Millisecond, balancer.OK
	}
	r.run(10*time.Second, 100, "low")
	if r.sent[2] > 60 {
		t.Errorf("%d of %d attempts at the endpoint that fails", r.sent[2], r.sent[1]+r.sent[2]+r.sent[3]+r.sent[4])
	}
}

// Log lines are few, even if an endpoint fails and recovers all the time.
func TestLogLinesPerEndpointAreLimited(t *testing.T) {
	r := newRig(t, rigSettings(), 3)
	r.run(3*time.Second, 100, "low")
	attempts := 0
	r.delay = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if id == 1 {
			if attempts++; attempts%3 != 0 {
				return time.Millisecond, balancer.ConnectionReset
			}
		}
		return 50 * time.Millisecond, balancer.OK
	}
	r.logLines = 0
	r.run(60*time.Second, 100, "low")
	if r.logLines == 0 || r.logLines > 13 {
		t.Errorf("%d log lines in a minute about one endpoint", r.logLines)
	}
}

package balancer_test

import (
	"testing"
	"time"

	"wrenspread/balancer"
)

// Endpoints that sometimes lose a response are not overloaded: the lost attempts must not lead to shedding,
// and another endpoint must answer a request that may be repeated in time. A request that must not run twice
// waits.
func TestLostResponsesDoNotCountAsLoad(t *testing.T) {
	for _, c := range []struct {
		class  string
		served float64 // smallest fraction of requests in time
	}{{"dear", 0.99}, {"cheap", 0.99}, {"once", 0.9}} {
		r, attempts := newRig(t, rigSettings(), 4), 0
		r.run(4*time.Second, 100, c.class)
		r.reset()
		r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
			if attempts++; attempts%20 == 0 {
				return time.Hour, balancer.OK
			}
			return 50 * time.Millisecond, balancer.OK
		}
		before, arrivedBefore := r.inTime[c.class], r.nextID
		r.run(10*time.Second, 100, c.class)
		if n := r.nextID - arrivedBefore; r.rejected > n/100 {
			t.Errorf("%s: %d of %d rejected", c.class, r.rejected, n)
		}
		if n, served := float64(r.nextID-arrivedBefore), float64(r.inTime[c.class]-before); served < c.served*n {
			t.Errorf("%s: %v of %v served in time", c.class, served, n)
		}
		if c.class == "once" {
			for id, attempts := range r.attempts {
				if attempts > 1 {
					t.Errorf("%s was sent %d times", id, attempts)
				}
			}
		}
	}
}

// A request that is not idempotent fails at its deadline if its endpoint does not respond. It is neither
// repeated nor rejected.
func TestTimeoutOfNonIdempotentRequestFailsWithoutRetry(t *testing.T) {
	r := newRig(t, rigSettings(), 3)
	r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) { return time.Hour, balancer.TimedOut }
	r.run(5*time.Millisecond, 200, "once")
	r.run(3*time.Second, 0, "once")
	if n := r.sent[1] + r.sent[2] + r.sent[3]; n != 1 || r.failed != 1 || r.rejected != 0 {
		t.Errorf("%d attempts, %d failed, %d rejected; want 1, 1, 0", n, r.failed, r.rejected)
	}
}

// Whether a request is retried depends on its idempotency and on whether the outcome proves that it never
// ran.
func TestRetriesByIdempotencyAndOutcome(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome balancer.Outcome
		again   bool
	}{{"cheap", balancer.ServerError, true}, {"cheap", balancer.ConnectFailed, true}, {"once", balancer.ServerError, false},
		{"once", balancer.ConnectionReset, false}, {"once", balancer.ConnectFailed, true}, {"once", balancer.ConnectTimedOut, true},
		{"once", balancer.Rejected, true}} {
		r := newRig(t, rigSettings(), 3)
		r.run(3*time.Second, 100, "cheap")
		r.run(time.Second, 0, "cheap")
		r.reset()
		first := true
		r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
			if first {
				first = false
				return 10 * time.Millisecond, c.outcome
			}
			return 50 * time.Millisecond, balancer.OK
		}
		r.run(5*time.Millisecond, 200, c.class)
		r.run(time.Second, 0, c.class)
		if n := r.sent[1] + r.sent[2] + r.sent[3]; (n == 2) != c.again || (r.failed == 1) == c.again {
			t.Errorf("%s after outcome %d: %d attempts, %d failed", c.class, c.outcome, n, r.failed)
		}
	}
}

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
		class     string
		minServed float64 // smallest fraction of requests in time
	}{{"high", 0.99}, {"low", 0.99}, {"nonidempotent", 0.9}} {
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
		if n, served := float64(r.nextID-arrivedBefore), float64(r.inTime[c.class]-before); served < c.minServed*n {
			t.Errorf("%s: %v of %v served in time", c.class, served, n)
		}
		if c.class == "nonidempotent" {
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
	r.run(5*time.Millisecond, 200, "nonidempotent")
	r.run(3*time.Second, 0, "nonidempotent")
	if n := r.sent[1] + r.sent[2] + r.sent[3]; n != 1 || r.failed != 1 || r.rejected != 0 {
		t.Errorf("%d attempts, %d failed, %d rejected; want 1, 1, 0", n, r.failed, r.rejected)
	}
}

// Whether a request is retried depends on its idempotency and on whether the outcome proves that it never
// ran.
func TestRetryDependsOnIdempotencyAndOutcome(t *testing.T) {
	for _, c := range []struct {
		class     string
		outcome   balancer.Outcome
		wantRetry bool
	}{{"low", balancer.ServerError, true}, {"low", balancer.ConnectFailed, true}, {"nonidempotent", balancer.ServerError, false},
		{"nonidempotent", balancer.ConnectionReset, false}, {"nonidempotent", balancer.ConnectFailed, true}, {"nonidempotent", balancer.ConnectTimedOut, true},
		{"nonidempotent", balancer.Rejected, true}} {
		r := newRig(t, rigSettings(), 3)
		r.run(3*time.Second, 100, "low")
		r.run(time.Second, 0, "low")
		r.reset()
		firstAttempt := true
		r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
			if firstAttempt {
				firstAttempt = false
				return 10 * time.Millisecond, c.outcome
			}
			return 50 * time.Millisecond, balancer.OK
		}
		r.run(5*time.Millisecond, 200, c.class)
		r.run(time.Second, 0, c.class)
		if n := r.sent[1] + r.sent[2] + r.sent[3]; (n == 2) != c.wantRetry || (r.failed == 1) == c.wantRetry {
			t.Errorf("%s after outcome %d: %d attempts, %d failed", c.class, c.outcome, n, r.failed)
		}
	}
}

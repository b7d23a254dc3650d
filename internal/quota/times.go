package quota

import "time"

// Drift is the largest relative error of the rate of any process's clock, compared with true time. The rates
// of two clocks differ by at most twice as much.
const Drift = 0.001

// times are the durations that proxies and allocator agree on. Only tests set other values than the defaults.
type times struct {
	leaseDuration time.Duration // how long a lease is valid after its claim was sent
	renewInterval time.Duration // time between a proxy's rounds of claims
	// shortest time between claims outside of the rounds; such claims are for limits whose demand has just begun
	minClaimInterval time.Duration
	// how long a proxy keeps its fallback share suspended, counted from when it sent the claim whose grant
	// suspended the share
	fallbackSuspension time.Duration
	loanTimeout        time.Duration // how long after its request a borrower still accepts lent tokens
	loanUse            time.Duration // how long after its request a borrower may use lent tokens
	idleClaimTime      time.Duration // how long a limit without demand is still claimed
	// how long a new proxy keeps its fallback share unsuspended, to fill the buckets of limits without demand
	warmUp time.Duration
	// longest time that a request is in flight; after a lease has ended, the allocator counts the requests that
	// began under the lease for this long
	maxRequestTime time.Duration
	drift          float64 // Drift
}

// DefaultLease is the duration of a lease: short enough that shares follow a jump of demand within 2 s, and
// long enough that a proxy may lose four claims in a row.
const DefaultLease = time.Second

func defaultTimes() times {
	return times{
		leaseDuration:      DefaultLease,
		renewInterval:      DefaultLease / 5,
		minClaimInterval:   20 * time.Millisecond,
		fallbackSuspension: 4 * DefaultLease,
		loanTimeout:        200 * time.Millisecond,
		loanUse:            400 * time.Millisecond,
		idleClaimTime:      3 * time.Second,
		warmUp:             5 * time.Second,
		maxRequestTime:     30 * time.Second,
		drift:              Drift,
	}
}

// longestElapsed returns the longest time on this clock in which d can pass on another process's clock: about
// (1 + 2 x drift) x d.
func (t times) longestElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.drift) / (1 - t.drift))
}

// shortestElapsed returns the shortest time on this clock in which d can pass on another process's clock.
func (t times) shortestElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.drift) / (1 + t.drift))
}

// countedLease returns how long an allocator counts a lease after it received the claim.
func (t times) countedLease() time.Duration { return t.longestElapsed(t.leaseDuration) }

// settleTime returns how long a lease that was granted before now can stay alive: one lease duration, and two
// extensions by a new allocator, which may extend it twice while it waits for the previous leases to end.
// Once a fallback share has been counted for its proxy for this long, no lease that was granted to other
// proxies out of that share is alive.
func (t times) settleTime() time.Duration {
	return 3 * t.longestElapsed(t.longestElapsed(t.leaseDuration))
}

package quota

import "time"

// Drift is the most by which a clock's rate is off from true time, as a part. Two clocks are apart by twice
// as much.
const Drift = 0.001

// times are the spans that both ends reckon with. Tests alone set others.
type times struct {
	lease time.Duration // a share holds so long after its claim was sent
	renew time.Duration // between a proxy's claims
	// least wait before a claim out of turn, for a limit that has just got demand
	minClaimInterval time.Duration
	// a proxy that took a grant keeps its fallback share suspended so long after the claim was sent
	fallbackSuspension time.Duration
	loanTimeout        time.Duration // tokens lent count only so soon after the asking
	loanUse            time.Duration // and have to be used so soon after it
	idleClaimTime      time.Duration // a limit without demand is claimed so long yet
	warmUp             time.Duration // a new proxy fills the buckets of limits without demand so long
	// the longest that a request is in flight: allocators count it so long past its lease
	maxRequestTime time.Duration
	drift          float64
}

// DefaultLease is short enough that shares follow a jump of demand within 2 s, and long enough that a proxy
// may lose four claims in a row.
const DefaultLease = time.Second

func defaultTimes() times {
	return times{
		lease:              DefaultLease,
		renew:              DefaultLease / 5,
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

// atMost is what takes d on another's clock, at the longest: 1 + 2 x drift, and a little.
func (t times) atMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.drift) / (1 - t.drift))
}

// atLeast is what takes d on another's clock, at the shortest.
func (t times) atLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.drift) / (1 + t.drift))
}

// countedLease is how long an allocator counts a lease from the receipt of its claim.
func (t times) countedLease() time.Duration { return t.atMost(t.lease) }

// settleTime is how long any lease can live on that was granted before now: to its end, prolonged once by a
// new allocator that is still waiting, and once more within that wait. What is borrowed to nobody for so long
// is nobody's.
func (t times) settleTime() time.Duration { return 3 * t.atMost(t.atMost(t.lease)) }

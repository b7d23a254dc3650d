package check

import (
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/lab/history"
)

// Quota is a limit on the requests of all nodes together. It applies from the time From.
type Quota struct {
	From        time.Duration
	Rate, Burst float64 // in requests per second, and in requests
}

// Slack of the quota check. quotaArrivalSlack bounds the time between a node's admission decision and the
// request's arrival at a backend. Links, and a node that waits for a core, prolong this time.
// quotaLoweringDelay is the time after which a lowered limit applies. The last lease under the previous limit
// has to expire, which takes one lease duration, or two if the holder changes at the same time, and the new
// limit has to be delivered to the nodes.
const (
	quotaArrivalSlack  = 300 * time.Millisecond
	quotaLoweringDelay = 4 * time.Second
)

// Quotas checks that in any window all nodes together send at most rate x window + burst requests to
// backends, computed exactly with a leaky bucket. limits are in order of time. minUsed is the share of the
// quota that has to be used between from and to; 0 disables this part of the check.
func Quotas(events []history.Event, limits []Quota, from, to time.Duration, minUsed float64) Verdict {
	v := Verdict{
		Name:  "quota",
		Rule:  "all nodes together let no more through in any window than the limit's rate x window + burst",
		Timed: true,
	}
	seen := map[string]bool{}
	var arrivals []time.Duration
	for _, e := range events {
		if e.Kind == history.Arrive && !seen[e.ID] {
			seen[e.ID] = true
			arrivals = append(arrivals, e.T)
		}
	}
	slices.Sort(arrivals)
	v.Seen = len(arrivals)
	level, lastArrival, worstExcess, used := 0.0, time.Duration(0), 0.0, 0
	for _, t := range arrivals {
		limit := highestLimit(limits, t)
		level = max(0, level-limit.Rate*(t-lastArrival).Seconds()) + 1
		lastArrival = t
		worstExcess = max(worstExcess, (level-limit.Burst)/limit.Rate)
		if level > limit.Burst+limit.Rate*quotaArrivalSlack.Seconds() {
			v.fail(
				history.Event{T: t},
				"%.1f requests more than leak away at %.1f a second, the burst is %.1f",
				level,
				limit.Rate,
				limit.Burst,
			)
			level = 0 // report one finding per excess
		}
		if t >= from && t < to {
			used++
		}
	}
	quota := 0.0
	for t := from; t < to; t += 100 * time.Millisecond {
		quota += latestLimit(limits, t).Rate / 10
	}
	v.Measured = append(
		v.Measured,
		fmt.Sprintf(
			"%.1f%% of the quota was used; at the worst it was ahead of rate and burst by %.0f ms of the rate",
			100*float64(used)/quota,
			1000*max(0, worstExcess),
		),
	)
	if minUsed > 0 && float64(used) < minUsed*quota {
		v.Broken = append(
			v.Broken,
			Finding{Text: fmt.Sprintf("%.3f of the quota was used, want %v at least", float64(used)/quota, minUsed)},
		)
	}
	return v
}

// highestLimit returns the highest limit that any node may still apply at time t: the current one, and the
// previous one until quotaLoweringDelay has passed.
func highestLimit(limits []Quota, t time.Duration) (highest Quota) {
	for i, limit := range limits {
		expired := i+1 < len(limits) && t > limits[i+1].From+quotaLoweringDelay
		if limit.From <= t && !expired {
			highest.Rate, highest.Burst = max(highest.Rate, limit.Rate), max(highest.Burst, limit.Burst)
		}
	}
	return highest
}

// latestLimit returns the limit that was set last at or before time t.
func latestLimit(limits []Quota, t time.Duration) Quota {
	for _, limit := range slices.Backward(limits) {
		if limit.From <= t {
			return limit
		}
	}
	return limits[0]
}

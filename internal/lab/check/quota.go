package check

import (
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/lab/history"
)

// Quota is a limit on the requests of the complete fleet that applies from the time From on.
type Quota struct {
	From        time.Duration
	Rate, Burst float64 // requests per second; requests at once
}

// Slack of the quota check. quotaArrivalSlack is the time between a node's admission decision and the arrival
// at a backend, which links and a node that waits for a core prolong. quotaLoweringDelay is the time after
// which a lowered limit applies: the last lease under the previous limit has to expire, which takes one
// lease, a second one when the holder changes at the same time, and the delivery to the nodes.
const (
	quotaArrivalSlack  = 300 * time.Millisecond
	quotaLoweringDelay = 4 * time.Second
)

// Quotas checks the requests that all nodes together send to backends: in any window at most
// rate x window + burst, computed exactly with a leaky bucket. limits are in order of time. minUsed is the
// least share of the quota that has to be used between from and to; 0 disables that part.
func Quotas(events []history.Event, limits []Quota, from, to time.Duration, minUsed float64) Verdict {
	v := Verdict{
		Name:  "quota",
		Rule:  "all nodes together let no more through in any window than the limit's rate x window + burst",
		Timed: true,
	}
	seen := map[string]bool{}
	var at []time.Duration
	for _, e := range events {
		if e.Kind == history.Arrive && !seen[e.ID] {
			seen[e.ID] = true
			at = append(at, e.T)
		}
	}
	slices.Sort(at)
	v.Seen = len(at)
	level, last, worst, inside := 0.0, time.Duration(0), 0.0, 0
	for _, t := range at {
		limit := highestLimit(limits, t)
		level = max(0, level-limit.Rate*(t-last).Seconds()) + 1
		last = t
		worst = max(worst, (level-limit.Burst)/limit.Rate)
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
			inside++
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
			100*float64(inside)/quota,
			1000*max(0, worst),
		),
	)
	if minUsed > 0 && float64(inside) < minUsed*quota {
		v.Broken = append(
			v.Broken,
			Finding{Text: fmt.Sprintf("%.3f of the quota was used, want %v at least", float64(inside)/quota, minUsed)},
		)
	}
	return v
}

// highestLimit returns the highest limit that any node may still apply at time t: the current one, and the
// previous one until quotaLoweringDelay has passed.
func highestLimit(limits []Quota, t time.Duration) (highest Quota) {
	for i, limit := range limits {
		over := i+1 < len(limits) && t > limits[i+1].From+quotaLoweringDelay
		if limit.From <= t && !over {
			highest.Rate, highest.Burst = max(highest.Rate, limit.Rate), max(highest.Burst, limit.Burst)
		}
	}
	return highest
}

// latestLimit returns the limit that was set last before time t.
func latestLimit(limits []Quota, t time.Duration) Quota {
	for _, limit := range slices.Backward(limits) {
		if limit.From <= t {
			return limit
		}
	}
	return limits[0]
}

package check

import (
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/lab/history"
)

// Quota is a limit on the requests of the whole fleet from a time on.
type Quota struct {
	From        time.Duration
	Rate, Burst float64 // requests a second; at once
}

// Slack of the check: a request is judged at a node and seen at a backend, by as much later as links and a
// node that waits for a core make it. And a lowered limit holds from when the last lease by the one before
// has run out: a lease, another for a holder that changes at the same time, and the way to the nodes.
const (
	quotaSeen  = 300 * time.Millisecond
	quotaLower = 4 * time.Second
)

// Quotas judges what all nodes together let through to backends: in any window at most rate x window + burst,
// as a bucket that leaks at the rate tells exactly. used is the least part of the quota to be used between
// two times; 0: not judged.
func Quotas(events []history.Event, all []Quota, from, to time.Duration, used float64) Verdict {
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
		q := holds(all, t)
		level = max(0, level-q.Rate*(t-last).Seconds()) + 1
		last = t
		worst = max(worst, (level-q.Burst)/q.Rate)
		if level > q.Burst+q.Rate*quotaSeen.Seconds() {
			v.fail(
				history.Event{T: t},
				"%.1f requests more than leak away at %.1f a second, the burst is %.1f",
				level,
				q.Rate,
				q.Burst,
			)
			level = 0 // one finding for one flood
		}
		if t >= from && t < to {
			inside++
		}
	}
	quota := 0.0
	for t := from; t < to; t += 100 * time.Millisecond {
		quota += lowest(all, t).Rate / 10
	}
	v.Measured = append(
		v.Measured,
		fmt.Sprintf(
			"%.1f%% of the quota was used; at the worst it was ahead of rate and burst by %.0f ms of the rate",
			100*float64(inside)/quota,
			1000*max(0, worst),
		),
	)
	if used > 0 && float64(inside) < used*quota {
		v.Broken = append(
			v.Broken,
			Finding{Text: fmt.Sprintf("%.3f of the quota was used, want %v at least", float64(inside)/quota, used)},
		)
	}
	return v
}

// holds is the highest limit that any node may rightly go by at a time.
func holds(all []Quota, t time.Duration) (q Quota) {
	for i, one := range all {
		over := i+1 < len(all) && t > all[i+1].From+quotaLower
		if one.From <= t && !over {
			q.Rate, q.Burst = max(q.Rate, one.Rate), max(q.Burst, one.Burst)
		}
	}
	return q
}

// lowest is the limit that was given last.
func lowest(all []Quota, t time.Duration) Quota {
	for _, one := range slices.Backward(all) {
		if one.From <= t {
			return one
		}
	}
	return all[0]
}

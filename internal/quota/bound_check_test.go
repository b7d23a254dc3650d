package quota

import (
	"time"

	"wrenspread/ratelimit"
)

// boundCheck checks the bound of one limit exactly, over every window, by a bucket that leaks at the limit's
// rate. Over all windows that end now, the bucket's level is the largest amount that was admitted beyond rate
// x window.
type boundCheck struct {
	rate, burst    float64
	level          float64
	leakedAt       time.Duration // as of when level is valid
	worstExcess    float64       // largest level beyond the burst so far
	earlierWindows *boundCheck   // check of the windows that began before the limit was lowered
	admittedCount  int
	rejectedCount  int
}

func newBoundCheck(t *ratelimit.Table, i int) *boundCheck {
	l := t.Limits[i]
	if l.Unit == ratelimit.UnitConcurrency { // the level falls when requests end, not by leaking
		return &boundCheck{burst: l.Rate, worstExcess: -l.Rate}
	}
	return &boundCheck{rate: l.Rate, burst: l.Burst, worstExcess: -l.Burst}
}

func (c *boundCheck) admitted(now time.Duration) {
	c.leak(now)
	c.level++
	c.admittedCount++
	c.worstExcess = max(c.worstExcess, c.level-c.burst)
	if c.earlierWindows != nil {
		c.earlierWindows.admitted(now)
		c.worstExcess = max(c.worstExcess, c.earlierWindows.worstExcess)
	}
}

func (c *boundCheck) leak(now time.Duration) {
	if c.rate > 0 {
		c.level = max(c.level-c.rate*(now-c.leakedAt).Seconds(), 0)
	}
	c.leakedAt = now
}

// lower lowers the bound for windows that begin from now on. Windows that began before keep the old burst.
func (c *boundCheck) lower(now time.Duration, rate, burst float64) {
	c.leak(now)
	before := *c
	before.rate = rate
	c.earlierWindows, c.rate, c.burst, c.level = &before, rate, burst, 0
}

// broken reports whether more than rate x window + burst was admitted in some window. The tolerance is for
// the rounding of sums.
func (c *boundCheck) broken() bool { return c.worstExcess > 1e-6 }

package quota

import (
	"time"

	"wrenspread/ratelimit"
)

// check is the bound of one limit over every window, exactly: a bucket that leaks at the limit's rate. Its
// level is the most, over all windows that end now, that was admitted beyond rate x window.
type check struct {
	rate, burst float64
	level       float64
	at          time.Duration
	worst       float64 // level beyond the burst
	before      *check  // of windows that began before the limit was lowered
	count       int
	refused     int
}

func newCheck(t *ratelimit.Table, i int) *check {
	l := t.Limits[i]
	if l.Unit == ratelimit.UnitConcurrency { // nothing leaks: it is given back
		return &check{burst: l.Rate, worst: -l.Rate}
	}
	return &check{rate: l.Rate, burst: l.Burst, worst: -l.Burst}
}

func (c *check) admitted(now time.Duration) {
	c.leak(now)
	c.level++
	c.count++
	c.worst = max(c.worst, c.level-c.burst)
	if c.before != nil {
		c.before.admitted(now)
		c.worst = max(c.worst, c.before.worst)
	}
}

func (c *check) leak(now time.Duration) {
	if c.rate > 0 {
		c.level = max(c.level-c.rate*(now-c.at).Seconds(), 0)
	}
	c.at = now
}

// lower begins the bound of windows that start now; windows that started before go on with the old burst.
func (c *check) lower(now time.Duration, rate, burst float64) {
	c.leak(now)
	before := *c
	before.rate = rate
	c.before, c.rate, c.burst, c.level = &before, rate, burst, 0
}

// broken says whether some window held more than rate x window + burst. Sums of floats may be off by a
// little.
func (c *check) broken() bool { return c.worst > 1e-6 }

package membership

import (
	"slices"
	"time"
)

// maxLevel bounds the stretching of time-outs: five times, so a period of one second.
const maxLevel = 4

// holdMost is how long a node whose probes fail in many places accuses nobody. After that it believes what it
// sees: it may be the only one left.
const holdMost = 10 * time.Second

// latePeriods is how long after a late wake a node accuses nobody: the answers to what it sent before have come by then.
const latePeriods = 3

// health is how far the node trusts its own probes: when it is late, or many fail, the fault is likely to be here.
type health struct {
	level     int
	lateUntil Time
	failed    [4]uint64 // whom the probes of the last members failed at; 0: answered
	at        int
	holds     bool
	since     Time // of holds
}

func (c *Core) period() time.Duration { return c.cfg.Period * time.Duration(1+c.health.level) }
func (c *Core) answer() time.Duration { return c.cfg.Answer * time.Duration(1+c.health.level) }

// noteLate compares the time with that of the last Wake. A node that was stopped has heard nothing meanwhile: its open probe and its
// suspects' time do not count for that long.
func (c *Core) noteLate() {
	late := c.now - c.due
	if !c.awake || late <= c.cfg.Answer {
		c.awake = true
		return
	}
	c.stats.Late++
	c.health.worse()
	c.health.lateUntil = c.now + latePeriods*c.cfg.Period
	c.probe.open = false
	c.relays = nil
	for _, r := range c.order {
		if r.st.Health == Suspect {
			r.from += late
		}
	}
	c.next, c.due = c.now, c.now
}

func (h *health) worse()  { h.level = min(h.level+1, maxLevel) }
func (h *health) better() { h.level = max(h.level-1, 0) }

// probed notes at whom a probe failed, 0 if it did not; again if the one before was of the same member and counts no more. When three of the
// last four members did not answer, the node holds its accusations back. In a fleet of three it never does: there the other two may well both be gone.
func (h *health) probed(now Time, failed uint64, again bool) {
	if again {
		h.at = (h.at + len(h.failed) - 1) % len(h.failed)
	}
	h.failed[h.at] = failed
	h.at = (h.at + 1) % len(h.failed)
	all := h.failed
	slices.Sort(all[:])
	places := len(slices.Compact(all[:]))
	if all[0] == 0 {
		places--
	}
	if holds := places >= len(h.failed)-1; holds != h.holds {
		h.holds, h.since = holds, now
	}
}

// late says that the node woke late not long ago: it neither accuses nor declares anybody dead.
func (c *Core) late() bool { return c.now < c.health.lateUntil }

// mayAccuse says whether a failed probe speaks against the one that was probed rather than against this node.
func (c *Core) mayAccuse() bool {
	return !c.late() && (!c.health.holds || c.now-c.health.since >= holdMost)
}

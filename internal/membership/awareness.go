package membership

import (
	"slices"
	"time"
)

// maxAwareness bounds the stretching of timeouts: five times, so a period of one second.
const maxAwareness = 4

// maxAccusationHold is how long a node whose probes fail in many places accuses nobody. After that it
// believes what it sees: it may be the only one left.
const maxAccusationHold = 10 * time.Second

// lateHoldPeriods is how long after a late wake a node accuses nobody: the answers to what it sent before
// have come by then.
const lateHoldPeriods = 3

// awareness is how far the node trusts its own probes: when it is late, or many fail, the fault is likely to
// be here.
type awareness struct {
	score          int
	lateUntil      Time
	recentFailures [4]uint64 // whom the probes of the last members failed at; 0: answered
	nextFailure    int
	holding        bool
	holdingSince   Time // of holds
}

func (c *Core) probeInterval() time.Duration {
	return c.cfg.ProbeInterval * time.Duration(1+c.awareness.score)
}
func (c *Core) probeTimeout() time.Duration {
	return c.cfg.ProbeTimeout * time.Duration(1+c.awareness.score)
}

// checkWakeLateness compares the time with that of the last Wake. A node that was stopped has heard nothing
// meanwhile: its open probe and its suspects' time do not count for that long.
func (c *Core) checkWakeLateness() {
	late := c.now - c.wakeAt
	if !c.wakePending || late <= c.cfg.ProbeTimeout {
		c.wakePending = true
		return
	}
	c.stats.Late++
	c.awareness.degrade()
	c.awareness.lateUntil = c.now + lateHoldPeriods*c.cfg.ProbeInterval
	c.probe.pending = false
	c.relays = nil
	for _, r := range c.sorted {
		if r.statement.Health == Suspect {
			r.suspectSince += late
		}
	}
	c.nextPeriodAt, c.wakeAt = c.now, c.now
}

func (h *awareness) degrade() { h.score = min(h.score+1, maxAwareness) }
func (h *awareness) recover() { h.score = max(h.score-1, 0) }

// recordProbe notes at whom a probe failed, 0 if it did not; again if the one before was of the same member
// and counts no more. When three of the last four members did not answer, the node holds its accusations
// back. In a fleet of three it never does: there the other two may well both be gone.
func (h *awareness) recordProbe(now Time, failed uint64, again bool) {
	if again {
		h.nextFailure = (h.nextFailure + len(h.recentFailures) - 1) % len(h.recentFailures)
	}
	h.recentFailures[h.nextFailure] = failed
	h.nextFailure = (h.nextFailure + 1) % len(h.recentFailures)
	all := h.recentFailures
	slices.Sort(all[:])
	places := len(slices.Compact(all[:]))
	if all[0] == 0 {
		places--
	}
	if holds := places >= len(h.recentFailures)-1; holds != h.holding {
		h.holding, h.holdingSince = holds, now
	}
}

// wasLate says that the node woke late not long ago: it neither accuses nor declares anybody dead.
func (c *Core) wasLate() bool { return c.now < c.awareness.lateUntil }

// mayAccuse reports whether a failed probe speaks against the one that was probed rather than against this
// node.
func (c *Core) mayAccuse() bool {
	return !c.wasLate() && (!c.awareness.holding || c.now-c.awareness.holdingSince >= maxAccusationHold)
}

package membership

import (
	"slices"
	"time"
)

// maxAwareness bounds the score by which the period and the timeouts are stretched: to at most five times, so
// the period to at most one second by default.
const maxAwareness = 4

// maxAccusationSuppression bounds how long a node accuses no member because its probes of several members
// fail. After that time the node trusts its probes, since it may be the only node that is still alive.
const maxAccusationSuppression = 10 * time.Second

// lateSuppressionPeriods is the number of periods after a late wake in which a node accuses no member. After
// them, the answers to the datagrams that it sent before have arrived.
const lateSuppressionPeriods = 3

// awareness is how far the node distrusts its own probes: if the node wakes late, or if many probes fail, the
// fault is probably its own.
type awareness struct {
	score                 int       // 0 to maxAwareness: timeouts are multiplied by 1+score
	lateUntil             Time      // recentlyLate is true until then
	recentFailures        [4]uint64 // hashes of the last probed members that did not answer; 0 means an answer
	nextFailure           int       // index in recentFailures of the next probe's result
	accusationsSuppressed bool
	suppressedSince       Time // when accusationsSuppressed was last set or reset
}

func (c *Core) probeInterval() time.Duration {
	return c.cfg.ProbeInterval * time.Duration(1+c.awareness.score)
}
func (c *Core) probeTimeout() time.Duration {
	return c.cfg.ProbeTimeout * time.Duration(1+c.awareness.score)
}

// checkWakeLateness checks whether the last requested Wake is late. A node that was stopped has received
// nothing while it was stopped, so it drops its pending probe and its relays, and extends its suspects'
// timeouts by the lateness.
func (c *Core) checkWakeLateness() {
	late := c.now - c.wakeAt
	if !c.wakePending || late <= c.cfg.ProbeTimeout {
		c.wakePending = true
		return
	}
	c.stats.Late++
	c.awareness.degrade()
	c.awareness.lateUntil = c.now + lateSuppressionPeriods*c.cfg.ProbeInterval
	c.probe.pending = false
	c.relays = nil
	for _, member := range c.sorted {
		if member.statement.Health == Suspect {
			member.suspectSince += late
		}
	}
	c.nextPeriodAt, c.wakeAt = c.now, c.now
}

func (a *awareness) degrade() { a.score = min(a.score+1, maxAwareness) }
func (a *awareness) recover() { a.score = max(a.score-1, 0) }

// recordProbe records the result of a probe: the member that did not answer, or 0. The result of a repeated
// probe replaces the result of the previous probe of the same member. When three different members are among
// the failures of the last four probes, the node suppresses its accusations. That never happens in a fleet of
// three, whose other two members may well both be dead.
func (a *awareness) recordProbe(now Time, failedMember uint64, repeated bool) {
	if repeated {
		a.nextFailure = (a.nextFailure + len(a.recentFailures) - 1) % len(a.recentFailures)
	}
	a.recentFailures[a.nextFailure] = failedMember
	a.nextFailure = (a.nextFailure + 1) % len(a.recentFailures)
	hashes := a.recentFailures
	slices.Sort(hashes[:])
	failedMembers := len(slices.Compact(hashes[:]))
	if hashes[0] == 0 {
		failedMembers--
	}
	if suppress := failedMembers >= len(a.recentFailures)-1; suppress != a.accusationsSuppressed {
		a.accusationsSuppressed, a.suppressedSince = suppress, now
	}
}

// recentlyLate reports whether the node has recently woken late. If so, it neither accuses members nor
// declares them dead.
func (c *Core) recentlyLate() bool { return c.now < c.awareness.lateUntil }

// mayAccuse reports whether a failed probe is evidence against the probed member rather than against this
// node.
func (c *Core) mayAccuse() bool {
	return !c.recentlyLate() && (!c.awareness.accusationsSuppressed ||
		c.now-c.awareness.suppressedSince >= maxAccusationSuppression)
}

package membership

import (
	"math/bits"
	"time"
)

// Three periods times one plus the logarithm of the fleet is the time in which a suspect can refute three
// accusers: an accusation needs about so many periods to reach it, and its refutation to come back. With one
// accuser it has three times as long.
const (
	suspectPeriods    = 3
	loneAccuserFactor = 3
)

// suspicionShrink is how much of the time between lone and joint accusation is off, per mille, by the number
// of accusers: its logarithm to base 3.
var suspicionShrink = [4]time.Duration{0, 0, 631, 1000}

// suspicionTimeout is how long a suspect has. Integers throughout, so that it is the same on every machine.
func suspicionTimeout(period time.Duration, members, accusers int) time.Duration {
	least := period * suspectPeriods * time.Duration(10+3*bits.Len(uint(members))) / 10
	most := loneAccuserFactor * least
	return most - (most-least)*suspicionShrink[min(accusers, 3)]/1000
}

// suspect makes a member that did not answer a suspect, or adds this node to its accusers.
func (c *Core) suspect(r *memberState) {
	if !r.living() || !c.mayAccuse() {
		return
	}
	st := r.statement
	st.Health = Suspect
	st.Accusers = accusers(st.Accusers, [3]uint64{c.self.hash})
	if st != r.statement {
		c.updateMember(r, st)
	}
}

// expireSuspects declares dead whoever has not refuted its suspicion in time.
func (c *Core) expireSuspects() {
	if c.suspects == 0 || c.wasLate() {
		return
	}
	for _, r := range c.sorted {
		if r.statement.Health == Suspect &&
			c.now-r.suspectSince >= suspicionTimeout(
				c.cfg.ProbeInterval,
				c.living+1,
				countAccusers(r.statement.Accusers),
			) {
			st := r.statement
			st.Health = Dead
			c.updateMember(r, st)
		}
	}
}

// notifySuspect tells one suspect a period what is said of it, beside the probes.
func (c *Core) notifySuspect() {
	if c.suspects > 0 {
		c.sendPing(c.pick(func(r *memberState) bool { return r.statement.Health == Suspect }))
	}
}

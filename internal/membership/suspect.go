package membership

import (
	"math/bits"
	"time"
)

// The suspicion timeout with three accusers is suspectPeriods periods times one plus the logarithm of the
// fleet's size: an accusation needs about that many periods to reach the suspect, and the refutation to come
// back. With one accuser the timeout is loneAccuserFactor times as long.
const (
	suspectPeriods    = 3
	loneAccuserFactor = 3
)

// suspicionShrink is by how much, per mille, the number of accusers takes the timeout from that of one
// accuser towards that of three: the logarithm to base 3 of the number.
var suspicionShrink = [4]time.Duration{0, 0, 631, 1000}

// suspicionTimeout returns how long a suspect has for a refutation. It computes with integers only, so that
// the result is the same on every machine.
func suspicionTimeout(period time.Duration, members, accusers int) time.Duration {
	shortest := period * suspectPeriods * time.Duration(10+3*bits.Len(uint(members))) / 10
	longest := loneAccuserFactor * shortest
	return longest - (longest-shortest)*suspicionShrink[min(accusers, 3)]/1000
}

// suspect makes a member that did not answer a suspect, or adds this node to the suspect's accusers.
func (c *Core) suspect(member *memberState) {
	if !member.living() || !c.mayAccuse() {
		return
	}
	st := member.statement
	st.Health = Suspect
	st.Accusers = mergeAccusers(st.Accusers, [3]uint64{c.self.hash})
	if st != member.statement {
		c.updateMember(member, st)
	}
}

// expireSuspects declares the suspects dead that have not refuted the suspicion in time.
func (c *Core) expireSuspects() {
	if c.suspectCount == 0 || c.recentlyLate() {
		return
	}
	for _, member := range c.sorted {
		if member.statement.Health == Suspect &&
			c.now-member.suspectSince >= suspicionTimeout(
				c.cfg.ProbeInterval,
				c.livingCount+1,
				countAccusers(member.statement.Accusers),
			) {
			st := member.statement
			st.Health = Dead
			c.updateMember(member, st)
		}
	}
}

// notifySuspect pings one suspect in each period, in addition to the probes, so that the suspect learns of
// the suspicion.
func (c *Core) notifySuspect() {
	if c.suspectCount > 0 {
		c.sendPing(c.pick(func(member *memberState) bool { return member.statement.Health == Suspect }))
	}
}

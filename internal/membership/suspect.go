package membership

import (
	"math/bits"
	"time"
)

// With three accusers, the suspicion timeout is suspectPeriods periods times one plus the decimal logarithm
// of the fleet's size. An accusation needs about that many periods to reach the suspect and the refutation to
// come back. With one accuser the timeout is loneAccuserFactor times as long.
const (
	suspectPeriods    = 3
	loneAccuserFactor = 3
)

// suspicionShrink is how far the timeout is shortened from that of one accuser towards that of three
// accusers, per mille. Its index is the number of accusers, of which it is the logarithm to base 3.
var suspicionShrink = [4]time.Duration{0, 0, 631, 1000}

// suspicionTimeout returns the time in which a suspect's refutation must arrive. The computation uses
// integers only, so that the result is the same on every machine.
func suspicionTimeout(period time.Duration, members, accusers int) time.Duration {
	shortest := period * suspectPeriods * time.Duration(10+3*bits.Len(uint(members))) / 10
	longest := loneAccuserFactor * shortest
	return longest - (longest-shortest)*suspicionShrink[min(accusers, 3)]/1000
}

// suspect accuses a member that did not answer: the member becomes suspect, and this node is added to its
// accusers.
func (c *Core) suspect(member *memberState) {
	if !member.living() || !c.mayAccuse() {
		return
	}
	statement := member.statement
	statement.Health = Suspect
	statement.Accusers = mergeAccusers(statement.Accusers, [3]uint64{c.self.hash})
	if statement != member.statement {
		c.updateMember(member, statement)
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
			statement := member.statement
			statement.Health = Dead
			c.updateMember(member, statement)
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

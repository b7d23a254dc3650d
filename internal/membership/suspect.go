package membership

import (
	"math/bits"
	"time"
)

// Three periods times one plus the logarithm of the fleet is the time in which a suspect can speak up against three accusers: an
// accusation needs about so many periods to reach it, and its word to come back. With one accuser it has three times as long.
const (
	suspectPeriods = 3
	loneFactor     = 3
)

// shrink is how much of the time between lone and joint accusation is off, per mille, by the number of accusers: its logarithm to base 3.
var shrink = [4]time.Duration{0, 0, 631, 1000}

// suspectTime is how long a suspect has. Integers throughout, so that it is the same on every machine.
func suspectTime(period time.Duration, members, accusers int) time.Duration {
	least := period * suspectPeriods * time.Duration(10+3*bits.Len(uint(members))) / 10
	most := loneFactor * least
	return most - (most-least)*shrink[min(accusers, 3)]/1000
}

// accuse makes a member that did not answer a suspect, or adds this node to its accusers.
func (c *Core) accuse(r *record) {
	if !r.living() || !c.mayAccuse() {
		return
	}
	st := r.st
	st.Health = Suspect
	st.By = accusers(st.By, [3]uint64{c.self.hash})
	if st != r.st {
		c.set(r, st)
	}
}

// expireSuspects declares dead who has not spoken up in time.
func (c *Core) expireSuspects() {
	if c.suspects == 0 || c.late() {
		return
	}
	for _, r := range c.order {
		if r.st.Health == Suspect && c.now-r.from >= suspectTime(c.cfg.Period, c.living+1, countAccusers(r.st.By)) {
			st := r.st
			st.Health = Dead
			c.set(r, st)
		}
	}
}

// warnSuspect tells one suspect a period what is said of it, beside the probes.
func (c *Core) warnSuspect() {
	if c.suspects > 0 {
		c.ping(c.pick(func(r *record) bool { return r.st.Health == Suspect }))
	}
}

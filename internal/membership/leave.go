package membership

import "wrenspread/internal/membership/wire"

// A leave is sent to three drawn members in each of eight periods, and rides on answers: 1.6 s. With a loss
// of 30% all 24 datagrams are lost once in 10 to the 12.
const (
	leavePeriods = 8
	leaveFanout  = 3
)

func (c *Core) leave() {
	if c.leavePeriodsLeft > 0 {
		return
	}
	c.leavePeriodsLeft = leavePeriods + 1
	st := c.self.statement
	st.Incarnation++
	st.Health, st.Metadata.State = Left, Leaving
	c.updateMember(c.self, st)
	c.leavePeriod()
}

// leavePeriod is the period of a node that goes: it probes nobody and answers still.
func (c *Core) leavePeriod() {
	c.probe.pending = false
	c.leavePeriodsLeft--
	if c.leavePeriodsLeft == 0 || c.living == 0 {
		c.left = true
		c.actions = append(c.actions, LeaveDone{})
		return
	}
	for range leaveFanout {
		c.sendTo(c.pickLiving(nil), c.appendBroadcasts(c.newHeader(wire.Gossip), c.self))
	}
}

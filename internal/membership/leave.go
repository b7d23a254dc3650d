package membership

import "wrenspread/internal/membership/wire"

// A leave is sent to leaveFanout random members in each of leavePeriods periods, so for 1.6 s. The answers of
// the leaving node carry it too. At a loss of 30%, all 24 datagrams are lost with a probability of 10 to the
// -12.
const (
	leavePeriods = 8
	leaveFanout  = 3
)

// leave starts the broadcast of the node's leave.
func (c *Core) leave() {
	if c.leavePeriodsLeft > 0 {
		return
	}
	c.leavePeriodsLeft = leavePeriods + 1
	statement := c.self.statement
	statement.Incarnation++
	statement.Health, statement.Metadata.State = Left, Leaving
	c.updateMember(c.self, statement)
	c.leavePeriod()
}

// leavePeriod does the work of one period of a leaving node, which sends no probes but still answers.
func (c *Core) leavePeriod() {
	c.probe.pending = false
	c.leavePeriodsLeft--
	if c.leavePeriodsLeft == 0 || c.livingCount == 0 {
		c.hasLeft = true
		c.actions = append(c.actions, LeaveDone{})
		return
	}
	for range leaveFanout {
		c.sendTo(c.pickLiving(nil), c.appendBroadcasts(c.newHeader(wire.Gossip), c.self))
	}
}

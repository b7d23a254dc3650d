package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"wrenspread/internal/membership/wire"
)

// Periods between two pings to seeds and between two pings to dead members. A node that has met no member yet
// pings a seed in each period. A node pings seeds for as long as it runs, so that the halves of a divided
// fleet find each other even after they have forgotten each other.
const (
	aloneSeedPeriods = 5  // seeds, by a node that knows no other living member
	seedPeriods      = 50 // seeds, by other nodes
	deadPeriods      = 5  // dead members
)

// Nodes that start together may meet in separate groups, or while the network is still divided. So a new node
// continues to ping seeds after it has met a member: one in each period for the first round, of at most
// maxFirstRoundSeeds, and then, for startupPeriods, as often as a node that is alone.
const (
	maxFirstRoundSeeds = 16
	startupPeriods     = 300 // a minute, by which the start of a fleet has ended
)

// seedList holds the seeds, the addresses by which the node joins, in random order.
type seedList struct {
	seeds []netip.AddrPort
	next  int
}

// set replaces the seeds. The node's own address and invalid ones are left out.
func (l *seedList) set(seeds []netip.AddrPort, own netip.AddrPort, rng *rand.Rand) {
	seeds = slices.Clone(seeds[:min(len(seeds), maxSeeds)])
	l.seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == own || !a.IsValid() })
	rng.Shuffle(len(l.seeds), func(a, b int) { l.seeds[a], l.seeds[b] = l.seeds[b], l.seeds[a] })
	l.next = 0
}

// probeSeed pings the next seed if a ping is due in this period.
func (c *Core) probeSeed() {
	interval := uint64(seedPeriods)
	switch {
	case !c.ownState.hasMetFleet || c.seeds.next < min(len(c.seeds.seeds), maxFirstRoundSeeds):
		interval = 1
	case c.livingCount == 0 || c.periods < startupPeriods:
		interval = aloneSeedPeriods
	}
	if len(c.seeds.seeds) == 0 || c.periods%interval != 0 {
		return
	}
	to := c.seeds.seeds[c.seeds.next%len(c.seeds.seeds)]
	c.seeds.next++
	c.lastSeq++
	c.send(Send{To: to, Data: c.appendBroadcasts(c.newNumbered(wire.Ping, c.lastSeq, 0), c.self)})
}

// probeDead pings a dead member every deadPeriods, so that the halves of a divided fleet find each other once
// the network is no longer divided.
func (c *Core) probeDead() {
	if c.deadCount > 0 && c.periods%deadPeriods == 0 {
		c.sendPing(c.pick(func(member *memberState) bool { return member.statement.Health == Dead }))
	}
}

package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"wrenspread/internal/membership/wire"
)

// Number of periods from one ping to a seed, or to a dead member, to the next. A node that has not met the
// fleet yet pings a seed in each period. All nodes continue to ping seeds, so that the parts of a fleet find
// each other after a partition even if they have forgotten each other.
const (
	aloneSeedPeriods = 5  // pings to seeds, if the node knows no other living member
	seedPeriods      = 50 // pings to seeds, if it knows one
	deadPeriods      = 5  // pings to dead members
)

// Nodes that start together may form separate groups at first, or start while the network is partitioned. So
// a new node continues to ping seeds after it has met the fleet: in the first round, of at most
// maxFirstRoundSeeds, one seed in each period, and then, until startupPeriods, one seed in every
// aloneSeedPeriods periods.
const (
	maxFirstRoundSeeds = 16
	startupPeriods     = 300 // a minute, by which the start of a fleet has ended
)

// seedList holds the seeds, the addresses that the node pings to join the fleet, in random order.
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

// probeDead pings a dead member every deadPeriods, so that the parts of a fleet find each other after a
// partition.
func (c *Core) probeDead() {
	if c.deadCount > 0 && c.periods%deadPeriods == 0 {
		c.sendPing(c.pick(func(member *memberState) bool { return member.statement.Health == Dead }))
	}
}

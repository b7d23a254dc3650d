package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"wrenspread/internal/membership/wire"
)

// Periods between questions: to seeds by a node that has met nobody (each), is alone, or has company; and to
// a dead member. A seed is asked for ever, so that halves find each other even after they have forgotten each
// other.
const (
	aloneSeedPeriods = 5
	seedPeriods      = 50
	deadPeriods      = 5
)

// Nodes that start together may meet in islands, or while a cut still lasts. So a new node goes on asking
// seeds, though it has met somebody: one a period through its first round, of maxFirstRoundSeeds at most, and
// then as one that is alone does, for youngPeriods.
const (
	maxFirstRoundSeeds = 16
	youngPeriods       = 300 // a minute: what starts a whole fleet is over by then
)

// seedList are the addresses to join by.
type seedList struct {
	seeds    []netip.AddrPort
	nextSeed int
}

func (j *seedList) set(seeds []netip.AddrPort, own netip.AddrPort, rng *rand.Rand) {
	seeds = slices.Clone(seeds[:min(len(seeds), maxSeeds)])
	j.seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == own || !a.IsValid() })
	rng.Shuffle(len(j.seeds), func(a, b int) { j.seeds[a], j.seeds[b] = j.seeds[b], j.seeds[a] })
	j.nextSeed = 0
}

// probeSeed asks one seed if it is time.
func (c *Core) probeSeed() {
	every := uint64(seedPeriods)
	switch {
	case !c.ownState.hasMet || c.join.nextSeed < min(len(c.join.seeds), maxFirstRoundSeeds):
		every = 1
	case c.living == 0 || c.periods < youngPeriods:
		every = aloneSeedPeriods
	}
	if len(c.join.seeds) == 0 || c.periods%every != 0 {
		return
	}
	to := c.join.seeds[c.join.nextSeed%len(c.join.seeds)]
	c.join.nextSeed++
	c.seq++
	c.send(Send{To: to, Data: c.appendBroadcasts(c.newNumbered(wire.Ping, c.seq, 0), c.self)})
}

// probeDead asks a dead member whether it is: so halves find each other once a cut has healed.
func (c *Core) probeDead() {
	if c.dead > 0 && c.periods%deadPeriods == 0 {
		c.sendPing(c.pick(func(r *memberState) bool { return r.statement.Health == Dead }))
	}
}

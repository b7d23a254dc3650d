package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"wrenspread/internal/membership/wire"
)

// Periods between questions: to seeds by a node that has met nobody (each), is alone, or has company; and to a dead member. A
// seed is asked for ever, so that halves find each other even after they have forgotten each other.
const (
	alonePeriods = 5
	seedPeriods  = 50
	deadPeriods  = 5
)

// Nodes that start together may meet in islands, or while a cut still lasts. So a new node goes on asking seeds, though it has met
// somebody: one a period through its first round, of mostAtFirst at most, and then as one that is alone does, for youngPeriods.
const (
	mostAtFirst  = 16
	youngPeriods = 300 // a minute: what starts a whole fleet is over by then
)

// joining are the addresses to join by.
type joining struct {
	seeds []netip.AddrPort
	at    int
}

func (j *joining) set(seeds []netip.AddrPort, own netip.AddrPort, rng *rand.Rand) {
	seeds = slices.Clone(seeds[:min(len(seeds), maxSeeds)])
	j.seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == own || !a.IsValid() })
	rng.Shuffle(len(j.seeds), func(a, b int) { j.seeds[a], j.seeds[b] = j.seeds[b], j.seeds[a] })
	j.at = 0
}

// askSeeds asks one seed if it is time.
func (c *Core) askSeeds() {
	every := uint64(seedPeriods)
	switch {
	case !c.own.met || c.join.at < min(len(c.join.seeds), mostAtFirst):
		every = 1
	case c.living == 0 || c.beats < youngPeriods:
		every = alonePeriods
	}
	if len(c.join.seeds) == 0 || c.beats%every != 0 {
		return
	}
	to := c.join.seeds[c.join.at%len(c.join.seeds)]
	c.join.at++
	c.seq++
	c.send(Send{To: to, Data: c.fill(c.numbered(wire.Ping, c.seq, 0), c.self)})
}

// askDead asks a dead member whether it is: so halves find each other once a cut has healed.
func (c *Core) askDead() {
	if c.dead > 0 && c.beats%deadPeriods == 0 {
		c.ping(c.pick(func(r *record) bool { return r.st.Health == Dead }))
	}
}

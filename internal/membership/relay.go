package membership

import (
	"slices"

	"wrenspread/internal/membership/wire"
)

// maxRelays bounds the members that are asked for others at a time: at most three fall to a node in a period
// on average, even if all probes fail.
const maxRelays = 64

// relay is a member that is asked for somebody else.
type relay struct {
	origin, target      *memberState
	requestSeq, pingSeq uint32 // numbers of the request and of the ping
	nackAt              Time   // when the origin is notified that there is no answer so far
	nacked              bool
}

// startRelay carries out a PingReq.
func (c *Core) startRelay(origin *memberState, d wire.Datagram) {
	target := c.byHash[d.Target]
	if target == nil || target == c.self || len(c.relays) >= maxRelays {
		return
	}
	c.relays = append(
		c.relays,
		relay{origin, target, d.Seq, c.sendPing(target), c.now + c.probeTimeout(), false},
	)
}

// finishRelays passes an answer on to those who wait for it.
func (c *Core) finishRelays(target *memberState, seq uint32) {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool {
		if r.target != target || r.pingSeq != seq {
			return false
		}
		c.sendTo(r.origin, c.newNumbered(wire.IndirectAck, r.requestSeq, target.hash))
		return true
	})
}

// expireRelays tells that there is no answer yet, and forgets a request after another period.
func (c *Core) expireRelays() {
	for i := range c.relays {
		if r := &c.relays[i]; !r.nacked && c.now >= r.nackAt {
			r.nacked = true
			c.sendTo(r.origin, c.newNumbered(wire.Nack, r.requestSeq, 0))
		}
	}
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return c.now >= r.nackAt+c.cfg.ProbeInterval })
}

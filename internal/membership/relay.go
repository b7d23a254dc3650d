package membership

import (
	"slices"

	"wrenspread/internal/membership/wire"
)

// maxRelays bounds the indirect probes that a node carries out for other nodes at a time. Even if all probes
// fail, a node gets at most three requests a period on average.
const maxRelays = 64

// relay is an indirect probe that this node carries out for another node, the origin.
type relay struct {
	origin, target      *memberState
	requestSeq, pingSeq uint32 // sequence numbers of the request and of this node's ping
	nackAt              Time   // when to notify the origin that the target has not answered so far
	nacked              bool
}

// startRelay pings the target of a PingReq on behalf of its sender, the origin. The request is dropped
// silently if the target is unknown or is this node itself, or if maxRelays relays are pending. If the target
// does not answer, the origin gets a Nack after probeTimeout, and the relay expires ProbeInterval after that.
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

// finishRelays passes a target's answer on to the origins that wait for it.
func (c *Core) finishRelays(target *memberState, seq uint32) {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool {
		if r.target != target || r.pingSeq != seq {
			return false
		}
		c.sendTo(r.origin, c.newNumbered(wire.IndirectAck, r.requestSeq, target.hash))
		return true
	})
}

// expireRelays sends a Nack for the indirect probes that have had no answer in time, and drops them after
// another period.
func (c *Core) expireRelays() {
	for i := range c.relays {
		if r := &c.relays[i]; !r.nacked && c.now >= r.nackAt {
			r.nacked = true
			c.sendTo(r.origin, c.newNumbered(wire.Nack, r.requestSeq, 0))
		}
	}
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return c.now >= r.nackAt+c.cfg.ProbeInterval })
}

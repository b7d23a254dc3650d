package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

const (
	ageResolution = 100 * 1e6 // a tenth of a second
	maxAge        = wire.MaxAge * ageResolution

	// gossipFanout is how many members get broadcasts each period while there are broadcasts, beside what rides
	// on probes: with them broadcasts reach about four more nodes for each that has them in a period.
	gossipFanout = 2
)

// broadcastQueue are the members whose statements are to be broadcast, by how often it has been.
type broadcastQueue struct {
	byTransmits [][]queuedBroadcast
	count       int
}

// queuedBroadcast stands for a broadcast; a newer one of the same member has another gen.
type queuedBroadcast struct {
	member   *memberState
	revision uint32
}

// retransmitLimit is how often one change is broadcast by each node: twice the logarithm, so that in a fleet
// without loss all but about one in n squared nodes hear of it. The digests find the rest.
func (c *Core) retransmitLimit() int { return 2 * bits.Len(uint(c.living+1)) }

// queueBroadcast makes r's statement one of the broadcasts.
func (c *Core) queueBroadcast(r *memberState) {
	r.revision++
	c.broadcasts.push(0, queuedBroadcast{r, r.revision})
	if c.broadcasts.count > 2*len(c.sorted)+64 {
		c.broadcasts.compact()
	}
}

// compareDigest notes whether another has the same digest. When so many in a row have it as are needed to
// hear of most of the fleet, there are no broadcasts left any more.
func (c *Core) compareDigest(digest uint64) {
	c.matchingDigests++
	if digest != c.digest {
		c.matchingDigests = 0
	}
	if c.matchingDigests >= c.retransmitLimit() {
		c.broadcasts = broadcastQueue{}
	}
}

// compact drops what newer broadcasts have replaced: the broadcasts are bounded by the members, however
// quickly these change.
func (n *broadcastQueue) compact() {
	n.count = 0
	for i := range n.byTransmits {
		n.byTransmits[i] = slices.DeleteFunc(
			n.byTransmits[i],
			func(it queuedBroadcast) bool { return it.revision != it.member.revision },
		)
		n.count += len(n.byTransmits[i])
	}
}

func (n *broadcastQueue) push(times int, it queuedBroadcast) {
	for len(n.byTransmits) <= times {
		n.byTransmits = append(n.byTransmits, nil)
	}
	n.byTransmits[times] = append(n.byTransmits[times], it)
	n.count++
}

// next takes out the member broadcast least often, the latest first; ok is false if there is none.
func (n *broadcastQueue) next() (it queuedBroadcast, times int, ok bool) {
	for times := range n.byTransmits {
		for l := len(n.byTransmits[times]); l > 0; l = len(n.byTransmits[times]) {
			it := n.byTransmits[times][l-1]
			n.byTransmits[times] = n.byTransmits[times][:l-1]
			n.count--
			if it.revision == it.member.revision {
				return it, times, true
			}
		}
	}
	return queuedBroadcast{}, 0, false
}

// statementOf is the statement on r as it is sent, with the age of a death or leave.
func (c *Core) statementOf(r *memberState) wire.Statement {
	st := r.statement
	if !r.living() {
		st.Age = uint16(min((c.now-r.since)/ageResolution, wire.MaxAge))
	}
	return st
}

// appendBroadcasts adds statements to a datagram until one does not fit: the leading ones, the broadcasts,
// and last the node's own, which brings its load.
func (c *Core) appendBroadcasts(b []byte, lead ...*memberState) []byte {
	for _, r := range lead {
		b, _ = wire.AppendStatement(b, c.statementOf(r))
	}
	var again []queuedBroadcast
	var at []int
	own := slices.Contains(lead, c.self)
	for fits := true; fits; {
		it, times, ok := c.broadcasts.next()
		if !ok {
			break
		}
		if !slices.Contains(lead, it.member) {
			b, fits = wire.AppendStatement(b, c.statementOf(it.member))
		}
		if fits {
			own = own || it.member == c.self
			times++
		}
		if times < c.retransmitLimit() {
			again, at = append(again, it), append(at, times)
		}
	}
	for i := len(again) - 1; i >= 0; i-- {
		c.broadcasts.push(at[i], again[i])
	}
	if !own {
		b, _ = wire.AppendStatement(b, c.statementOf(c.self))
	}
	return b
}

// gossipBroadcasts sends broadcasts to a few members beside the probes.
func (c *Core) gossipBroadcasts() {
	for range gossipFanout {
		if to := c.pickLiving(nil); to != nil && c.broadcasts.count > 0 {
			c.sendTo(to, c.appendBroadcasts(c.newHeader(wire.Gossip)))
		}
	}
}

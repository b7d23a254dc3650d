package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

const (
	ageResolution = 100 * 1e6 // unit of wire.Statement.Age in nanoseconds: a tenth of a second
	maxAge        = wire.MaxAge * ageResolution

	// gossipFanout is the number of members that are sent broadcasts in each period while there are broadcasts,
	// in addition to those that ride on probes. With it a node passes broadcasts on to about four nodes a
	// period.
	gossipFanout = 2
)

// broadcastQueue holds the members whose statements are to be broadcast.
type broadcastQueue struct {
	byTransmits [][]queuedBroadcast // by how often each has been broadcast
	count       int                 // of all entries, replaced ones included
}

// queuedBroadcast is a queued broadcast of a member's statement. It is replaced by a newer one if its
// revision differs from the member's.
type queuedBroadcast struct {
	member   *memberState
	revision uint32
}

// retransmitLimit returns how often each node broadcasts a change: twice the binary logarithm of the fleet's
// size, so that without loss all but about one in n squared nodes receive the change. The digests find the
// remaining nodes.
func (c *Core) retransmitLimit() int { return 2 * bits.Len(uint(c.livingCount+1)) }

// queueBroadcast queues a broadcast of the member's statement.
func (c *Core) queueBroadcast(member *memberState) {
	member.revision++
	c.broadcasts.push(0, queuedBroadcast{member, member.revision})
	if c.broadcasts.count > 2*len(c.sorted)+64 {
		c.broadcasts.compact()
	}
}

// compareDigest counts consecutive datagrams whose senders have this node's digest. Once retransmitLimit of
// them came in a row, most of the fleet has the same view and the queued broadcasts are dropped.
func (c *Core) compareDigest(digest uint64) {
	c.matchingDigests++
	if digest != c.digest {
		c.matchingDigests = 0
	}
	if c.matchingDigests >= c.retransmitLimit() {
		c.broadcasts = broadcastQueue{}
	}
}

// compact drops the broadcasts that newer ones have replaced, so that the number of members bounds the queue,
// however quickly members change.
func (q *broadcastQueue) compact() {
	q.count = 0
	for i := range q.byTransmits {
		q.byTransmits[i] = slices.DeleteFunc(
			q.byTransmits[i],
			func(b queuedBroadcast) bool { return b.revision != b.member.revision },
		)
		q.count += len(q.byTransmits[i])
	}
}

// push adds a broadcast that has been sent as often as transmits says.
func (q *broadcastQueue) push(transmits int, broadcast queuedBroadcast) {
	for len(q.byTransmits) <= transmits {
		q.byTransmits = append(q.byTransmits, nil)
	}
	q.byTransmits[transmits] = append(q.byTransmits[transmits], broadcast)
	q.count++
}

// next removes and returns the broadcast that has been sent least often, the latest first; ok is false if
// there is none.
func (q *broadcastQueue) next() (broadcast queuedBroadcast, transmits int, ok bool) {
	for transmits := range q.byTransmits {
		for count := len(q.byTransmits[transmits]); count > 0; count = len(q.byTransmits[transmits]) {
			broadcast := q.byTransmits[transmits][count-1]
			q.byTransmits[transmits] = q.byTransmits[transmits][:count-1]
			q.count--
			if broadcast.revision == broadcast.member.revision {
				return broadcast, transmits, true
			}
		}
	}
	return queuedBroadcast{}, 0, false
}

// statementOf returns the statement on a member as it is sent, with the age of a death or leave.
func (c *Core) statementOf(member *memberState) wire.Statement {
	statement := member.statement
	if !member.living() {
		statement.Age = uint16(min((c.now-member.since)/ageResolution, wire.MaxAge))
	}
	return statement
}

// appendBroadcasts appends statements to a datagram until one does not fit: those on the leading members, the
// broadcasts, and last the statement on this node, which carries its load.
func (c *Core) appendBroadcasts(datagram []byte, leading ...*memberState) []byte {
	for _, member := range leading {
		datagram, _ = wire.AppendStatement(datagram, c.statementOf(member))
	}
	var requeued []queuedBroadcast
	var requeuedTransmits []int
	includesSelf := slices.Contains(leading, c.self)
	for fits := true; fits; {
		broadcast, transmits, ok := c.broadcasts.next()
		if !ok {
			break
		}
		if !slices.Contains(leading, broadcast.member) {
			datagram, fits = wire.AppendStatement(datagram, c.statementOf(broadcast.member))
		}
		if fits {
			includesSelf = includesSelf || broadcast.member == c.self
			transmits++
		}
		if transmits < c.retransmitLimit() {
			requeued, requeuedTransmits = append(requeued, broadcast), append(requeuedTransmits, transmits)
		}
	}
	for i := len(requeued) - 1; i >= 0; i-- {
		c.broadcasts.push(requeuedTransmits[i], requeued[i])
	}
	if !includesSelf {
		datagram, _ = wire.AppendStatement(datagram, c.statementOf(c.self))
	}
	return datagram
}

// gossipBroadcasts sends broadcasts to a few members in addition to the probes.
func (c *Core) gossipBroadcasts() {
	for range gossipFanout {
		if to := c.pickLiving(nil); to != nil && c.broadcasts.count > 0 {
			c.sendTo(to, c.appendBroadcasts(c.newHeader(wire.Gossip)))
		}
	}
}

package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

const (
	ageResolution = 100 * 1e6 // unit of wire.Statement.Age in nanoseconds: a tenth of a second
	maxAge        = wire.MaxAge * ageResolution

	// gossipFanout is the number of members to which a node sends queued broadcasts in each period, in addition
	// to the broadcasts piggybacked on probes and answers. In total a node passes broadcasts on to about four
	// nodes a period.
	gossipFanout = 2
)

// broadcastQueue holds the members whose statements are to be broadcast.
type broadcastQueue struct {
	byTransmits [][]queuedBroadcast // index: how often the broadcast has been sent
	count       int                 // of all entries, replaced ones included
}

// queuedBroadcast is a queued broadcast of a member's statement. If its revision differs from the member's, a
// newer broadcast has replaced it.
type queuedBroadcast struct {
	member   *memberState
	revision uint32
}

// retransmitLimit returns how often each node broadcasts a change: twice the binary logarithm of the fleet's
// size, so that without loss all but about one in n squared nodes receive the change, in a fleet of n. The
// comparison of digests brings the change to the remaining nodes.
func (c *Core) retransmitLimit() int { return 2 * bits.Len(uint(c.livingCount+1)) }

// queueBroadcast queues a broadcast of the member's statement.
func (c *Core) queueBroadcast(member *memberState) {
	member.revision++
	c.broadcasts.push(0, queuedBroadcast{member, member.revision})
	if c.broadcasts.count > 2*len(c.sorted)+64 {
		c.broadcasts.compact()
	}
}

// compareDigest counts consecutive datagrams whose senders have this node's digest. After retransmitLimit
// such datagrams in a row, most of the fleet has the same view, and the queued broadcasts are dropped.
func (c *Core) compareDigest(digest uint64) {
	c.matchingDigests++
	if digest != c.digest {
		c.matchingDigests = 0
	}
	if c.matchingDigests >= c.retransmitLimit() {
		c.broadcasts = broadcastQueue{}
	}
}

// compact drops the broadcasts that newer broadcasts have replaced, so that the length of the queue is
// bounded by the number of members, however often members change.
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

// push adds a broadcast that has been sent transmits times.
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

// statementOf returns the statement on a member for a datagram, with the time since the member died or left.
func (c *Core) statementOf(member *memberState) wire.Statement {
	statement := member.statement
	if !member.living() {
		statement.Age = uint16(min((c.now-member.since)/ageResolution, wire.MaxAge))
	}
	return statement
}

// appendBroadcasts appends statements to a datagram as long as they fit: first the statements on the leading
// members, then queued broadcasts, and last the statement on this node, which carries its load.
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

// gossipBroadcasts sends queued broadcasts to gossipFanout random members.
func (c *Core) gossipBroadcasts() {
	for range gossipFanout {
		if to := c.pickLiving(nil); to != nil && c.broadcasts.count > 0 {
			c.sendTo(to, c.appendBroadcasts(c.newHeader(wire.Gossip)))
		}
	}
}

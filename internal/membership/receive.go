package membership

import (
	"net/netip"

	"wrenspread/internal/membership/wire"
)

// strangersPerPeriod bounds the answers in a period to strangers: senders that are not known, or that have
// another generation than the known one. With 64 answers a period, a seed can answer 300 joins within one
// second, and a flood causes no more answers than that.
const strangersPerPeriod = 64

// correctionsPerPeriod bounds the datagrams in a period that only correct a sender, by the newer statement on
// this node. Nodes receive about two datagrams a period, so there is bandwidth for corrections; without a
// bound, two nodes of which one can't apply the other's statement would answer each other once a round trip.
const correctionsPerPeriod = 16

// receiveDatagram handles a datagram. Datagrams of other fleets are dropped by their first five bytes.
func (c *Core) receiveDatagram(e Received) {
	if !wire.IsOurs(e.Data, c.fleet) {
		c.stats.Dropped++
		return
	}
	d, err := wire.Decode(e.Data)
	if err != nil {
		c.stats.Dropped++
		return
	}
	c.stats.Received++
	if d.Sender == c.self.hash {
		c.receiveFromOwnName(d, e.From)
		return
	}
	member, correctSender := c.applyDatagram(d, e.From)
	switch {
	case c.hasYielded:
	case member != nil && contradicts(d, member):
		c.answerStranger(d, e.From, member)
	case member == nil:
		c.answerStranger(d, e.From, c.self)
	case d.Generation != member.statement.Generation:
		c.answerStranger(d, e.From, member)
	default:
		c.recordContact(member, d)
		c.answerDatagram(member, d, correctSender)
	}
}

// applyDatagram applies the statements in a datagram, first the sender's statement on itself. If the sender
// is then unknown, of another generation, dead or left, the only other statements applied are those on this
// node, which this node can refute. So a node that was cut off does not spread the deaths that it saw.
// applyDatagram returns the sender (nil if not known) and whether the sender has an old statement on this
// node.
func (c *Core) applyDatagram(d wire.Datagram, from netip.AddrPort) (member *memberState, correctSender bool) {
	for _, statement := range d.Statements {
		if wire.Hash(statement.Name) == d.Sender && statement.Generation == d.Generation {
			c.applyStatement(statement, d.Kind)
		}
	}
	member = c.byHash[d.Sender]
	trusted := member != nil && member.statement.Generation == d.Generation && member.living()
	for _, statement := range d.Statements {
		switch hash := wire.Hash(statement.Name); {
		case c.hasYielded:
			return member, false
		case hash == c.self.hash:
			correctSender = c.receiveOwnStatement(statement, from) || correctSender
		case trusted && hash != d.Sender:
			c.applyStatement(statement, d.Kind)
		}
	}
	return c.byHash[d.Sender], correctSender
}

// contradicts reports whether a sender's statement on itself differs from the view, into which it has been
// merged, within one generation. If so, another process has the sender's name and generation, and an answer
// to the member's known address would not reach this sender. It is also so if a newer datagram of the sender
// arrived before this datagram, which is harmless.
func contradicts(d wire.Datagram, member *memberState) bool {
	for _, statement := range d.Statements {
		if statement.Name == member.statement.Name && statement.Generation == member.statement.Generation {
			statement.Health = member.statement.Health
			return statement.WithoutVolatile() != member.statement.WithoutVolatile()
		}
	}
	return false
}

// applyStatement merges a statement on another member into the view.
func (c *Core) applyStatement(statement wire.Statement, kind wire.Kind) {
	member := c.byHash[wire.Hash(statement.Name)]
	if member == nil {
		if statement.Health >= Dead && Time(statement.Age)*ageResolution >= c.cfg.DeadGossipTime {
			return
		}
		if member = c.addMember(statement); member == nil {
			return
		}
	} else {
		if member.statement.Name != statement.Name {
			return // two names with one hash: the first name stays in the view
		}
		if statement = merge(member.statement, statement); statement == member.statement {
			return
		}
	}
	before := member.sum
	c.updateMember(member, statement)
	if kind == wire.Answer && member.sum != before {
		c.antiEntropy.learnedByAnswer = true
	}
}

// recordContact records that the node has met the fleet, and whether the member's view differs from this
// node's.
func (c *Core) recordContact(member *memberState, d wire.Datagram) {
	if !c.ownState.hasMetFleet {
		c.ownState.hasMetFleet, c.ownState.metFleetAt = true, c.now
	}
	c.compareDigest(d.Digest)
	if d.Digest != c.digest && member.living() {
		c.antiEntropy.peer = member
	}
}

// answerDatagram handles a datagram by its kind. Answers to a sender that this node sees as suspect, dead or
// left include the statement on that sender, and a sender with an old statement on this node gets the newer
// statement.
func (c *Core) answerDatagram(member *memberState, d wire.Datagram, correctSender bool) {
	var leading []*memberState
	if member.statement.Health != Alive {
		leading = append(leading, member)
	}
	if correctSender || startsWithSender(d) {
		leading = append(leading, c.self)
	}
	switch d.Kind {
	case wire.Ping:
		c.sendTo(member, c.appendBroadcasts(c.newNumbered(wire.Ack, d.Seq, 0), leading...))
		return
	case wire.Ack:
		c.ackReceived(member, d.Seq)
		c.finishRelays(member, d.Seq)
	case wire.IndirectAck:
		c.ackReceived(c.byHash[d.Target], d.Seq)
	case wire.Nack:
		if c.probe.pending && d.Seq == c.probe.seq {
			c.probe.nacks++
		}
	case wire.PingReq:
		c.startRelay(member, d)
	case wire.Digest:
		c.compareRangeSums(member, d)
	case wire.RangeList:
		c.compareList(member, d)
	case wire.WantMembers:
		c.answerWantMembers(member, d)
	}
	if correctSender && c.correctionBudget > 0 {
		c.correctionBudget--
		c.sendTo(member, c.appendBroadcasts(c.newHeader(wire.Gossip), leading...))
	}
}

// startsWithSender reports whether a datagram is a ping whose first statement is on its sender. Such a sender
// may not know this node, so the answer begins with a statement on this node.
func startsWithSender(d wire.Datagram) bool {
	return d.Kind == wire.Ping && len(d.Statements) > 0 && wire.Hash(d.Statements[0].Name) == d.Sender
}

// answerStranger answers a stranger's ping, at the address that the ping came from. The answer begins with
// the statement on leading. If the sender's name is known, leading is the member of that name, so that the
// sender can raise its generation above the known one; else it is this node.
func (c *Core) answerStranger(d wire.Datagram, from netip.AddrPort, leading *memberState) {
	if d.Kind != wire.Ping || c.strangerBudget <= 0 || !from.IsValid() {
		return
	}
	c.strangerBudget--
	c.send(Send{To: from, Data: c.appendBroadcasts(c.newNumbered(wire.Ack, d.Seq, 0), leading)})
}

package membership

import (
	"net/netip"

	"wrenspread/internal/membership/wire"
)

// strangersPerPeriod bounds the answers to those who are not known or come from a previous generation. With
// it 300 joins in a second over one seed are answered within one, and a flood costs no more.
const strangersPerPeriod = 64

// correctionsPerPeriod bounds the datagrams that only tell a sender the newer statement of this node. Nodes
// hear about two datagrams a period, so there is bandwidth for these; without a bound two nodes of which one
// can't take the other's statement up answer each other once a round trip.
const correctionsPerPeriod = 16

// received takes a datagram. What is not of this fleet is dropped by its first five bytes.
func (c *Core) received(e Received) {
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
	r, tellSelf := c.applyDatagram(d, e.From)
	switch {
	case c.yielded:
	case r != nil && contradicts(d, r):
		c.answerStranger(d, e.From, r)
	case r == nil:
		c.answerStranger(d, e.From, c.self)
	case d.Generation != r.statement.Generation:
		c.answerStranger(d, e.From, r)
	default:
		c.noteContact(r, d)
		c.answerDatagram(r, d, tellSelf)
	}
}

// applyDatagram takes up the statements in a datagram, the sender's on itself first. Of a sender that is
// unknown, of another generation, dead or left nothing else is believed but what concerns this node, which it
// can refute: so one that was cut off does not spread its deaths. tellSelf says that the sender has an old
// statement of this node.
func (c *Core) applyDatagram(d wire.Datagram, from netip.AddrPort) (r *memberState, tellSelf bool) {
	for _, st := range d.Statements {
		if wire.Hash(st.Name) == d.Sender && st.Generation == d.Generation {
			c.applyStatement(st, d.Kind)
		}
	}
	r = c.byHash[d.Sender]
	trusted := r != nil && r.statement.Generation == d.Generation && r.living()
	for _, st := range d.Statements {
		switch hash := wire.Hash(st.Name); {
		case c.yielded:
			return r, false
		case hash == c.self.hash:
			tellSelf = c.receiveOwnStatement(st, from) || tellSelf
		case trusted && hash != d.Sender:
			c.applyStatement(st, d.Kind)
		}
	}
	return c.byHash[d.Sender], tellSelf
}

// contradicts says that a sender's own statement, already merged, is not what holds of it in its generation.
// It is a process beside another of its name and generation, which answers by name would miss, or (harmless)
// an overtaken datagram.
func contradicts(d wire.Datagram, r *memberState) bool {
	for _, st := range d.Statements {
		if st.Name == r.statement.Name && st.Generation == r.statement.Generation {
			st.Health = r.statement.Health
			return st.WithoutVolatile() != r.statement.WithoutVolatile()
		}
	}
	return false
}

// applyStatement merges a statement on another member into the view.
func (c *Core) applyStatement(st wire.Statement, kind wire.Kind) {
	r := c.byHash[wire.Hash(st.Name)]
	if r == nil {
		if st.Health >= Dead && Time(st.Age)*ageResolution >= c.cfg.DeadGossipTime {
			return
		}
		if r = c.addMember(st); r == nil {
			return
		}
	} else {
		if r.statement.Name != st.Name {
			return // two names of one hash: the first stays
		}
		if st = merge(r.statement, st); st == r.statement {
			return
		}
	}
	before := r.sum
	c.updateMember(r, st)
	if kind == wire.Answer && r.sum != before {
		c.antiEntropy.learned = true
	}
}

// noteContact notes that somebody of the fleet is there, and whether its view is another one.
func (c *Core) noteContact(r *memberState, d wire.Datagram) {
	if !c.ownState.hasMet {
		c.ownState.hasMet, c.ownState.metAt = true, c.now
	}
	c.compareDigest(d.Digest)
	if d.Digest != c.digest && r.living() {
		c.antiEntropy.peer = r
	}
}

// answerDatagram does what the datagram asks for. A sender that is considered other than alive is notified of
// that, and one with an old statement of this node hears the new one.
func (c *Core) answerDatagram(r *memberState, d wire.Datagram, tellSelf bool) {
	var lead []*memberState
	if r.statement.Health != Alive {
		lead = append(lead, r)
	}
	if tellSelf || introduces(d) {
		lead = append(lead, c.self)
	}
	switch d.Kind {
	case wire.Ping:
		c.sendTo(r, c.appendBroadcasts(c.newNumbered(wire.Ack, d.Seq, 0), lead...))
		return
	case wire.Ack:
		c.ackReceived(r, d.Seq)
		c.finishRelays(r, d.Seq)
	case wire.IndirectAck:
		c.ackReceived(c.byHash[d.Target], d.Seq)
	case wire.Nack:
		if c.probe.pending && d.Seq == c.probe.seq {
			c.probe.nacks++
		}
	case wire.PingReq:
		c.startRelay(r, d)
	case wire.Digest:
		c.compareRangeSums(r, d)
	case wire.RangeList:
		c.compareList(r, d)
	case wire.WantMembers:
		c.answerWant(r, d)
	}
	if tellSelf && c.correctionBudget > 0 {
		c.correctionBudget--
		c.sendTo(r, c.appendBroadcasts(c.newHeader(wire.Gossip), lead...))
	}
}

// introduces says that a ping begins with its sender itself: it may not know this node, which then introduces
// itself.
func introduces(d wire.Datagram) bool {
	return d.Kind == wire.Ping && len(d.Statements) > 0 && wire.Hash(d.Statements[0].Name) == d.Sender
}

// answerStranger answers a ping of one that is not known, or of a generation that is not the one known, where
// it came from. It hears what is known of its name, so that it can take a higher generation.
func (c *Core) answerStranger(d wire.Datagram, from netip.AddrPort, lead *memberState) {
	if d.Kind != wire.Ping || c.strangerBudget <= 0 || !from.IsValid() {
		return
	}
	c.strangerBudget--
	c.send(Send{To: from, Data: c.appendBroadcasts(c.newNumbered(wire.Ack, d.Seq, 0), lead)})
}

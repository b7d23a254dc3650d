package membership

import (
	"net/netip"

	"wrenspread/internal/membership/wire"
)

// strangersPerPeriod bounds the answers to those who are not known or come from a former life. With it 300 joins in a second over one seed
// are answered within one, and a flood costs no more.
const strangersPerPeriod = 64

// correctionsPerPeriod bounds the datagrams that only tell a sender the newer word of this node. Nodes hear about two datagrams a period, so
// there is room; without a bound two nodes of which one can't take the other's word up answer each other once a round trip.
const correctionsPerPeriod = 16

// received takes a datagram. What is not of this fleet is dropped by its first five bytes.
func (c *Core) received(e Received) {
	if !wire.Ours(e.Data, c.fleet) {
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
		c.fromOwnName(d, e.From)
		return
	}
	r, tellSelf := c.listen(d, e.From)
	switch {
	case c.yielded:
	case r != nil && contradicts(d, r):
		c.answerStranger(d, e.From, r)
	case r == nil:
		c.answerStranger(d, e.From, c.self)
	case d.Life != r.st.Life:
		c.answerStranger(d, e.From, r)
	default:
		c.meet(r, d)
		c.serve(r, d, tellSelf)
	}
}

// listen takes up the statements in a datagram, the sender's on itself first. Of a sender that is unknown, of another life, dead or left nothing
// else is believed but what concerns this node, which it can refute: so one that was cut off does not spread its deaths. tellSelf says that the sender has an old word of this node.
func (c *Core) listen(d wire.Datagram, from netip.AddrPort) (r *record, tellSelf bool) {
	for _, st := range d.Statements {
		if wire.Hash(st.Name) == d.Sender && st.Life == d.Life {
			c.take(st, d.Kind)
		}
	}
	r = c.byHash[d.Sender]
	trusted := r != nil && r.st.Life == d.Life && r.living()
	for _, st := range d.Statements {
		switch hash := wire.Hash(st.Name); {
		case c.yielded:
			return r, false
		case hash == c.self.hash:
			tellSelf = c.toldOfSelf(st, from) || tellSelf
		case trusted && hash != d.Sender:
			c.take(st, d.Kind)
		}
	}
	return c.byHash[d.Sender], tellSelf
}

// contradicts says that a sender's own statement, already merged, is not what holds of it in its life. It is a process beside another of its
// name and life, which answers by name would miss, or (harmless) an overtaken datagram.
func contradicts(d wire.Datagram, r *record) bool {
	for _, st := range d.Statements {
		if st.Name == r.st.Name && st.Life == r.st.Life {
			st.Health = r.st.Health
			return st.Plain() != r.st.Plain()
		}
	}
	return false
}

// take merges a statement on another member into the view.
func (c *Core) take(st wire.Statement, kind wire.Kind) {
	r := c.byHash[wire.Hash(st.Name)]
	if r == nil {
		if st.Health >= Dead && Time(st.Age)*ageUnit >= c.cfg.Fresh {
			return
		}
		if r = c.admit(st); r == nil {
			return
		}
	} else {
		if r.st.Name != st.Name {
			return // two names of one hash: the first stays
		}
		if st = merge(r.st, st); st == r.st {
			return
		}
	}
	before := r.sum
	c.set(r, st)
	if kind == wire.Told && r.sum != before {
		c.sync.learned = true
	}
}

// meet notes that somebody of the fleet is there, and whether its view is another one.
func (c *Core) meet(r *record, d wire.Datagram) {
	if !c.own.met {
		c.own.met, c.own.metAt = true, c.now
	}
	c.compareDigest(d.Digest)
	if d.Digest != c.root && r.living() {
		c.sync.with = r
	}
}

// serve does what the datagram asks for. A sender that is held other than alive is told so, and one with an old word of this node
// hears the new one.
func (c *Core) serve(r *record, d wire.Datagram, tellSelf bool) {
	var lead []*record
	if r.st.Health != Alive {
		lead = append(lead, r)
	}
	if tellSelf || introduces(d) {
		lead = append(lead, c.self)
	}
	switch d.Kind {
	case wire.Ping:
		c.sendTo(r, c.fill(c.numbered(wire.Ack, d.Seq, 0), lead...))
		return
	case wire.Ack:
		c.answered(r, d.Seq)
		c.relayed(r, d.Seq)
	case wire.Indirect:
		c.answered(c.byHash[d.Target], d.Seq)
	case wire.Nack:
		if c.probe.open && d.Seq == c.probe.seq {
			c.probe.nacks++
		}
	case wire.PingReq:
		c.askFor(r, d)
	case wire.Digest:
		c.compareSums(r, d)
	case wire.List:
		c.compareList(r, d)
	case wire.Want:
		c.answerWant(r, d)
	}
	if tellSelf && c.corrections > 0 {
		c.corrections--
		c.sendTo(r, c.fill(c.head(wire.Gossip), lead...))
	}
}

// introduces says that a ping begins with its sender itself: it may not know this node, which then introduces itself.
func introduces(d wire.Datagram) bool {
	return d.Kind == wire.Ping && len(d.Statements) > 0 && wire.Hash(d.Statements[0].Name) == d.Sender
}

// answerStranger answers a ping of one that is not known, or of a life that is not the one known, where it came from. It hears
// what is known of its name, so that it can take a higher life.
func (c *Core) answerStranger(d wire.Datagram, from netip.AddrPort, lead *record) {
	if d.Kind != wire.Ping || c.strangers <= 0 || !from.IsValid() {
		return
	}
	c.strangers--
	c.send(Send{To: from, Data: c.fill(c.numbered(wire.Ack, d.Seq, 0), lead)})
}

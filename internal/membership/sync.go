package membership

import "wrenspread/internal/membership/wire"

// Every datagram carries the digest of its sender's view. A node that has met another digest asks for the difference, once in
// syncPeriods, or each period as long as it learns that way. It compares 16 sums, goes into at most maxBranches ranges
// that differ, drawn anew each time, and spends at most syncPerPeriod datagrams a period on it: about 80 members.
const (
	syncPeriods   = 2
	maxBranches   = 4
	syncPerPeriod = 24
	listTold      = 4 // datagrams of statements in answer to one list
)

type syncing struct {
	with    *record // met with another digest
	last    uint64  // period of the last question
	learned bool
	credit  int
}

func (c *Core) startSync() {
	s := &c.sync
	if s.with == nil || !(s.learned || s.last == 0 || c.beats-s.last >= syncPeriods) {
		return
	}
	to := s.with
	s.with, s.learned, s.last = nil, false, c.beats
	if to.living() {
		c.stats.Synced++
		c.sendSums(to, 0, 0)
	}
}

// pay takes one datagram off what this period may spend.
func (c *Core) pay() bool {
	c.sync.credit--
	return c.sync.credit >= 0
}

func (c *Core) sendSums(to *record, depth, place uint8) {
	if c.pay() {
		c.sendTo(to, c.datagram(wire.Datagram{Head: wire.Head{Kind: wire.Digest}, Depth: depth, Place: place, Sums: c.sumsOf(depth, place)}))
	}
}

// compareSums answers a Digest: a range that differs is listed, or divided further if it holds too many.
func (c *Core) compareSums(r *record, d wire.Datagram) {
	mine := c.sumsOf(d.Depth, d.Place)
	first, branches := c.rng.IntN(wire.Fanout), 0
	for i := range wire.Fanout {
		child := (first + i) % wire.Fanout
		if mine[child] == d.Sums[child] || branches == maxBranches {
			continue
		}
		branches++
		from, to := rangeOf(d.Depth, d.Place, child)
		in := c.shownIn(from, to)
		if d.Depth == 0 && len(in) > wire.MaxEntries {
			c.sendSums(r, 1, uint8(child))
		} else {
			c.sendList(r, from, to, in)
		}
	}
}

// sendList names all members of a range, in as many parts as it takes.
func (c *Core) sendList(r *record, from, to uint64, in []*record) {
	for more := true; more && c.pay(); {
		d := wire.Datagram{Head: wire.Head{Kind: wire.List}, From: from, To: to}
		more = len(in) > wire.MaxEntries
		if more {
			d.To = in[wire.MaxEntries-1].hash
			from = d.To + 1
		}
		for _, m := range in[:min(len(in), wire.MaxEntries)] {
			d.Entries = append(d.Entries, wire.Entry{Hash: m.hash, Sum: uint32(m.sum)})
		}
		in = in[len(d.Entries):]
		c.sendTo(r, c.datagram(d))
	}
}

// compareList answers a List: it tells of members that the other lacks or sees differently, and wants the other's word on those and on the ones that it lacks itself.
func (c *Core) compareList(r *record, d wire.Datagram) {
	theirs := map[uint64]uint32{}
	var tell []*record
	want := wire.Datagram{Head: wire.Head{Kind: wire.Want}}
	for _, e := range d.Entries {
		theirs[e.Hash] = e.Sum
		mine := c.byHash[e.Hash]
		if mine == nil || uint32(mine.sum) != e.Sum {
			want.Wants = append(want.Wants, e.Hash)
		}
		if mine != nil && uint32(mine.sum) != e.Sum {
			tell = append(tell, mine)
		}
	}
	for _, m := range c.shownIn(d.From, d.To) {
		if _, has := theirs[m.hash]; !has {
			tell = append(tell, m)
		}
	}
	c.tellAll(r, tell)
	if len(want.Wants) > 0 && c.pay() {
		want.Wants = want.Wants[:min(len(want.Wants), wire.MaxWants)]
		c.sendTo(r, c.datagram(want))
	}
}

func (c *Core) answerWant(r *record, d wire.Datagram) {
	var tell []*record
	for _, h := range d.Wants {
		if m := c.byHash[h]; m != nil {
			tell = append(tell, m)
		}
	}
	c.tellAll(r, tell)
}

// tellAll sends statements in a few datagrams, beginning at a drawn one: what is left over gets its turn another time.
func (c *Core) tellAll(r *record, tell []*record) {
	if len(tell) == 0 {
		return
	}
	first := c.rng.IntN(len(tell))
	at := 0
	for range listTold {
		if at == len(tell) || !c.pay() {
			return
		}
		b := c.head(wire.Told)
		for fits := true; at < len(tell); at++ {
			if b, fits = wire.AppendStatement(b, c.told(tell[(first+at)%len(tell)])); !fits {
				break
			}
		}
		c.sendTo(r, b)
	}
}

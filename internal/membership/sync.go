package membership

import "wrenspread/internal/membership/wire"

// Every datagram carries the digest of its sender's view. A node that has met another digest asks for the
// difference, once in syncPeriods, or each period as long as it learns that way. It compares 16 sums, goes
// into at most maxBranches ranges that differ, drawn anew each time, and spends at most syncPerPeriod
// datagrams a period on it: about 80 members.
const (
	syncPeriods    = 2
	maxBranches    = 4
	syncPerPeriod  = 24
	maxListAnswers = 4 // datagrams of statements in answer to one list
)

type antiEntropy struct {
	peer       *memberState // met with another digest
	lastPeriod uint64       // period of the last question
	learned    bool
	credit     int
}

func (c *Core) startAntiEntropy() {
	s := &c.antiEntropy
	if s.peer == nil || (!s.learned && s.lastPeriod != 0 && c.periods-s.lastPeriod < syncPeriods) {
		return
	}
	to := s.peer
	s.peer, s.learned, s.lastPeriod = nil, false, c.periods
	if to.living() {
		c.stats.Synced++
		c.sendDigest(to, 0, 0)
	}
}

// takeSyncCredit takes one datagram off what this period may spend.
func (c *Core) takeSyncCredit() bool {
	c.antiEntropy.credit--
	return c.antiEntropy.credit >= 0
}

func (c *Core) sendDigest(to *memberState, depth, place uint8) {
	if c.takeSyncCredit() {
		c.sendTo(
			to,
			c.newDatagram(
				wire.Datagram{
					Header: wire.Header{Kind: wire.Digest},
					Depth:  depth,
					Range:  place,
					Sums:   c.rangeSumsOf(depth, place),
				},
			),
		)
	}
}

// compareRangeSums answers a Digest: a range that differs is listed, or divided further if it holds too many.
func (c *Core) compareRangeSums(r *memberState, d wire.Datagram) {
	mine := c.rangeSumsOf(d.Depth, d.Range)
	first, branches := c.random.IntN(wire.Fanout), 0
	for i := range wire.Fanout {
		child := (first + i) % wire.Fanout
		if mine[child] == d.Sums[child] || branches == maxBranches {
			continue
		}
		branches++
		from, to := rangeOf(d.Depth, d.Range, child)
		in := c.membersInRange(from, to)
		if d.Depth == 0 && len(in) > wire.MaxEntries {
			c.sendDigest(r, 1, uint8(child))
		} else {
			c.sendList(r, from, to, in)
		}
	}
}

// sendList names all members of a range, in as many parts as it takes.
func (c *Core) sendList(r *memberState, from, to uint64, in []*memberState) {
	for more := true; more && c.takeSyncCredit(); {
		d := wire.Datagram{Header: wire.Header{Kind: wire.RangeList}, From: from, To: to}
		more = len(in) > wire.MaxEntries
		if more {
			d.To = in[wire.MaxEntries-1].hash
			from = d.To + 1
		}
		for _, m := range in[:min(len(in), wire.MaxEntries)] {
			d.Entries = append(d.Entries, wire.Entry{Hash: m.hash, Sum: uint32(m.sum)})
		}
		in = in[len(d.Entries):]
		c.sendTo(r, c.newDatagram(d))
	}
}

// compareList answers a RangeList: it tells of members that the other lacks or sees differently, and wants
// the other's statement on those and on the ones that it lacks itself.
func (c *Core) compareList(r *memberState, d wire.Datagram) {
	theirs := map[uint64]uint32{}
	var tell []*memberState
	want := wire.Datagram{Header: wire.Header{Kind: wire.WantMembers}}
	for _, e := range d.Entries {
		theirs[e.Hash] = e.Sum
		mine := c.byHash[e.Hash]
		if mine == nil || uint32(mine.sum) != e.Sum {
			want.Wanted = append(want.Wanted, e.Hash)
		}
		if mine != nil && uint32(mine.sum) != e.Sum {
			tell = append(tell, mine)
		}
	}
	for _, m := range c.membersInRange(d.From, d.To) {
		if _, has := theirs[m.hash]; !has {
			tell = append(tell, m)
		}
	}
	c.sendStatements(r, tell)
	if len(want.Wanted) > 0 && c.takeSyncCredit() {
		want.Wanted = want.Wanted[:min(len(want.Wanted), wire.MaxWanted)]
		c.sendTo(r, c.newDatagram(want))
	}
}

func (c *Core) answerWant(r *memberState, d wire.Datagram) {
	var tell []*memberState
	for _, h := range d.Wanted {
		if m := c.byHash[h]; m != nil {
			tell = append(tell, m)
		}
	}
	c.sendStatements(r, tell)
}

// sendStatements sends statements in a few datagrams, beginning at a drawn one: what is left over gets its
// turn another time.
func (c *Core) sendStatements(r *memberState, tell []*memberState) {
	if len(tell) == 0 {
		return
	}
	first := c.random.IntN(len(tell))
	at := 0
	for range maxListAnswers {
		if at == len(tell) || !c.takeSyncCredit() {
			return
		}
		b := c.newHeader(wire.Answer)
		for ; at < len(tell); at++ {
			var fits bool
			if b, fits = wire.AppendStatement(b, c.statementOf(tell[(first+at)%len(tell)])); !fits {
				break
			}
		}
		c.sendTo(r, b)
	}
}

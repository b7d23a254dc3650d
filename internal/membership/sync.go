package membership

import "wrenspread/internal/membership/wire"

// Every datagram carries the digest of its sender's view. A node that has received a different digest sends
// the sums of 16 ranges to the sender of that digest: once in syncPeriods periods, or in each period while
// answers bring new statements. The receiver of the sums continues with at most maxRangesPerDigest ranges
// that differ, chosen at random each time. A node sends at most syncPerPeriod datagrams a period to compare
// views, which is enough for about 80 members.
const (
	syncPeriods        = 2
	maxRangesPerDigest = 4
	syncPerPeriod      = 24
	maxListAnswers     = 4 // datagrams of statements in answer to one RangeList or WantMembers
)

// antiEntropy is the state of the comparison of views.
type antiEntropy struct {
	peer             *memberState // last member whose digest differed; nil means none
	lastDigestPeriod uint64       // period in which the last Digest was sent
	learnedByAnswer  bool         // an Answer has changed the view since the last Digest was sent
	datagramCredit   int          // datagrams that may still be sent in this period
}

// startAntiEntropy sends a Digest to the last member whose digest differed, if a Digest is due.
func (c *Core) startAntiEntropy() {
	state := &c.antiEntropy
	if state.peer == nil || (!state.learnedByAnswer && state.lastDigestPeriod != 0 &&
		c.periods-state.lastDigestPeriod < syncPeriods) {
		return
	}
	to := state.peer
	state.peer, state.learnedByAnswer, state.lastDigestPeriod = nil, false, c.periods
	if to.living() {
		c.stats.Synced++
		c.sendDigest(to, 0, 0)
	}
}

// takeSyncCredit takes one datagram from the period's credit, and reports whether it may be sent.
func (c *Core) takeSyncCredit() bool {
	c.antiEntropy.datagramCredit--
	return c.antiEntropy.datagramCredit >= 0
}

// sendDigest sends the sums of the 16 parts of a range, which depth and index identify as for rangeSumsOf.
func (c *Core) sendDigest(to *memberState, depth, index uint8) {
	if c.takeSyncCredit() {
		c.sendTo(
			to,
			c.newDatagram(
				wire.Datagram{
					Header: wire.Header{Kind: wire.Digest},
					Depth:  depth,
					Range:  index,
					Sums:   c.rangeSumsOf(depth, index),
				},
			),
		)
	}
}

// compareRangeSums answers a Digest. For each range that differs it sends the list of the range's members or,
// if there are too many for one list, the sums of smaller ranges.
func (c *Core) compareRangeSums(member *memberState, d wire.Datagram) {
	mine := c.rangeSumsOf(d.Depth, d.Range)
	first, branches := c.random.IntN(wire.Fanout), 0
	for i := range wire.Fanout {
		child := (first + i) % wire.Fanout
		if mine[child] == d.Sums[child] || branches == maxRangesPerDigest {
			continue
		}
		branches++
		from, to := rangeOf(d.Depth, d.Range, child)
		members := c.membersInRange(from, to)
		if d.Depth == 0 && len(members) > wire.MaxEntries {
			c.sendDigest(member, 1, uint8(child))
		} else {
			c.sendList(member, from, to, members)
		}
	}
}

// sendList sends the list of a range's members, in as many datagrams as the list takes.
func (c *Core) sendList(member *memberState, from, to uint64, members []*memberState) {
	for incomplete := true; incomplete && c.takeSyncCredit(); {
		d := wire.Datagram{Header: wire.Header{Kind: wire.RangeList}, From: from, To: to}
		incomplete = len(members) > wire.MaxEntries
		if incomplete {
			d.To = members[wire.MaxEntries-1].hash
			from = d.To + 1
		}
		for _, m := range members[:min(len(members), wire.MaxEntries)] {
			d.Entries = append(d.Entries, wire.Entry{Hash: m.hash, Sum: uint32(m.sum)})
		}
		members = members[len(d.Entries):]
		c.sendTo(member, c.newDatagram(d))
	}
}

// compareList answers a RangeList: it sends statements on the members that the sender lacks or sees
// differently, and requests the sender's statements on the members that this node lacks or sees differently.
func (c *Core) compareList(member *memberState, d wire.Datagram) {
	theirSums := map[uint64]uint32{}
	var toSend []*memberState
	request := wire.Datagram{Header: wire.Header{Kind: wire.WantMembers}}
	for _, e := range d.Entries {
		theirSums[e.Hash] = e.Sum
		mine := c.byHash[e.Hash]
		if mine == nil || uint32(mine.sum) != e.Sum {
			request.Wanted = append(request.Wanted, e.Hash)
		}
		if mine != nil && uint32(mine.sum) != e.Sum {
			toSend = append(toSend, mine)
		}
	}
	for _, m := range c.membersInRange(d.From, d.To) {
		if _, has := theirSums[m.hash]; !has {
			toSend = append(toSend, m)
		}
	}
	c.sendStatements(member, toSend)
	if len(request.Wanted) > 0 && c.takeSyncCredit() {
		request.Wanted = request.Wanted[:min(len(request.Wanted), wire.MaxWanted)]
		c.sendTo(member, c.newDatagram(request))
	}
}

// answerWantMembers answers a WantMembers with the statements on the wanted members.
func (c *Core) answerWantMembers(member *memberState, d wire.Datagram) {
	var toSend []*memberState
	for _, h := range d.Wanted {
		if m := c.byHash[h]; m != nil {
			toSend = append(toSend, m)
		}
	}
	c.sendStatements(member, toSend)
}

// sendStatements sends the statements on members in at most maxListAnswers datagrams. It starts at a random
// member, so that statements that don't fit this time are sent another time.
func (c *Core) sendStatements(member *memberState, members []*memberState) {
	if len(members) == 0 {
		return
	}
	first := c.random.IntN(len(members))
	sent := 0
	for range maxListAnswers {
		if sent == len(members) || !c.takeSyncCredit() {
			return
		}
		datagram := c.newHeader(wire.Answer)
		for ; sent < len(members); sent++ {
			var fits bool
			if datagram, fits = wire.AppendStatement(
				datagram,
				c.statementOf(members[(first+sent)%len(members)]),
			); !fits {
				break
			}
		}
		c.sendTo(member, datagram)
	}
}

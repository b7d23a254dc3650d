package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

// indirectProbes is the number of members that are asked for an indirect probe if there is no direct answer.
// With three, and a loss of 30% on each way, one probe in nine of a living member fails (0.51 x 0.51 x
// 0.76^3). So a member is accused only after several probes in a row have failed: see failedProbesToAccuse.
const indirectProbes = 3

// failedProbesToAccuse returns how many probes of a member, one a period, must fail in a row before the
// member is accused: two, and three from 512 members on. At a loss of 30% that leaves one accusation in 80
// (with three, 700) probes of living members, about 20 a second in a fleet of 300 (2,000), whose broadcasts
// and refutations still fit on the datagrams. A death is found one period (two periods) later.
func (c *Core) failedProbesToAccuse() int { return max(2, (bits.Len(uint(c.livingCount+1))+2)/4) }

// probeRound is the order of probes: in each round all living members once, in random order. So a node probes
// each member after two rounds at the latest, and some node probes it after 1.6 periods on average, however
// large the fleet is.
type probeRound struct {
	members []*memberState
	next    int
}

// addToRound adds a member that is new, or alive again, at a random position in the rest of the round.
func (c *Core) addToRound(member *memberState) {
	if member == c.self || member.inRound || !member.living() {
		return
	}
	member.inRound = true
	members := append(c.probeRound.members, member)
	i := c.probeRound.next + c.random.IntN(len(members)-c.probeRound.next)
	members[len(members)-1], members[i] = members[i], members[len(members)-1]
	c.probeRound.members = members
}

// nextInRound returns the next living member to probe, and starts a new round if the present one has ended;
// nil if there is none.
func (c *Core) nextInRound() *memberState {
	if c.probeRound.next >= len(c.probeRound.members) {
		c.shuffleRound()
	}
	for c.probeRound.next < len(c.probeRound.members) {
		member := c.probeRound.members[c.probeRound.next]
		c.probeRound.next++
		if member.living() {
			return member
		}
		member.inRound = false
	}
	return nil
}

func (c *Core) shuffleRound() {
	c.probeRound.members, c.probeRound.next = c.probeRound.members[:0], 0
	for _, member := range c.sorted {
		member.inRound = member != c.self && member.living()
		if member.inRound {
			c.probeRound.members = append(c.probeRound.members, member)
		}
	}
	members := c.probeRound.members
	c.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// probe is the probe of the present period.
type probe struct {
	target              *memberState
	repeatTarget        *memberState // member to probe once more in the next period
	seq                 uint32
	indirectAt          Time // when indirect probes are requested
	pending             bool // there is no answer so far
	indirectSent, nacks int  // helpers asked, and helpers that reported that they have no answer
	failedBefore        int  // consecutive probes of the target that failed before this one
}

// awaitsDirectAck reports whether the probe waits for a direct answer, without indirect probes.
func (p *probe) awaitsDirectAck() bool { return p.pending && p.indirectSent == 0 }

// startProbe starts the probe of a period: of the member whose probe is to be repeated, or the next in the
// round.
func (c *Core) startProbe() {
	member, failed := c.probe.repeatTarget, c.probe.failedBefore
	if member == nil || !member.living() {
		member, failed = c.nextInRound(), 0
	}
	c.probe = probe{}
	if member != nil {
		c.stats.Probes++
		c.probe = probe{
			target:       member,
			seq:          c.sendPing(member),
			indirectAt:   c.now + c.probeTimeout(),
			pending:      true,
			failedBefore: failed,
		}
	}
}

// sendPing pings a member and returns the ping's sequence number. A ping to a member that is not considered
// alive begins with the statement that says so, so that the member can refute it.
func (c *Core) sendPing(member *memberState) uint32 {
	c.lastSeq++
	var leading []*memberState
	if member.statement.Health != Alive {
		leading = append(leading, member)
	}
	c.sendTo(member, c.appendBroadcasts(c.newNumbered(wire.Ping, c.lastSeq, 0), leading...))
	return c.lastSeq
}

// sendIndirectProbes does the second half of a probe that has had no direct answer: it pings the member again
// and asks helpers to ping it.
func (c *Core) sendIndirectProbes() {
	p := &c.probe
	if !p.awaitsDirectAck() || c.now < p.indirectAt {
		return
	}
	p.indirectAt = c.nextPeriodAt
	c.sendTo(p.target, c.appendBroadcasts(c.newNumbered(wire.Ping, p.seq, 0)))
	var helpers [indirectProbes]*memberState
	for p.indirectSent < min(indirectProbes, c.livingCount-1) {
		helper := c.pick(func(m *memberState) bool {
			return m != c.self && m != p.target && m.living() && !slices.Contains(helpers[:], m)
		})
		if helper == nil {
			return
		}
		helpers[p.indirectSent] = helper
		p.indirectSent++
		c.sendTo(helper, c.newNumbered(wire.PingReq, p.seq, p.target.hash))
	}
}

// ackReceived ends the probe successfully if the answer belongs to it.
func (c *Core) ackReceived(target *memberState, seq uint32) {
	if p := &c.probe; p.pending && p.target == target && p.seq == seq {
		p.pending = false
		c.awareness.recover()
		c.awareness.recordProbe(c.now, 0, p.failedBefore > 0)
	}
}

// endProbe evaluates the probe of the last period. If not even a nack came from a helper, the fault is
// probably this node's, and its awareness is degraded.
func (c *Core) endProbe() {
	p := &c.probe
	if !p.pending {
		return
	}
	p.pending = false
	c.stats.Failed++
	c.awareness.recordProbe(c.now, p.target.hash, p.failedBefore > 0)
	if p.nacks == 0 {
		c.awareness.degrade()
	}
	if p.failedBefore++; p.failedBefore < c.failedProbesToAccuse() && p.target.statement.Health == Alive {
		p.repeatTarget = p.target
		return
	}
	c.suspect(p.target)
}

package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

// indirectProbes is the number of helpers: members that are requested to probe a member that has not answered
// directly. With three helpers, and a loss of 30% in each direction, one probe in nine of a living member
// fails (0.51 x 0.51 x 0.76^3). So a member is accused only after several probes in a row have failed: see
// failedProbesToAccuse.
const indirectProbes = 3

// failedProbesToAccuse returns how many probes of a member, one a period, must fail in a row before the
// member is accused: two, and three from 512 members on. At a loss of 30%, two in a row fail in one of 80
// cases, three in one of 700. That gives about 20 accusations a second in a fleet of 300 (with three, of
// 2,000), whose broadcasts and refutations still fit into the datagrams. A death is found one period later
// (with three, two periods).
func (c *Core) failedProbesToAccuse() int { return max(2, (bits.Len(uint(c.livingCount+1))+2)/4) }

// probeRound is the order of probes: in each round, a node probes each living member once, in random order.
// So at most two rounds pass between a node's probes of one member. On average some node probes a member
// within 1.6 periods, however large the fleet is.
type probeRound struct {
	members []*memberState
	next    int
}

// addToRound adds a member that is new, or alive again, at a random position among the members not yet probed
// in the round.
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

// nextInRound returns the next living member to probe; nil if there is none. It starts a new round if the
// present round has ended.
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
	pending             bool // the target has not answered so far
	indirectSent, nacks int  // requests to helpers; helpers that reported no answer so far
	failedBefore        int  // consecutive probes of the target that failed before this one
}

// awaitsDirectAck reports whether the probe waits for a direct answer, without indirect probes.
func (p *probe) awaitsDirectAck() bool { return p.pending && p.indirectSent == 0 }

// startProbe starts the probe of a period. It probes the member whose probe is to be repeated, or else the
// next member in the round.
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

// sendPing pings a member and returns the ping's sequence number. A ping to a member that is suspect, dead or
// left begins with the statement on that member, so that the member can refute it.
func (c *Core) sendPing(member *memberState) uint32 {
	c.lastSeq++
	var leading []*memberState
	if member.statement.Health != Alive {
		leading = append(leading, member)
	}
	c.sendTo(member, c.appendBroadcasts(c.newNumbered(wire.Ping, c.lastSeq, 0), leading...))
	return c.lastSeq
}

// sendIndirectProbes continues a probe that has had no direct answer by indirectAt: it pings the member again
// and requests indirect probes from helpers.
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

// ackReceived ends the probe successfully if the answer belongs to the probe.
func (c *Core) ackReceived(target *memberState, seq uint32) {
	if p := &c.probe; p.pending && p.target == target && p.seq == seq {
		p.pending = false
		c.awareness.recover()
		c.awareness.recordProbe(c.now, 0, p.failedBefore > 0)
	}
}

// endProbe evaluates the probe of the last period. If the probe failed and not even a helper's nack arrived,
// the fault is probably this node's, so the node's awareness score gets worse.
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

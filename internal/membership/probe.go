package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

// indirectProbes are asked for an indirect probe when the direct answer stays out: with three, and a loss of
// 30% on each way, one probe in nine of a living member fails (0.51 x 0.51 x 0.76^3). So nobody is accused
// before several in a row have failed: see tries.
const indirectProbes = 3

// failedProbesToAccuse is how many probes of a member, one a period, fail before it is accused: two, and
// three from 512 members on. At a loss of 30% that leaves one accusation in 80 (700) probes of the living,
// about 20 a second in a fleet of 300 (2,000), whose broadcasts and refutations still fit on the datagrams. A
// death is found one period (two) later.
func (c *Core) failedProbesToAccuse() int { return max(2, (bits.Len(uint(c.living+1))+2)/4) }

// probeRound is the order of probes: all living members once, shuffled, then again. So a member is asked at
// the latest after two rounds, and by somebody after 1.6 periods on average, however large the fleet is.
type probeRound struct {
	members []*memberState
	next    int
}

// addToRound puts a member that is new, or is alive again, at a drawn place in what is left of the round.
func (c *Core) addToRound(r *memberState) {
	if r == c.self || r.inRound || !r.living() {
		return
	}
	r.inRound = true
	l := append(c.probeRound.members, r)
	i := c.probeRound.next + c.random.IntN(len(l)-c.probeRound.next)
	l[len(l)-1], l[i] = l[i], l[len(l)-1]
	c.probeRound.members = l
}

func (c *Core) nextInRound() *memberState {
	if c.probeRound.next >= len(c.probeRound.members) {
		c.shuffleRound()
	}
	for c.probeRound.next < len(c.probeRound.members) {
		r := c.probeRound.members[c.probeRound.next]
		c.probeRound.next++
		if r.living() {
			return r
		}
		r.inRound = false
	}
	return nil
}

func (c *Core) shuffleRound() {
	c.probeRound.members, c.probeRound.next = c.probeRound.members[:0], 0
	for _, r := range c.sorted {
		r.inRound = r != c.self && r.living()
		if r.inRound {
			c.probeRound.members = append(c.probeRound.members, r)
		}
	}
	l := c.probeRound.members
	c.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
}

// probe is the one under way.
type probe struct {
	target              *memberState
	repeated            *memberState // to be asked once more in the next period
	seq                 uint32
	indirectAt          Time
	pending             bool // without an answer so far
	indirectSent, nacks int  // helpers asked, helpers that said that they have no answer
	failed              int  // probes of the same member that failed just before
}

func (p *probe) awaitsDirectAck() bool { return p.pending && p.indirectSent == 0 }

func (c *Core) startProbe() {
	r, failed := c.probe.repeated, c.probe.failed
	if r == nil || !r.living() {
		r, failed = c.nextInRound(), 0
	}
	c.probe = probe{}
	if r != nil {
		c.stats.Probes++
		c.probe = probe{
			target:     r,
			seq:        c.sendPing(r),
			indirectAt: c.now + c.probeTimeout(),
			pending:    true,
			failed:     failed,
		}
	}
}

// sendPing asks a member. One that is not considered alive is notified of that first, so that it can refute
// it.
func (c *Core) sendPing(r *memberState) uint32 {
	c.seq++
	var lead []*memberState
	if r.statement.Health != Alive {
		lead = append(lead, r)
	}
	c.sendTo(r, c.appendBroadcasts(c.newNumbered(wire.Ping, c.seq, 0), lead...))
	return c.seq
}

// sendIndirectProbes is the second half of a probe: the member is asked once more, directly and by others.
func (c *Core) sendIndirectProbes() {
	p := &c.probe
	if !p.awaitsDirectAck() || c.now < p.indirectAt {
		return
	}
	p.indirectAt = c.nextPeriodAt
	c.sendTo(p.target, c.appendBroadcasts(c.newNumbered(wire.Ping, p.seq, 0)))
	var asked [indirectProbes]*memberState
	for p.indirectSent < min(indirectProbes, c.living-1) {
		h := c.pick(func(r *memberState) bool {
			return r != c.self && r != p.target && r.living() && !slices.Contains(asked[:], r)
		})
		if h == nil {
			return
		}
		asked[p.indirectSent] = h
		p.indirectSent++
		c.sendTo(h, c.newNumbered(wire.PingReq, p.seq, p.target.hash))
	}
}

// ackReceived ends the probe well.
func (c *Core) ackReceived(target *memberState, seq uint32) {
	if p := &c.probe; p.pending && p.target == target && p.seq == seq {
		p.pending = false
		c.awareness.recover()
		c.awareness.recordProbe(c.now, 0, p.failed > 0)
	}
}

// endProbe judges the one of the last period. That no helper even said that it has no answer hints at a fault
// on this side.
func (c *Core) endProbe() {
	p := &c.probe
	if !p.pending {
		return
	}
	p.pending = false
	c.stats.Failed++
	c.awareness.recordProbe(c.now, p.target.hash, p.failed > 0)
	if p.nacks == 0 {
		c.awareness.degrade()
	}
	if p.failed++; p.failed < c.failedProbesToAccuse() && p.target.statement.Health == Alive {
		p.repeated = p.target
		return
	}
	c.suspect(p.target)
}

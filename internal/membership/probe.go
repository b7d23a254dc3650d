package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

// helpers are asked to ask when the direct answer stays out: with three, and a loss of 30% on each way, one probe in nine of a
// living member fails (0.51 x 0.51 x 0.76^3). So nobody is accused before several in a row have failed: see tries.
const helpers = 3

// tries is how many probes of a member, one a period, fail before it is accused: two, and three from 512 members on. At a loss of 30% that leaves
// one accusation in 80 (700) probes of the living, about 20 a second in a fleet of 300 (2,000), whose news and refutations still
// have room on the datagrams. A death is found one period (two) later.
func (c *Core) tries() int { return max(2, (bits.Len(uint(c.living+1))+2)/4) }

// round is the order of probes: all living members once, shuffled, then again. So a member is asked at the latest after two rounds,
// and by somebody after 1.6 periods on average, however large the fleet is.
type round struct {
	list []*record
	at   int
}

// addToRound puts a member that is new, or lives again, at a drawn place in what is left of the round.
func (c *Core) addToRound(r *record) {
	if r == c.self || r.round || !r.living() {
		return
	}
	r.round = true
	l := append(c.round.list, r)
	i := c.round.at + c.rng.IntN(len(l)-c.round.at)
	l[len(l)-1], l[i] = l[i], l[len(l)-1]
	c.round.list = l
}

func (c *Core) nextInRound() *record {
	if c.round.at >= len(c.round.list) {
		c.newRound()
	}
	for c.round.at < len(c.round.list) {
		r := c.round.list[c.round.at]
		c.round.at++
		if r.living() {
			return r
		}
		r.round = false
	}
	return nil
}

func (c *Core) newRound() {
	c.round.list, c.round.at = c.round.list[:0], 0
	for _, r := range c.order {
		r.round = r != c.self && r.living()
		if r.round {
			c.round.list = append(c.round.list, r)
		}
	}
	l := c.round.list
	c.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
}

// probe is the one under way.
type probe struct {
	target       *record
	again        *record // to be asked once more in the next period
	seq          uint32
	askAt        Time
	open         bool // without an answer so far
	asked, nacks int  // helpers asked, helpers that said that they have no answer
	failed       int  // probes of the same member that failed just before
}

func (p *probe) waits() bool { return p.open && p.asked == 0 }

func (c *Core) startProbe() {
	r, failed := c.probe.again, c.probe.failed
	if r == nil || !r.living() {
		r, failed = c.nextInRound(), 0
	}
	c.probe = probe{}
	if r != nil {
		c.stats.Probes++
		c.probe = probe{target: r, seq: c.ping(r), askAt: c.now + c.answer(), open: true, failed: failed}
	}
}

// ping asks a member. One that is not held alive is told so first, so that it can speak up.
func (c *Core) ping(r *record) uint32 {
	c.seq++
	var lead []*record
	if r.st.Health != Alive {
		lead = append(lead, r)
	}
	c.sendTo(r, c.fill(c.numbered(wire.Ping, c.seq, 0), lead...))
	return c.seq
}

// askOthers is the second half of a probe: the member is asked once more, directly and by others.
func (c *Core) askOthers() {
	p := &c.probe
	if !p.waits() || c.now < p.askAt {
		return
	}
	p.askAt = c.next
	c.sendTo(p.target, c.fill(c.numbered(wire.Ping, p.seq, 0)))
	var asked [helpers]*record
	for p.asked < min(helpers, c.living-1) {
		h := c.pick(func(r *record) bool {
			return r != c.self && r != p.target && r.living() && !slices.Contains(asked[:], r)
		})
		if h == nil {
			return
		}
		asked[p.asked] = h
		p.asked++
		c.sendTo(h, c.numbered(wire.PingReq, p.seq, p.target.hash))
	}
}

// answered ends the probe well.
func (c *Core) answered(target *record, seq uint32) {
	if p := &c.probe; p.open && p.target == target && p.seq == seq {
		p.open = false
		c.health.better()
		c.health.probed(c.now, 0, p.failed > 0)
	}
}

// endProbe judges the one of the last period. That no helper even said that it has no answer hints at a fault on this side.
func (c *Core) endProbe() {
	p := &c.probe
	if !p.open {
		return
	}
	p.open = false
	c.stats.Failed++
	c.health.probed(c.now, p.target.hash, p.failed > 0)
	if p.nacks == 0 {
		c.health.worse()
	}
	if p.failed++; p.failed < c.tries() && p.target.st.Health == Alive {
		p.again = p.target
		return
	}
	c.accuse(p.target)
}

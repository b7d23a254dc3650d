package membership

import (
	"math/bits"
	"slices"

	"wrenspread/internal/membership/wire"
)

const (
	ageUnit = 100 * 1e6 // a tenth of a second
	maxAge  = wire.MaxAge * ageUnit

	// spreadTo is how many members are told each period while there are news, beside what rides on probes: with
	// them news reach about four more nodes for each that has them in a period.
	spreadTo = 2
)

// news are the members of whom something is to be told, by how often it has been.
type news struct {
	times [][]item
	count int
}

// item stands for a telling; a newer one of the same member has another gen.
type item struct {
	r   *record
	gen uint32
}

// tellings is how often one change is told by each node: twice the logarithm, so that in a fleet without loss all but about
// one in n squared nodes hear of it. The digests find the rest.
func (c *Core) tellings() int { return 2 * bits.Len(uint(c.living+1)) }

// tell makes r's statement one of the news.
func (c *Core) tell(r *record) {
	r.gen++
	c.news.put(0, item{r, r.gen})
	if c.news.count > 2*len(c.order)+64 {
		c.news.compact()
	}
}

// compareDigest notes whether another has the same digest. When so many in a row have it as are needed to hear of most of the fleet,
// there are no news any more.
func (c *Core) compareDigest(digest uint64) {
	c.agreed++
	if digest != c.root {
		c.agreed = 0
	}
	if c.agreed >= c.tellings() {
		c.news = news{}
	}
}

// compact drops what newer tellings have replaced: news are bounded by the members, however quickly these change.
func (n *news) compact() {
	n.count = 0
	for i := range n.times {
		n.times[i] = slices.DeleteFunc(n.times[i], func(it item) bool { return it.gen != it.r.gen })
		n.count += len(n.times[i])
	}
}

func (n *news) put(times int, it item) {
	for len(n.times) <= times {
		n.times = append(n.times, nil)
	}
	n.times[times] = append(n.times[times], it)
	n.count++
}

// next takes out the member told least often, the latest first; ok is false if there is none.
func (n *news) next() (it item, times int, ok bool) {
	for times := range n.times {
		for l := len(n.times[times]); l > 0; l = len(n.times[times]) {
			it := n.times[times][l-1]
			n.times[times] = n.times[times][:l-1]
			n.count--
			if it.gen == it.r.gen {
				return it, times, true
			}
		}
	}
	return item{}, 0, false
}

// told is the statement on r as it is sent, with the age of a death or leave.
func (c *Core) told(r *record) wire.Statement {
	st := r.st
	if !r.living() {
		st.Age = uint16(min((c.now-r.since)/ageUnit, wire.MaxAge))
	}
	return st
}

// fill adds statements to a datagram until one does not fit: those that lead, the news, and last the node's own, which brings its load.
func (c *Core) fill(b []byte, lead ...*record) []byte {
	for _, r := range lead {
		b, _ = wire.AppendStatement(b, c.told(r))
	}
	var again []item
	var at []int
	own := slices.Contains(lead, c.self)
	for fits := true; fits; {
		it, times, ok := c.news.next()
		if !ok {
			break
		}
		if !slices.Contains(lead, it.r) {
			b, fits = wire.AppendStatement(b, c.told(it.r))
		}
		if fits {
			own = own || it.r == c.self
			times++
		}
		if times < c.tellings() {
			again, at = append(again, it), append(at, times)
		}
	}
	for i := len(again) - 1; i >= 0; i-- {
		c.news.put(at[i], again[i])
	}
	if !own {
		b, _ = wire.AppendStatement(b, c.told(c.self))
	}
	return b
}

// spread tells news to a few members beside the probes.
func (c *Core) spread() {
	for range spreadTo {
		if to := c.pickLiving(nil); to != nil && c.news.count > 0 {
			c.sendTo(to, c.fill(c.head(wire.Gossip)))
		}
	}
}

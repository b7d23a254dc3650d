package membership

import (
	"cmp"
	"slices"

	"wrenspread/internal/membership/wire"
)

// record is what the node remembers of one member.
type record struct {
	hash  uint64
	st    wire.Statement
	sum   uint64
	since Time // of this life and health
	shown bool // covered by the digest
	from  Time // when the suspicion began to count, lateness added
	gen   uint32
	round bool // in the round of probes
}

func (r *record) living() bool { return r.st.Health <= Suspect }

func (c *Core) find(hash uint64) (int, bool) {
	return slices.BinarySearchFunc(c.order, hash, func(r *record, h uint64) int { return cmp.Compare(r.hash, h) })
}

// admit makes room for a name that is not known yet; nil if there is none.
func (c *Core) admit(st wire.Statement) *record {
	if len(c.order) >= c.cfg.Most && !c.forgetOldest() {
		c.stats.Refused++
		return nil
	}
	r := &record{hash: wire.Hash(st.Name), since: -1}
	at, _ := c.find(r.hash)
	c.order = slices.Insert(c.order, at, r)
	c.byHash[r.hash] = r
	return r
}

// set takes up a statement as what holds of r. It keeps sums, counts, the round and the news right, and reports the change.
func (c *Core) set(r *record, st wire.Statement) {
	before, known := r.st, r.st.Name != ""
	was := Member{}
	if known {
		was = c.member(before, r.since)
	}
	age := Time(st.Age) * ageUnit
	st.Age = 0
	plain := known && before.Plain() == st.Plain()
	if !known || before.Life != st.Life || before.Health != st.Health || (!r.living() && before.Incarnation != st.Incarnation) {
		r.since = c.now - age
	} else if !r.living() {
		r.since = min(r.since, c.now-age)
	}
	if st.Health == Suspect && !plain {
		r.from = c.now
	}
	c.count(r, -1)
	r.st = st
	c.count(r, +1)
	if !plain {
		c.hide(r)
		r.sum = st.Sum()
		c.show(r)
		c.number++
		c.addToRound(r)
		c.out = append(c.out, Changed{Member: c.member(st, r.since), Before: was})
	}
	if !plain || before.By != st.By {
		c.tell(r)
	}
}

// count keeps the numbers of living and dead others.
func (c *Core) count(r *record, by int) {
	if r != c.self && r.st.Health == Suspect {
		c.suspects += by
	}
	switch {
	case r == c.self || r.st.Name == "":
	case r.living():
		c.living += by
	case r.st.Health == Dead:
		c.dead += by
	}
}

// pick draws one of the members that fit; nil if there is none. After eight misses it takes the next that fits.
func (c *Core) pick(fits func(*record) bool) *record {
	at := 0
	for range 8 {
		at = c.rng.IntN(len(c.order))
		if fits(c.order[at]) {
			return c.order[at]
		}
	}
	for i := range c.order {
		if r := c.order[(at+i)%len(c.order)]; fits(r) {
			return r
		}
	}
	return nil
}

// pickLiving draws a living member other than this one; nil if there is none.
func (c *Core) pickLiving(but *record) *record {
	if c.living == 0 {
		return nil
	}
	return c.pick(func(r *record) bool { return r != c.self && r != but && r.living() })
}

package membership

import (
	"cmp"
	"slices"

	"wrenspread/internal/membership/wire"
)

// memberState is what the node remembers of one member.
type memberState struct {
	hash         uint64
	statement    wire.Statement
	sum          uint64
	since        Time // of this generation and health
	inDigest     bool // covered by the digest
	suspectSince Time // when the suspicion began to count, lateness added
	revision     uint32
	inRound      bool // in the round of probes
}

func (r *memberState) living() bool { return r.statement.Health <= Suspect }

func (c *Core) find(hash uint64) (int, bool) {
	return slices.BinarySearchFunc(
		c.sorted,
		hash,
		func(r *memberState, h uint64) int { return cmp.Compare(r.hash, h) },
	)
}

// addMember makes space for a name that is not known yet; nil if there is none.
func (c *Core) addMember(st wire.Statement) *memberState {
	if len(c.sorted) >= c.cfg.MaxMembers && !c.forgetOldest() {
		c.stats.Refused++
		return nil
	}
	r := &memberState{hash: wire.Hash(st.Name), since: -1}
	at, _ := c.find(r.hash)
	c.sorted = slices.Insert(c.sorted, at, r)
	c.byHash[r.hash] = r
	return r
}

// updateMember takes up a statement as what holds of r. It keeps sums, counts, the round and the broadcasts
// right, and reports the change.
func (c *Core) updateMember(r *memberState, st wire.Statement) {
	before, known := r.statement, r.statement.Name != ""
	was := Member{}
	if known {
		was = c.member(before, r.since)
	}
	age := Time(st.Age) * ageResolution
	st.Age = 0
	plain := known && before.WithoutVolatile() == st.WithoutVolatile()
	if !known || before.Generation != st.Generation || before.Health != st.Health ||
		(!r.living() && before.Incarnation != st.Incarnation) {
		r.since = c.now - age
	} else if !r.living() {
		r.since = min(r.since, c.now-age)
	}
	if st.Health == Suspect && !plain {
		r.suspectSince = c.now
	}
	c.countMember(r, -1)
	r.statement = st
	c.countMember(r, +1)
	if !plain {
		c.excludeFromDigest(r)
		r.sum = st.Sum()
		c.includeInDigest(r)
		c.version++
		c.addToRound(r)
		c.actions = append(c.actions, MemberChanged{Member: c.member(st, r.since), Before: was})
	}
	if !plain || before.Accusers != st.Accusers {
		c.queueBroadcast(r)
	}
}

// countMember keeps the numbers of living and dead others.
func (c *Core) countMember(r *memberState, by int) {
	if r != c.self && r.statement.Health == Suspect {
		c.suspects += by
	}
	switch {
	case r == c.self || r.statement.Name == "":
	case r.living():
		c.living += by
	case r.statement.Health == Dead:
		c.dead += by
	}
}

// pick draws one of the members that fit; nil if there is none. After eight misses it takes the next that
// fits.
func (c *Core) pick(fits func(*memberState) bool) *memberState {
	at := 0
	for range 8 {
		at = c.random.IntN(len(c.sorted))
		if fits(c.sorted[at]) {
			return c.sorted[at]
		}
	}
	for i := range c.sorted {
		if r := c.sorted[(at+i)%len(c.sorted)]; fits(r) {
			return r
		}
	}
	return nil
}

// pickLiving draws a living member other than this one; nil if there is none.
func (c *Core) pickLiving(but *memberState) *memberState {
	if c.living == 0 {
		return nil
	}
	return c.pick(func(r *memberState) bool { return r != c.self && r != but && r.living() })
}

package membership

import (
	"cmp"
	"slices"

	"wrenspread/internal/membership/wire"
)

// memberState is this node's knowledge of one member.
type memberState struct {
	hash         uint64         // of the name
	statement    wire.Statement // the merge of all statements received on the member
	sum          uint64         // the statement's sum, which the digest of the view includes
	since        Time           // since when the member has its generation and health
	inDigest     bool           // the digest covers the member
	suspectSince Time           // start of the suspicion timeout; late wakes move it by their lateness
	revision     uint32         // rises with each queued broadcast of the member
	inRound      bool           // the member is in the present round of probes
}

// living reports whether the member is alive or suspect.
func (m *memberState) living() bool { return m.statement.Health <= Suspect }

// find returns the index in sorted of the member with the hash, or the index at which to insert it.
func (c *Core) find(hash uint64) (int, bool) {
	return slices.BinarySearchFunc(
		c.sorted,
		hash,
		func(member *memberState, h uint64) int { return cmp.Compare(member.hash, h) },
	)
}

// addMember adds a member for a statement on a name that is not known yet. The caller then passes the
// statement to updateMember. addMember returns nil if the view is full of living members.
func (c *Core) addMember(statement wire.Statement) *memberState {
	if len(c.sorted) >= c.cfg.MaxMembers && !c.forgetOldest() {
		c.stats.Refused++
		return nil
	}
	member := &memberState{hash: wire.Hash(statement.Name), since: -1}
	at, _ := c.find(member.hash)
	c.sorted = slices.Insert(c.sorted, at, member)
	c.byHash[member.hash] = member
	return member
}

// updateMember replaces a member's statement and updates the counts of members. Unless only load, accusers or
// age have changed, it also updates the digest and the round of probes, and reports the change. It queues a
// broadcast if more than load and age have changed.
func (c *Core) updateMember(member *memberState, statement wire.Statement) {
	before, known := member.statement, member.statement.Name != ""
	previous := Member{}
	if known {
		previous = c.asMember(before, member.since)
	}
	age := Time(statement.Age) * ageResolution
	statement.Age = 0
	onlyVolatile := known && before.WithoutVolatile() == statement.WithoutVolatile()
	if !known || before.Generation != statement.Generation || before.Health != statement.Health ||
		(!member.living() && before.Incarnation != statement.Incarnation) {
		member.since = c.now - age
	} else if !member.living() {
		member.since = min(member.since, c.now-age)
	}
	if statement.Health == Suspect && !onlyVolatile {
		member.suspectSince = c.now
	}
	c.countMember(member, -1)
	member.statement = statement
	c.countMember(member, +1)
	if !onlyVolatile {
		c.excludeFromDigest(member)
		member.sum = statement.Sum()
		c.includeInDigest(member)
		c.version++
		c.addToRound(member)
		c.actions = append(c.actions, MemberChanged{Member: c.asMember(statement, member.since), Before: previous})
	}
	if !onlyVolatile || before.Accusers != statement.Accusers {
		c.queueBroadcast(member)
	}
}

// countMember adds delta to the counts of suspect, living and dead members that the member belongs to. The
// node itself is not counted.
func (c *Core) countMember(member *memberState, delta int) {
	if member != c.self && member.statement.Health == Suspect {
		c.suspectCount += delta
	}
	switch {
	case member == c.self || member.statement.Name == "":
	case member.living():
		c.livingCount += delta
	case member.statement.Health == Dead:
		c.deadCount += delta
	}
}

// pick returns a random member for which fits is true; nil if there is none. After eight random members that
// don't fit, it returns the next member in order that fits.
func (c *Core) pick(fits func(*memberState) bool) *memberState {
	at := 0
	for range 8 {
		at = c.random.IntN(len(c.sorted))
		if fits(c.sorted[at]) {
			return c.sorted[at]
		}
	}
	for i := range c.sorted {
		if member := c.sorted[(at+i)%len(c.sorted)]; fits(member) {
			return member
		}
	}
	return nil
}

// pickLiving returns a random living member other than this node and excluded; nil if there is none.
func (c *Core) pickLiving(excluded *memberState) *memberState {
	if c.livingCount == 0 {
		return nil
	}
	return c.pick(func(m *memberState) bool { return m != c.self && m != excluded && m.living() })
}

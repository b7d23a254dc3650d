package membership

import "wrenspread/internal/membership/wire"

// The digest of a view is the exclusive or of its members' sums. The digests of ranges are formed in the same
// way: the first four bits of a name's hash determine one of 16 ranges, and the first eight bits one of 256
// ranges. In a fleet of 3,000, each of the 256 ranges has about twelve members, which fit into one RangeList.

// toggleInDigest adds a member to the digest, or removes the member from it.
func (c *Core) toggleInDigest(member *memberState) {
	member.inDigest = !member.inDigest
	c.digest ^= member.sum
	c.rangeSums[member.hash>>60] ^= member.sum
	c.subrangeSums[member.hash>>56] ^= member.sum
}

func (c *Core) excludeFromDigest(member *memberState) {
	if member.inDigest {
		c.toggleInDigest(member)
	}
}

// includeInDigest adds a member to the digest, unless the member has been dead or left for DeadGossipTime.
// All nodes agree on that time, as the age is part of the statement.
func (c *Core) includeInDigest(member *memberState) {
	if !member.inDigest && (member.living() || c.now-member.since < c.cfg.DeadGossipTime) {
		c.toggleInDigest(member)
	}
}

// rangeSumsOf returns the digests of the 16 parts of a range. At depth 0 the range is that of all hashes; at
// depth 1 it is the one of 16 ranges that has the index.
func (c *Core) rangeSumsOf(depth, index uint8) (sums [wire.Fanout]uint64) {
	if depth == 0 {
		return c.rangeSums
	}
	copy(sums[:], c.subrangeSums[int(index)*wire.Fanout:])
	return sums
}

// rangeOf returns the first and the last hash of one of the 16 parts of a range: of the part with the index
// child. depth and index identify the range, as for rangeSumsOf.
func rangeOf(depth, index uint8, child int) (from, to uint64) {
	shift := 60 - 4*uint(depth)
	from = uint64(child) << shift
	if depth == 1 {
		from |= uint64(index) << 60
	}
	return from, from | (1<<shift - 1)
}

// membersInRange returns the members in the digest whose hashes are between from and to, both included.
func (c *Core) membersInRange(from, to uint64) (members []*memberState) {
	i, _ := c.find(from)
	for ; i < len(c.sorted) && c.sorted[i].hash <= to; i++ {
		if c.sorted[i].inDigest {
			members = append(members, c.sorted[i])
		}
	}
	return members
}

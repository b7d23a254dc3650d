package membership

import "wrenspread/internal/membership/wire"

// The digest of a view is the exclusive or of its members' sums; so are the digests of the 16 and 256 ranges
// that the hashes of names fall into by their first four and eight bits. At 3,000 members a range of 256 has
// about twelve: one RangeList.

func (c *Core) toggleInDigest(r *memberState) {
	r.inDigest = !r.inDigest
	c.digest ^= r.sum
	c.rangeSums[r.hash>>60] ^= r.sum
	c.subrangeSums[r.hash>>56] ^= r.sum
}

func (c *Core) excludeFromDigest(r *memberState) {
	if r.inDigest {
		c.toggleInDigest(r)
	}
}

// includeInDigest puts r into the digest, unless it has been dead or left for so long that it goes out of
// use. All nodes agree on when, as the age is part of the statement.
func (c *Core) includeInDigest(r *memberState) {
	if !r.inDigest && (r.living() || c.now-r.since < c.cfg.DeadGossipTime) {
		c.toggleInDigest(r)
	}
}

// rangeSumsOf returns the digests of the ranges below the place-th at depth 0 or 1.
func (c *Core) rangeSumsOf(depth, place uint8) (sums [wire.Fanout]uint64) {
	if depth == 0 {
		return c.rangeSums
	}
	copy(sums[:], c.subrangeSums[int(place)*wire.Fanout:])
	return sums
}

// rangeOf returns the first and last hash of the child-th range below the place-th at depth 0 or 1.
func rangeOf(depth, place uint8, child int) (from, to uint64) {
	shift := 60 - 4*uint(depth)
	from = uint64(child) << shift
	if depth == 1 {
		from |= uint64(place) << 60
	}
	return from, from | (1<<shift - 1)
}

// membersInRange returns the members from one hash to another that the digest covers.
func (c *Core) membersInRange(from, to uint64) (in []*memberState) {
	at, _ := c.find(from)
	for ; at < len(c.sorted) && c.sorted[at].hash <= to; at++ {
		if c.sorted[at].inDigest {
			in = append(in, c.sorted[at])
		}
	}
	return in
}

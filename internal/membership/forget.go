package membership

// expireDeparted takes those long dead or left out of the digest, and forgets those longer so. In between
// they are remembered, so that a stale statement can't bring them back.
func (c *Core) expireDeparted() {
	if c.living == len(c.sorted)-1 {
		return
	}
	for i := len(c.sorted) - 1; i >= 0; i-- {
		r := c.sorted[i]
		if r.living() || r == c.self {
			continue
		}
		if age := c.now - r.since; age >= c.cfg.DeadReclaimTime {
			c.forget(i)
		} else if age >= c.cfg.DeadGossipTime && r.inDigest {
			c.excludeFromDigest(r)
			c.version++
		}
	}
}

// forget removes the member in the i-th place of the order.
func (c *Core) forget(i int) {
	r := c.sorted[i]
	c.excludeFromDigest(r)
	c.countMember(r, -1)
	r.revision++ // no broadcasts of it any more
	delete(c.byHash, r.hash)
	copy(c.sorted[i:], c.sorted[i+1:])
	c.sorted[len(c.sorted)-1] = nil
	c.sorted = c.sorted[:len(c.sorted)-1]
	c.version++
	c.actions = append(c.actions, MemberChanged{Before: c.member(r.statement, r.since)})
}

// forgetOldest makes space by forgetting whoever has been dead or gone the longest; false if there is nobody.
func (c *Core) forgetOldest() bool {
	oldest := -1
	for i, r := range c.sorted {
		if r != c.self && !r.living() && (oldest < 0 || r.since < c.sorted[oldest].since) {
			oldest = i
		}
	}
	if oldest >= 0 {
		c.forget(oldest)
	}
	return oldest >= 0
}

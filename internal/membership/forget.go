package membership

// expireDeparted removes members from the digest once they have been dead or left for DeadGossipTime, and
// forgets them after DeadReclaimTime. In between they are remembered, so that a stale statement can't make
// them alive again.
func (c *Core) expireDeparted() {
	if c.livingCount == len(c.sorted)-1 {
		return
	}
	for i := len(c.sorted) - 1; i >= 0; i-- {
		member := c.sorted[i]
		if member.living() || member == c.self {
			continue
		}
		if age := c.now - member.since; age >= c.cfg.DeadReclaimTime {
			c.forget(i)
		} else if age >= c.cfg.DeadGossipTime && member.inDigest {
			c.excludeFromDigest(member)
			c.version++
		}
	}
}

// forget removes the member with index i in sorted.
func (c *Core) forget(i int) {
	member := c.sorted[i]
	c.excludeFromDigest(member)
	c.countMember(member, -1)
	member.revision++ // invalidates the member's queued broadcasts
	delete(c.byHash, member.hash)
	copy(c.sorted[i:], c.sorted[i+1:])
	c.sorted[len(c.sorted)-1] = nil
	c.sorted = c.sorted[:len(c.sorted)-1]
	c.version++
	c.actions = append(c.actions, MemberChanged{Before: c.asMember(member.statement, member.since)})
}

// forgetOldest forgets the member that has been dead or left for the longest time, and reports whether there
// was such a member.
func (c *Core) forgetOldest() bool {
	oldest := -1
	for i, member := range c.sorted {
		if member != c.self && !member.living() && (oldest < 0 || member.since < c.sorted[oldest].since) {
			oldest = i
		}
	}
	if oldest >= 0 {
		c.forget(oldest)
	}
	return oldest >= 0
}

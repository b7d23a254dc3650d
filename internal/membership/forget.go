package membership

// putAway takes those long dead or left out of the digest, and forgets those longer so. In between they are remembered, so
// that a stale word can't bring them back.
func (c *Core) putAway() {
	if c.living == len(c.order)-1 {
		return
	}
	for i := len(c.order) - 1; i >= 0; i-- {
		r := c.order[i]
		if r.living() || r == c.self {
			continue
		}
		if age := c.now - r.since; age >= c.cfg.Forget {
			c.forget(i)
		} else if age >= c.cfg.Fresh && r.shown {
			c.hide(r)
			c.number++
		}
	}
}

// forget removes the member in the i-th place of the order.
func (c *Core) forget(i int) {
	r := c.order[i]
	c.hide(r)
	c.count(r, -1)
	r.gen++ // no news of it any more
	delete(c.byHash, r.hash)
	copy(c.order[i:], c.order[i+1:])
	c.order[len(c.order)-1] = nil
	c.order = c.order[:len(c.order)-1]
	c.number++
	c.out = append(c.out, Changed{Before: c.member(r.st, r.since)})
}

// forgetOldest makes room by forgetting who has been dead or gone the longest; false if there is nobody.
func (c *Core) forgetOldest() bool {
	oldest := -1
	for i, r := range c.order {
		if r != c.self && !r.living() && (oldest < 0 || r.since < c.order[oldest].since) {
			oldest = i
		}
	}
	if oldest >= 0 {
		c.forget(oldest)
	}
	return oldest >= 0
}

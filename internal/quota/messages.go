package quota

// bytes and read of each datagram, in the fields' order.

func (c *claim) encode(fleet uint32) []byte {
	w := begin(kindClaim, fleet)
	w.u64(c.token)
	w.u64(c.generation)
	w.u32(c.number)
	w.u32(c.lastGrant)
	w.u64(c.table)
	w.flag(c.fallbackSuspendable)
	w.text(c.name)
	w.u8(uint8(len(c.items)))
	for _, i := range c.items {
		w.u64(i.hash)
		w.f32(i.demand)
		w.f32(i.leased.rate)
		w.f32(i.leased.burst)
		w.u32(i.number)
	}
	return w
}

func decodeClaim(r *reader) (c claim, ok bool) {
	c = claim{
		token:               r.u64(),
		generation:          r.u64(),
		number:              r.u32(),
		lastGrant:           r.u32(),
		table:               r.u64(),
		fallbackSuspendable: r.u8() == 1,
		name:                r.text(),
	}
	for n := int(r.u8()); n > 0 && !r.bad; n-- {
		c.items = append(
			c.items,
			claimItem{hash: r.u64(), demand: r.f32(), leased: size{r.f32(), r.f32()}, number: r.u32()},
		)
	}
	return c, !r.bad
}

func (g *grant) encode(fleet uint32) []byte {
	w := begin(kindGrant, fleet)
	w.u64(g.token)
	w.u64(g.generation)
	w.u32(g.claim)
	w.u32(g.number)
	w.u8(g.slot.Level)
	w.u32(g.slot.Index)
	w.flag(g.fallbackSuspended)
	w.flag(g.extendsOnly)
	w.flag(g.slotCoversConcurrency)
	w.u8(uint8(len(g.items)))
	for _, i := range g.items {
		w.u64(i.hash)
		w.f32(i.size.rate)
		w.f32(i.size.burst)
		w.f32(i.tokens)
		w.flag(i.fallbackAtOnce)
	}
	return w
}

func decodeGrant(r *reader) (g grant, ok bool) {
	g = grant{token: r.u64(), generation: r.u64(), claim: r.u32(), number: r.u32()}
	g.slot = Slot{Level: r.u8(), Index: r.u32()}
	if g.slot.Level != slotNone && !g.slot.valid() {
		return g, false
	}
	g.fallbackSuspended, g.extendsOnly, g.slotCoversConcurrency = r.u8() == 1, r.u8() == 1, r.u8() == 1
	for n := int(r.u8()); n > 0 && !r.bad; n-- {
		g.items = append(
			g.items,
			grantItem{hash: r.u64(), size: size{r.f32(), r.f32()}, tokens: r.f32(), fallbackAtOnce: r.u8() == 1},
		)
	}
	return g, !r.bad
}

func (h *announcement) encode(fleet uint32) []byte {
	w := begin(kindAnnouncement, fleet)
	w.u64(h.token)
	w.text(h.name)
	return w
}

func decodeAnnouncement(r *reader) (h announcement, ok bool) {
	h = announcement{token: r.u64(), name: r.text()}
	return h, !r.bad
}

func (l *leave) encode(fleet uint32) []byte {
	w := begin(kindLeave, fleet)
	w.u64(l.generation)
	w.text(l.name)
	return w
}

func decodeLeave(r *reader) (l leave, ok bool) {
	l = leave{generation: r.u64(), name: r.text()}
	return l, !r.bad
}

func (a *borrowRequest) encode(fleet uint32) []byte {
	w := begin(kindBorrow, fleet)
	w.u64(a.nonce)
	w.u64(a.hash)
	w.f32(a.need)
	w.text(a.name)
	return w
}

func decodeBorrowRequest(r *reader) (a borrowRequest, ok bool) {
	a = borrowRequest{nonce: r.u64(), hash: r.u64(), need: r.f32(), name: r.text()}
	return a, !r.bad
}

func (g *loan) encode(fleet uint32) []byte {
	w := begin(kindLoan, fleet)
	w.u64(g.nonce)
	w.u64(g.hash)
	w.f32(g.amount)
	return w
}

func decodeLoan(r *reader) (g loan, ok bool) {
	g = loan{nonce: r.u64(), hash: r.u64(), amount: r.f32()}
	return g, !r.bad
}

package quota

// Each kind of datagram has an encode method and a decode function, which process the fields in their order
// on the wire.

func (c *claimMessage) encode(fleet uint32) []byte {
	w := newWriter(kindClaim, fleet)
	w.u64(c.token)
	w.u64(c.generation)
	w.u32(c.number)
	w.u32(c.lastGrant)
	w.u64(c.tableVersion)
	w.flag(c.fallbackSuspendable)
	w.text(c.name)
	w.u8(uint8(len(c.items)))
	for _, i := range c.items {
		w.u64(i.hash)
		w.f32(i.demand)
		w.f32(i.leased.rate)
		w.f32(i.leased.burst)
		w.u32(i.grantNumber)
	}
	return w
}

func decodeClaim(r *reader) (c claimMessage, ok bool) {
	c = claimMessage{
		token:               r.u64(),
		generation:          r.u64(),
		number:              r.u32(),
		lastGrant:           r.u32(),
		tableVersion:        r.u64(),
		fallbackSuspendable: r.u8() == 1,
		name:                r.text(),
	}
	for n := int(r.u8()); n > 0 && !r.failed; n-- {
		c.items = append(
			c.items,
			claimItem{hash: r.u64(), demand: r.f32(), leased: shareSize{r.f32(), r.f32()}, grantNumber: r.u32()},
		)
	}
	return c, !r.failed
}

func (g *grantMessage) encode(fleet uint32) []byte {
	w := newWriter(kindGrant, fleet)
	w.u64(g.token)
	w.u64(g.generation)
	w.u32(g.claimNumber)
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

func decodeGrant(r *reader) (g grantMessage, ok bool) {
	g = grantMessage{token: r.u64(), generation: r.u64(), claimNumber: r.u32(), number: r.u32()}
	g.slot = Slot{Level: r.u8(), Index: r.u32()}
	if g.slot.Level != noSlotLevel && !g.slot.valid() {
		return g, false
	}
	g.fallbackSuspended, g.extendsOnly, g.slotCoversConcurrency = r.u8() == 1, r.u8() == 1, r.u8() == 1
	for n := int(r.u8()); n > 0 && !r.failed; n-- {
		g.items = append(
			g.items,
			grantItem{hash: r.u64(), size: shareSize{r.f32(), r.f32()}, tokens: r.f32(), fallbackAtOnce: r.u8() == 1},
		)
	}
	return g, !r.failed
}

func (a *announcementMessage) encode(fleet uint32) []byte {
	w := newWriter(kindAnnouncement, fleet)
	w.u64(a.token)
	w.text(a.name)
	return w
}

func decodeAnnouncement(r *reader) (a announcementMessage, ok bool) {
	a = announcementMessage{token: r.u64(), name: r.text()}
	return a, !r.failed
}

func (l *leaveMessage) encode(fleet uint32) []byte {
	w := newWriter(kindLeave, fleet)
	w.u64(l.generation)
	w.text(l.name)
	return w
}

func decodeLeave(r *reader) (l leaveMessage, ok bool) {
	l = leaveMessage{generation: r.u64(), name: r.text()}
	return l, !r.failed
}

func (b *borrowMessage) encode(fleet uint32) []byte {
	w := newWriter(kindBorrow, fleet)
	w.u64(b.nonce)
	w.u64(b.hash)
	w.f32(b.amount)
	w.text(b.name)
	return w
}

func decodeBorrow(r *reader) (b borrowMessage, ok bool) {
	b = borrowMessage{nonce: r.u64(), hash: r.u64(), amount: r.f32(), name: r.text()}
	return b, !r.failed
}

func (l *loanMessage) encode(fleet uint32) []byte {
	w := newWriter(kindLoan, fleet)
	w.u64(l.nonce)
	w.u64(l.hash)
	w.f32(l.amount)
	return w
}

func decodeLoan(r *reader) (l loanMessage, ok bool) {
	l = loanMessage{nonce: r.u64(), hash: r.u64(), amount: r.f32()}
	return l, !r.failed
}

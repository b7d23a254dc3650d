package quota

// bytes and read of each datagram, in the fields' order.

func (c *claim) bytes(fleet uint32) []byte {
	w := begin(kindClaim, fleet)
	w.u64(c.fence)
	w.u64(c.life)
	w.u32(c.number)
	w.u32(c.echo)
	w.u64(c.table)
	w.flag(c.void)
	w.text(c.name)
	w.u8(uint8(len(c.items)))
	for _, i := range c.items {
		w.u64(i.hash)
		w.f32(i.demand)
		w.f32(i.held.rate)
		w.f32(i.held.burst)
		w.u32(i.number)
	}
	return w
}

func readClaim(r *reader) (c claim, ok bool) {
	c = claim{fence: r.u64(), life: r.u64(), number: r.u32(), echo: r.u32(), table: r.u64(), void: r.u8() == 1, name: r.text()}
	for n := int(r.u8()); n > 0 && !r.bad; n-- {
		c.items = append(c.items, claimItem{hash: r.u64(), demand: r.f32(), held: size{r.f32(), r.f32()}, number: r.u32()})
	}
	return c, !r.bad
}

func (g *grant) bytes(fleet uint32) []byte {
	w := begin(kindGrant, fleet)
	w.u64(g.fence)
	w.u64(g.life)
	w.u32(g.claim)
	w.u32(g.number)
	w.u8(g.seat.Level)
	w.u32(g.seat.Index)
	w.flag(g.void)
	w.flag(g.waits)
	w.flag(g.open)
	w.u8(uint8(len(g.items)))
	for _, i := range g.items {
		w.u64(i.hash)
		w.f32(i.size.rate)
		w.f32(i.size.burst)
		w.f32(i.tokens)
		w.flag(i.kept)
	}
	return w
}

func readGrant(r *reader) (g grant, ok bool) {
	g = grant{fence: r.u64(), life: r.u64(), claim: r.u32(), number: r.u32()}
	g.seat = Seat{Level: r.u8(), Index: r.u32()}
	if g.seat.Level != seatNone && !g.seat.valid() {
		return g, false
	}
	g.void, g.waits, g.open = r.u8() == 1, r.u8() == 1, r.u8() == 1
	for n := int(r.u8()); n > 0 && !r.bad; n-- {
		g.items = append(g.items, grantItem{hash: r.u64(), size: size{r.f32(), r.f32()}, tokens: r.f32(), kept: r.u8() == 1})
	}
	return g, !r.bad
}

func (h *hello) bytes(fleet uint32) []byte {
	w := begin(kindHello, fleet)
	w.u64(h.fence)
	w.text(h.name)
	return w
}

func readHello(r *reader) (h hello, ok bool) {
	h = hello{fence: r.u64(), name: r.text()}
	return h, !r.bad
}

func (l *leave) bytes(fleet uint32) []byte {
	w := begin(kindLeave, fleet)
	w.u64(l.life)
	w.text(l.name)
	return w
}

func readLeave(r *reader) (l leave, ok bool) {
	l = leave{life: r.u64(), name: r.text()}
	return l, !r.bad
}

func (a *ask) bytes(fleet uint32) []byte {
	w := begin(kindAsk, fleet)
	w.u64(a.nonce)
	w.u64(a.hash)
	w.f32(a.need)
	w.text(a.name)
	return w
}

func readAsk(r *reader) (a ask, ok bool) {
	a = ask{nonce: r.u64(), hash: r.u64(), need: r.f32(), name: r.text()}
	return a, !r.bad
}

func (g *give) bytes(fleet uint32) []byte {
	w := begin(kindGive, fleet)
	w.u64(g.nonce)
	w.u64(g.hash)
	w.f32(g.amount)
	return w
}

func readGive(r *reader) (g give, ok bool) {
	g = give{nonce: r.u64(), hash: r.u64(), amount: r.f32()}
	return g, !r.bad
}

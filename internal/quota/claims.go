package quota

import (
	"math"
	"slices"
	"time"
)

// smallDemand, in units a second, is taken for none.
const smallDemand = 0.1

// measure brings the demand of what is listed up to date. What can't be chance is followed at once when it rises and
// soon when it falls; all else by a quarter, so that no share swings, or is larger than its use, by chance.
func (l *Ledger) measure(since time.Duration) {
	seconds := max(since, l.t.renew).Seconds()
	l.listed = slices.DeleteFunc(l.listed, func(i int32) bool {
		s := &l.slots[i]
		now := s.came / seconds
		if s.open {
			now = s.came + s.out
		}
		chance := 3*math.Sqrt(s.demand*seconds) + 3
		switch change := (now - s.demand) * seconds; {
		case change > chance || s.open && change > 0:
			s.demand = now
		case change < -chance:
			s.demand = max(now, s.demand/4)
		case now == 0:
			s.demand /= 2
		default:
			s.demand += (now - s.demand) / 4
		}
		s.came = 0
		if now == 0 && s.demand < smallDemand {
			s.demand = 0
		}
		s.listed = s.demand > 0 || s.kept || s.out > 0 || l.now-s.last < l.t.quiet
		return !s.listed
	})
}

// claims tells the holder of some limits, in as many datagrams as it takes. All others are idle here: they cost
// nothing, and the holder may lend their safe share to others.
func (l *Ledger) claims(which []int32) []Action {
	if l.holder == "" {
		return nil
	}
	var out []Action
	room := claimRoom(l.cfg.Name)
	for first := true; first || len(which) > 0; first = false {
		n := min(room, len(which))
		out = append(out, Send{l.holder, l.claim(which[:n])})
		which = which[n:]
	}
	return out
}

func (l *Ledger) claim(which []int32) []byte {
	l.number++
	l.sent[l.number%uint32(len(l.sent))] = sentClaim{l.number, l.fence, l.now}
	c := claim{
		fence: l.fence, life: l.cfg.Life, number: l.number, echo: l.echo, table: l.limits.version,
		void: l.now-l.born >= l.t.warm, name: l.cfg.Name,
	}
	for _, i := range which {
		c.items = append(c.items, l.claimItem(i))
	}
	return c.bytes(l.cfg.Fleet)
}

func (l *Ledger) claimItem(i int32) claimItem {
	s := &l.slots[i]
	item := claimItem{hash: l.limits.all[i].hash, demand: max(s.demand, s.came/l.t.renew.Seconds())}
	if s.fence == l.fence {
		item.number = s.number
	}
	if l.now < s.until && l.now < s.fresh+2*l.t.lease { // it may be prolonged up to a third
		item.held = s.lease
	}
	if s.open {
		item.demand = max(s.demand, s.came+s.out)
		item.held.rate = max(item.held.rate, s.out)
	}
	return item
}

// granted takes what answers one of the last claims, if its holder is the newest known. Leases run from when the
// claim was sent. While tokens handed to others may still be used there, no share may fall below them, so that
// nothing is taken; having heard of the holder, the node hands out no more.
func (l *Ledger) granted(g grant) {
	c := l.sent[g.claim%uint32(len(l.sent))]
	if g.life != l.cfg.Life || g.fence != l.fence || c.fence != g.fence || c.number != g.claim || g.claim == 0 {
		return
	}
	until := c.at + l.t.lease
	if until <= l.now {
		return
	}
	l.heard = l.now
	if l.now < l.lentUntil {
		return
	}
	if g.void {
		l.voidUntil = max(l.voidUntil, c.at+l.t.void)
	}
	if g.number > l.echo {
		l.echo = g.number
		if g.seat.Level != seatNone {
			l.sit(g.seat, l.openSeat || g.open)
		}
	}
	for _, item := range g.items {
		if i, there := l.limits.byHash[item.hash]; there {
			l.lease(&l.slots[i], g, item, until)
		}
	}
}

func (l *Ledger) lease(s *slot, g grant, item grantItem, until time.Duration) {
	if s.fence == g.fence && s.number >= g.number {
		return
	}
	l.fill(s)
	s.fence, s.number = g.fence, g.number
	s.lease, s.until, s.kept = item.size, until, item.kept
	if !g.waits {
		s.fresh = until - l.t.lease
	}
	s.tokens += item.tokens
	l.fill(s)
}

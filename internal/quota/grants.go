package quota

import (
	"math"
	"time"
)

// claimed answers a claim, if it was sent to this holder under its present fence: so it was sent after the former
// holder's end, and what it says to hold was counted by that one to its last moment.
func (a *Apportioner) claimed(c claim) []Action {
	switch {
	case c.fence > a.fence:
		a.until = 0 // another holds the duty
		return nil
	case c.fence < a.fence:
		h := hello{fence: a.fence, name: a.cfg.Name}
		return []Action{Send{c.name, h.bytes(a.cfg.Fleet)}}
	}
	m := a.member(c)
	if m == nil {
		return nil
	}
	base := a.heard(m, c)
	a.enrol(m)
	m.number++
	g := grant{fence: a.fence, life: c.life, claim: c.number, number: m.number, seat: a.tell(m)}
	g.waits, g.open = a.now < a.freeAt, a.now >= max(m.first, a.freeAt)+a.t.settled()+a.t.longer
	g.void = c.void && a.now >= a.freeAt
	m.grants[m.number%uint32(len(m.grants))] = told{m.number, a.now, base, g.void}
	for _, item := range c.items {
		if i, there := a.limits.byHash[item.hash]; there {
			if granted, some := a.grant(m, i, item, c.number); some {
				g.items = append(g.items, granted)
			}
		}
	}
	return []Action{Send{c.name, g.bytes(a.cfg.Fleet)}}
}

// grant notes a claim's demand and gives the node its share of one limit.
func (a *Apportioner) grant(m *member, i int32, c claimItem, number uint32) (grantItem, bool) {
	l, s := &a.limits.all[i], a.stock(i)
	s.fill(a.now, a.t.lease)
	e := m.entries[i]
	if e == nil {
		e = &entry{of: m}
		m.entries[i] = e
		s.add(e)
	}
	safe := a.safe(m, i)
	e.taken(c.number)
	if number > e.claimed {
		if e.demand == 0 && c.demand > 0 {
			a.planned = min(a.planned, a.now-planEvery) // what begins does not wait for the next plan
		}
		e.claimed, e.seen, e.demand, e.out = number, a.now, c.demand, 0
		if l.open {
			e.out = c.held.rate
		}
	}
	share, some := a.share(e, i, c)
	if !some {
		return grantItem{}, false
	}
	before := a.count(m, i)
	kept := share.rate >= safe.rate && safe.rate > 0
	until := a.now + a.t.leased()
	if l.open {
		until += a.t.longer
	}
	e.granted(a.now, m.number, lease{share, until}, kept)
	item := grantItem{hash: l.hash, size: share, kept: kept}
	item.tokens = down(min(s.tokens, max(share.burst-before.burst, 0)))
	s.tokens -= item.tokens
	a.recount(i, e)
	a.restock(i, s)
	return item, true
}

// share is what a member's next lease is: its goal, as far as the others leave room. While leases of a former holder
// may be alive, it is what the node holds by one, which adds nothing.
func (a *Apportioner) share(e *entry, i int32, c claimItem) (size, bool) {
	l := &a.limits.all[i]
	if a.now < a.free(i) {
		held := size{down(min(c.held.rate, l.rate)), down(min(c.held.burst, l.burst))}
		return held, held.rate > 0
	}
	a.plan()
	others := a.others(i, e)
	room := size{max(l.rate-others.rate, 0), max(l.burst-others.burst, 0)}
	goal := e.goal
	if a.now < e.cur.until {
		goal = size{steady(goal.rate, e.cur.rate, 0), steady(goal.burst, e.cur.burst, 1)}
	}
	if safe := a.safe(e.of, i); !l.open {
		goal.burst = max(goal.burst, safe.burst) // it counts anyway
	}
	share := size{down(min(goal.rate, room.rate)), down(min(goal.burst, room.burst))}
	if l.open {
		share = size{rate: float64(uint64(share.rate))}
	}
	return share, true
}

// swing is the part by which a goal has to differ from the lease to move it.
const swing = 0.01

func steady(goal, was, least float64) float64 {
	if goal > 0 && was > 0 && math.Abs(goal-was) <= max(was*swing, least) {
		return was
	}
	return goal
}

// free is when nothing of a limit can be left that a former holder gave: of open requests, the last that were begun
// under its leases have ended.
func (a *Apportioner) free(i int32) time.Duration {
	if a.limits.all[i].open {
		return a.freeAt + a.t.longer
	}
	return a.freeAt
}

// restock notes what nobody has from now on.
func (a *Apportioner) restock(i int32, s *stock) {
	l, all := &a.limits.all[i], a.summed(i).sum.all
	s.spare = size{max(l.rate-all.rate, 0), max(l.burst-all.burst, 0)}
	s.tokens = min(s.tokens, s.spare.burst)
}

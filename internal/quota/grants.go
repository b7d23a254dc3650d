package quota

import (
	"math"
	"time"
)

// answerClaim answers a claim, if it was sent to this allocator under its present fencing token: so it was
// sent after the previous allocator's end, and what it says to hold was counted by that one to its last
// moment.
func (a *Allocator) answerClaim(c claim) []Action {
	switch {
	case c.token > a.token:
		a.leaseUntil = 0 // another holds the lease
		return nil
	case c.token < a.token:
		h := announcement{token: a.token, name: a.cfg.Name}
		return []Action{Send{c.name, h.encode(a.cfg.Fleet)}}
	}
	m := a.member(c)
	if m == nil {
		return nil
	}
	base := a.grantConfirmed(m, c)
	a.assignSlot(m)
	m.number++
	g := grant{
		token:      a.token,
		generation: c.generation,
		claim:      c.number,
		number:     m.number,
		slot:       a.slotForGrant(m),
	}
	g.extendsOnly, g.slotCoversConcurrency = a.now < a.formerLeasesEnd, a.now >= max(
		m.firstFallbackAt,
		a.formerLeasesEnd,
	)+a.times.settleTime()+a.times.maxRequestTime
	g.fallbackSuspended = c.fallbackSuspendable && a.now >= a.formerLeasesEnd
	m.grants[m.number%uint32(len(m.grants))] = sentGrant{m.number, a.now, base, g.fallbackSuspended}
	for _, item := range c.items {
		if i, there := a.limits.byHash[item.hash]; there {
			if granted, some := a.grant(m, i, item, c.number); some {
				g.items = append(g.items, granted)
			}
		}
	}
	return []Action{Send{c.name, g.encode(a.cfg.Fleet)}}
}

// grant notes a claim's demand and gives the proxy its share of one limit.
func (a *Allocator) grant(m *member, i int32, c claimItem, number uint32) (grantItem, bool) {
	l, s := &a.limits.all[i], a.allocation(i)
	s.refill(a.now, a.times.lease)
	e := m.shares[i]
	if e == nil {
		e = &memberShare{member: m}
		m.shares[i] = e
		s.add(e)
	}
	safe := a.fallback(m, i)
	e.confirm(c.number)
	if number > e.claimed {
		if e.demand == 0 && c.demand > 0 {
			a.plannedAt = min(a.plannedAt, a.now-planInterval) // what begins does not wait for the next plan
		}
		e.claimed, e.claimedAt, e.demand, e.inFlight = number, a.now, c.demand, 0
		if l.concurrency {
			e.inFlight = c.leased.rate
		}
	}
	share, some := a.nextLease(e, i, c)
	if !some {
		return grantItem{}, false
	}
	before := a.maxShare(m, i)
	kept := share.rate >= safe.rate && safe.rate > 0
	until := a.now + a.times.countedLease()
	if l.concurrency {
		until += a.times.maxRequestTime
	}
	e.grant(a.now, m.number, shareLease{share, until}, kept)
	item := grantItem{hash: l.hash, size: share, fallbackAtOnce: kept}
	item.tokens = down(min(s.tokens, max(share.burst-before.burst, 0)))
	s.tokens -= item.tokens
	a.updateCounted(i, e)
	a.updateSpare(i, s)
	return item, true
}

// nextLease is what a member's next lease is: its goal, as far as the others leave capacity. While leases of
// a previous allocator may be alive, it is what the proxy holds by one, which adds nothing.
func (a *Allocator) nextLease(e *memberShare, i int32, c claimItem) (size, bool) {
	l := &a.limits.all[i]
	if a.now < a.formerShareEnd(i) {
		held := size{down(min(c.leased.rate, l.rate)), down(min(c.leased.burst, l.burst))}
		return held, held.rate > 0
	}
	a.plan()
	others := a.othersShare(i, e)
	room := size{max(l.rate-others.rate, 0), max(l.burst-others.burst, 0)}
	goal := e.goal
	if a.now < e.current.until {
		goal = size{steady(goal.rate, e.current.rate, 0), steady(goal.burst, e.current.burst, 1)}
	}
	if safe := a.fallback(e.member, i); !l.concurrency {
		goal.burst = max(goal.burst, safe.burst) // it counts anyway
	}
	share := size{down(min(goal.rate, room.rate)), down(min(goal.burst, room.burst))}
	if l.concurrency {
		share = size{rate: float64(uint64(share.rate))}
	}
	return share, true
}

// minChange is the part by which a goal has to differ from the lease to move it.
const minChange = 0.01

func steady(goal, was, least float64) float64 {
	if goal > 0 && was > 0 && math.Abs(goal-was) <= max(was*minChange, least) {
		return was
	}
	return goal
}

// formerShareEnd is when nothing of a limit can be left that a previous allocator gave: of requests in
// flight, the last that were begun under its leases have ended.
func (a *Allocator) formerShareEnd(i int32) time.Duration {
	if a.limits.all[i].concurrency {
		return a.formerLeasesEnd + a.times.maxRequestTime
	}
	return a.formerLeasesEnd
}

// updateSpare notes what nobody has from now on.
func (a *Allocator) updateSpare(i int32, s *allocation) {
	l, all := &a.limits.all[i], a.withSum(i).sum.all
	s.spare = size{max(l.rate-all.rate, 0), max(l.burst-all.burst, 0)}
	s.tokens = min(s.tokens, s.spare.burst)
}

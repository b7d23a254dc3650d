package quota

import (
	"math"
	"slices"
	"time"
)

// minDemand, in units a second, is taken for none.
const minDemand = 0.1

// measureDemand brings the demand of what is listed up to date. What can't be chance is followed at once when
// it rises and soon when it falls; all else by a quarter, so that no share swings, or is larger than its use,
// by chance.
func (l *Ledger) measureDemand(since time.Duration) {
	seconds := max(since, l.times.renew).Seconds()
	l.claimed = slices.DeleteFunc(l.claimed, func(i int32) bool {
		s := &l.buckets[i]
		now := s.arrived / seconds
		if s.concurrency {
			now = s.arrived + s.inFlight
		}
		chance := 3*math.Sqrt(s.demand*seconds) + 3
		switch change := (now - s.demand) * seconds; {
		case change > chance || s.concurrency && change > 0:
			s.demand = now
		case change < -chance:
			s.demand = max(now, s.demand/4)
		case now == 0:
			s.demand /= 2
		default:
			s.demand += (now - s.demand) / 4
		}
		s.arrived = 0
		if now == 0 && s.demand < minDemand {
			s.demand = 0
		}
		s.claimed = s.demand > 0 || s.fallbackAtOnce || s.inFlight > 0 ||
			l.now-s.lastDemandAt < l.times.idleClaimTime
		return !s.claimed
	})
}

// sendClaims tells the allocator of some limits, in as many datagrams as it takes. All others are idle here:
// they cost nothing, and the allocator may lend their fallback share to others.
func (l *Ledger) sendClaims(which []int32) []Action {
	if l.allocator == "" {
		return nil
	}
	var out []Action
	room := claimCapacity(l.cfg.Name)
	for first := true; first || len(which) > 0; first = false {
		n := min(room, len(which))
		out = append(out, Send{l.allocator, l.encodeClaim(which[:n])})
		which = which[n:]
	}
	return out
}

func (l *Ledger) encodeClaim(which []int32) []byte {
	l.lastClaim++
	l.sentClaims[l.lastClaim%uint32(len(l.sentClaims))] = sentClaim{l.lastClaim, l.token, l.now}
	c := claim{
		token:               l.token,
		generation:          l.cfg.Generation,
		number:              l.lastClaim,
		lastGrant:           l.lastGrant,
		table:               l.limits.version,
		fallbackSuspendable: l.now-l.startedAt >= l.times.warmUp,
		name:                l.cfg.Name,
	}
	for _, i := range which {
		c.items = append(c.items, l.claimItem(i))
	}
	return c.encode(l.cfg.Fleet)
}

func (l *Ledger) claimItem(i int32) claimItem {
	s := &l.buckets[i]
	item := claimItem{hash: l.limits.all[i].hash, demand: max(s.demand, s.arrived/l.times.renew.Seconds())}
	if s.token == l.token {
		item.number = s.number
	}
	if l.now < s.leaseUntil && l.now < s.claimSentAt+2*l.times.lease { // it may be prolonged up to a third
		item.leased = s.lease
	}
	if s.concurrency {
		item.demand = max(s.demand, s.arrived+s.inFlight)
		item.leased.rate = max(item.leased.rate, s.inFlight)
	}
	return item
}

// applyGrant takes what answers one of the last claims, if its allocator is the newest known. Leases run from
// when the claim was sent. While tokens lent to others may still be used there, no share may fall below them,
// so that nothing is taken; having heard of the allocator, the proxy lends no more.
func (l *Ledger) applyGrant(g grant) {
	c := l.sentClaims[g.claim%uint32(len(l.sentClaims))]
	if g.generation != l.cfg.Generation || g.token != l.token || c.token != g.token || c.number != g.claim ||
		g.claim == 0 {
		return
	}
	until := c.at + l.times.lease
	if until <= l.now {
		return
	}
	l.lastGrantAt = l.now
	if l.now < l.lentUntil {
		return
	}
	if g.fallbackSuspended {
		l.fallbackSuspendedUntil = max(l.fallbackSuspendedUntil, c.at+l.times.fallbackSuspension)
	}
	if g.number > l.lastGrant {
		l.lastGrant = g.number
		if g.slot.Level != slotNone {
			l.setSlot(g.slot, l.slotCoversConcurrency || g.slotCoversConcurrency)
		}
	}
	for _, item := range g.items {
		if i, there := l.limits.byHash[item.hash]; there {
			l.applyLease(&l.buckets[i], g, item, until)
		}
	}
}

func (l *Ledger) applyLease(s *bucket, g grant, item grantItem, until time.Duration) {
	if s.token == g.token && s.number >= g.number {
		return
	}
	l.refill(s)
	s.token, s.number = g.token, g.number
	s.lease, s.leaseUntil, s.fallbackAtOnce = item.size, until, item.fallbackAtOnce
	if !g.extendsOnly {
		s.claimSentAt = until - l.times.lease
	}
	s.tokens += item.tokens
	l.refill(s)
}

package quota

import (
	"math"
	"time"
)

// answerClaim answers a claim with a grant, if the claim was sent under this allocator's present fencing
// token. The proxy sent such a claim after the previous allocator's lease had ended, and until that end the
// previous allocator counted the leases that the claim lists. A claim under a lower token is answered with an
// announcement.
func (a *Allocator) answerClaim(claim claimMessage) []Action {
	switch {
	case claim.token > a.token:
		a.leaseUntil = 0 // another process holds the lease
		return nil
	case claim.token < a.token:
		answer := announcementMessage{token: a.token, name: a.cfg.Name}
		return []Action{Send{claim.name, answer.encode(a.cfg.Fleet)}}
	}
	m := a.memberForClaim(claim)
	if m == nil {
		return nil
	}
	claimSentAfter := a.grantConfirmed(m, claim)
	a.assignSlot(m)
	m.lastGrantNumber++
	answer := grantMessage{
		token:       a.token,
		generation:  claim.generation,
		claimNumber: claim.number,
		number:      m.lastGrantNumber,
		slot:        a.slotForGrant(m),
	}
	answer.extendsOnly, answer.slotCoversConcurrency = a.now < a.previousLeasesEnd, a.now >= max(
		m.fallbackFirstCountedAt,
		a.previousLeasesEnd,
	)+a.times.settleTime()+a.times.maxRequestTime
	answer.fallbackSuspended = claim.fallbackSuspendable && a.now >= a.previousLeasesEnd
	m.sentGrants[m.lastGrantNumber%uint32(len(m.sentGrants))] = sentGrant{
		m.lastGrantNumber,
		a.now,
		claimSentAfter,
		answer.fallbackSuspended,
	}
	for _, item := range claim.items {
		if i, found := a.limits.byHash[item.hash]; found {
			if granted, leased := a.grantShare(m, i, item, claim.number); leased {
				answer.items = append(answer.items, granted)
			}
		}
	}
	return []Action{Send{claim.name, answer.encode(a.cfg.Fleet)}}
}

// grantShare records a claim's demand for the limit with index i and grants the proxy a lease of it. The
// result is false if the proxy gets no lease.
func (a *Allocator) grantShare(m *member, i int32, item claimItem, number uint32) (grantItem, bool) {
	limit, allocation := &a.limits.byIndex[i], a.allocation(i)
	allocation.refill(a.now, a.times.leaseDuration)
	share := m.shares[i]
	if share == nil {
		share = &memberShare{member: m}
		m.shares[i] = share
		allocation.add(share)
	}
	fallback := a.fallback(m, i)
	share.confirmGrant(item.grantNumber)
	if number > share.claimNumber {
		if share.demand == 0 && item.demand > 0 {
			a.plannedAt = min(a.plannedAt, a.now-planInterval) // plan at once for new demand
		}
		share.claimNumber, share.claimedAt, share.demand, share.inFlight = number, a.now, item.demand, 0
		if limit.concurrency {
			share.inFlight = item.leased.rate
		}
	}
	next, leased := a.nextLease(share, i, item)
	if !leased {
		return grantItem{}, false
	}
	previousMax := a.maxShare(m, i)
	fallbackAtOnce := next.rate >= fallback.rate && fallback.rate > 0
	until := a.now + a.times.countedLease()
	if limit.concurrency {
		until += a.times.maxRequestTime
	}
	share.recordGrant(a.now, m.lastGrantNumber, shareLease{next, until}, fallbackAtOnce)
	granted := grantItem{hash: limit.hash, size: next, fallbackAtOnce: fallbackAtOnce}
	granted.tokens = roundDownToWire(min(allocation.tokens, max(next.burst-previousMax.burst, 0)))
	allocation.tokens -= granted.tokens
	a.updateCounted(i, share)
	a.updateSpare(i, allocation)
	return granted, true
}

// nextLease returns the size of a member's next lease: its target, but no more than the other members leave
// of the limit. While grants of a previous allocator may be in use, the next lease only extends the lease
// that the proxy claims to hold, which adds nothing to the shares in use.
func (a *Allocator) nextLease(share *memberShare, i int32, item claimItem) (shareSize, bool) {
	limit := &a.limits.byIndex[i]
	if a.now < a.previousGrantsEnd(i) {
		extended := shareSize{
			roundDownToWire(min(item.leased.rate, limit.rate)),
			roundDownToWire(min(item.leased.burst, limit.burst)),
		}
		return extended, extended.rate > 0
	}
	a.plan()
	others := a.othersShare(i, share)
	available := shareSize{max(limit.rate-others.rate, 0), max(limit.burst-others.burst, 0)}
	target := share.target
	if a.now < share.currentLease.until {
		target = shareSize{
			ignoreSmallChange(target.rate, share.currentLease.rate, 0),
			ignoreSmallChange(target.burst, share.currentLease.burst, 1),
		}
	}
	if fallback := a.fallback(share.member, i); !limit.concurrency {
		target.burst = max(target.burst, fallback.burst) // the fallback share's capacity is always counted
	}
	next := shareSize{
		roundDownToWire(min(target.rate, available.rate)),
		roundDownToWire(min(target.burst, available.burst)),
	}
	if limit.concurrency {
		next = shareSize{rate: float64(uint64(next.rate))}
	}
	return next, true
}

// minChange is the relative difference from the current lease below which a target is ignored.
const minChange = 0.01

// ignoreSmallChange returns current if target differs from it by at most minChange or minDifference, else
// target.
func ignoreSmallChange(target, current, minDifference float64) float64 {
	if target > 0 && current > 0 && math.Abs(target-current) <= max(current*minChange, minDifference) {
		return current
	}
	return target
}

// previousGrantsEnd returns the time from which no grant of a previous allocator can be in use for the limit
// with index i. For limits on concurrency, the last requests that began under the previous allocator's leases
// have ended by then.
func (a *Allocator) previousGrantsEnd(i int32) time.Duration {
	if a.limits.byIndex[i].concurrency {
		return a.previousLeasesEnd + a.times.maxRequestTime
	}
	return a.previousLeasesEnd
}

// updateSpare updates the spare part of the limit with index i: the part that no member has from now on.
func (a *Allocator) updateSpare(i int32, allocation *limitAllocation) {
	limit, total := &a.limits.byIndex[i], a.allocationWithSum(i).sum.total
	allocation.spare = shareSize{max(limit.rate-total.rate, 0), max(limit.burst-total.burst, 0)}
	allocation.tokens = min(allocation.tokens, allocation.spare.burst)
}

package quota

import (
	"cmp"
	"slices"
	"time"
)

// memberShare is what a member has of one limit by the allocator's grants.
type memberShare struct {
	member       *member
	currentLease shareLease // leased by the last grant
	olderLease   shareLease // maximum of the earlier leases that the proxy may still use
	grantNumber  uint32     // number of the last grant
	// the proxy may use its fallback share as soon as the lease ends, by the last grant or by an earlier grant
	// that may be the last one that the proxy has applied
	fallbackAtOnce          bool
	lastGrantFallbackAtOnce bool          // the last grant permits that
	claimNumber             uint32        // number of the newest claim
	claimedAt               time.Duration // when the newest claim was received
	demand                  float64       // as claimed
	inFlight                float64       // requests in flight, as claimed; only for limits on concurrency
	target                  shareSize     // planned size of the next lease
	counted                 shareSize     // this share's part of the limit's sum
}

// shareLease is a leased share and the time until which the allocator counts it.
type shareLease struct {
	shareSize
	until time.Duration
}

func (l shareLease) max(other shareLease) shareLease {
	return shareLease{l.shareSize.max(other.shareSize), max(l.until, other.until)}
}

// maxLiveLease returns the maximum of the leases that may be alive.
func (s *memberShare) maxLiveLease(now time.Duration) shareLease {
	var largest shareLease
	for _, lease := range [...]shareLease{s.currentLease, s.olderLease} {
		if now < lease.until {
			largest = largest.max(lease)
		}
	}
	return largest
}

// recordGrant records a new lease. The proxy may use older leases until it confirms that it has applied the
// grant of the new lease.
func (s *memberShare) recordGrant(now time.Duration, number uint32, lease shareLease, fallbackAtOnce bool) {
	s.olderLease, s.currentLease, s.grantNumber = s.maxLiveLease(now), lease, number
	s.lastGrantFallbackAtOnce, s.fallbackAtOnce = fallbackAtOnce, s.fallbackAtOnce || fallbackAtOnce
}

// confirmGrant records that the proxy has applied a grant. Once the proxy has applied the last grant, it uses
// no older lease.
func (s *memberShare) confirmGrant(number uint32) {
	if number == s.grantNumber && number > 0 {
		s.olderLease, s.fallbackAtOnce = shareLease{}, s.lastGrantFallbackAtOnce
	}
}

// limitAllocation is the allocator's state of one limit: the members' shares, and a bucket that collects the
// tokens of the spare part, which no member has. A grant that adds capacity to a proxy's bucket moves at most
// as many tokens there from the allocator's bucket.
type limitAllocation struct {
	shares   []*memberShare // by the members' names
	tokens   float64        // tokens in the bucket as of filledAt
	filledAt time.Duration  // up to when the bucket has been refilled
	spare    shareSize      // part of the limit that no member has had since filledAt
	sum      limitSum
}

// allocation returns the allocation of the limit with index i. A new allocation assumes that the limit has
// been idle since the previous allocator's leases ended or, if that was later, since the table changed.
func (a *Allocator) allocation(i int32) *limitAllocation {
	allocation := a.allocations[i]
	if allocation == nil {
		allocation = &limitAllocation{filledAt: max(a.previousLeasesEnd, a.tableChangedAt), spare: a.unclaimed(i)}
		a.allocations[i] = allocation
	}
	return allocation
}

// unclaimed returns the part of a limit that no proxy can have while no member has a granted share: the limit
// less all fallback shares, for which the larger values of the current and the previous table count.
func (a *Allocator) unclaimed(i int32) shareSize {
	limit := &a.limits.byIndex[i]
	rate, tokens := limit.fallbackRate, limit.fallbackTokens
	if previous, found := a.previousLimits.byHash[limit.hash]; found {
		rate, tokens = max(
			rate,
			a.previousLimits.byIndex[previous].fallbackRate,
		), max(
			tokens,
			a.previousLimits.byIndex[previous].fallbackTokens,
		)
	}
	return shareSize{max(limit.rate-rate, 0), max(limit.burst-float64(tokens), 0)}
}

func (a *limitAllocation) find(name string) (int, bool) {
	return slices.BinarySearchFunc(
		a.shares,
		name,
		func(share *memberShare, n string) int { return cmp.Compare(share.member.name, n) },
	)
}

func (a *limitAllocation) add(share *memberShare) {
	if at, found := a.find(share.member.name); !found {
		a.shares = slices.Insert(a.shares, at, share)
		a.sum.revision = 0
	}
}

// dropShare removes a member's share of the limit with index i.
func (a *Allocator) dropShare(i int32, share *memberShare) {
	allocation := a.allocation(i)
	if at, found := allocation.find(share.member.name); found {
		allocation.refill(a.now, a.times.leaseDuration)
		allocation.shares = slices.Delete(allocation.shares, at, at+1)
		allocation.sum.revision = 0
		if len(allocation.shares) == 0 {
			allocation.spare = a.unclaimed(i)
		}
	}
	delete(share.member.shares, i)
}

// refill refills the allocation's bucket up to now. While members have shares, the spare part is added for at
// most one lease duration.
func (a *limitAllocation) refill(now time.Duration, leaseDuration time.Duration) {
	if now <= a.filledAt {
		return
	}
	elapsed := now - a.filledAt
	if len(a.shares) > 0 {
		elapsed = min(elapsed, leaseDuration)
	}
	a.tokens = min(a.tokens+a.spare.rate*elapsed.Seconds(), a.spare.burst)
	a.filledAt = now
}

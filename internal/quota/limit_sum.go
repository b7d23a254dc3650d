package quota

import "time"

// sumInterval is how long a limit's sum is used before it is computed again. In between, only grants change
// the sum. Leases that end make it smaller, which may be counted late. A fallback share whose suspension ends
// is counted early, by twice sumInterval (see fallbackSuspended).
const sumInterval = 50 * time.Millisecond

// limitSum is the share that all members together may have of a limit.
type limitSum struct {
	total      shareSize
	computedAt time.Duration
	revision   int // Allocator.revision at the computation; 0 if the sum is to be computed again
}

// othersShare returns the share of the limit with index i that all members but the given share's member may
// have.
func (a *Allocator) othersShare(i int32, share *memberShare) shareSize {
	total := a.allocationWithSum(i).sum.total
	return shareSize{max(total.rate-share.counted.rate, 0), max(total.burst-share.counted.burst, 0)}
}

// allocationWithSum returns the allocation of the limit with index i, with a sum that is up to date.
func (a *Allocator) allocationWithSum(i int32) *limitAllocation {
	allocation := a.allocation(i)
	if allocation.sum.revision != a.revision || a.now-allocation.sum.computedAt > sumInterval {
		a.recomputeSum(i, allocation)
	}
	return allocation
}

// recomputeSum computes a limit's sum over all members. The capacity for the tokens of all fallback shares is
// always counted, even if no member has these shares.
func (a *Allocator) recomputeSum(i int32, allocation *limitAllocation) {
	limit := &a.limits.byIndex[i]
	total := shareSize{burst: max(limit.burst-a.unclaimed(i).burst, 0)}
	for _, m := range a.members {
		if m.hasSlot && (limit.concurrency || !a.fallbackSuspended(m)) {
			total.rate += a.fallback(m, i).rate
		}
	}
	for _, share := range allocation.shares {
		share.counted = a.maxShare(share.member, i)
		total = total.plus(a.beyondFallback(share, i))
	}
	allocation.sum = limitSum{total, a.now, a.revision}
}

// updateCounted updates one member's part of the sum of the limit with index i.
func (a *Allocator) updateCounted(i int32, share *memberShare) {
	allocation := a.allocationWithSum(i)
	current := a.maxShare(share.member, i)
	allocation.sum.total = allocation.sum.total.plus(
		shareSize{current.rate - share.counted.rate, current.burst - share.counted.burst},
	)
	share.counted = current
}

// beyondFallback returns the share that a member may have by grants, in addition to the part that the sum
// counts for the member without any grant.
func (a *Allocator) beyondFallback(share *memberShare, i int32) shareSize {
	fallback, largest := a.fallback(share.member, i), a.maxShare(share.member, i)
	if !a.limits.byIndex[i].concurrency && a.fallbackSuspended(share.member) {
		fallback.rate = 0
	}
	return shareSize{max(largest.rate-fallback.rate, 0), max(largest.burst-fallback.burst, 0)}
}

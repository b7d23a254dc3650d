package quota

import "time"

// limitBucket is a proxy's part of one limit: its lease, its token bucket and the demand for it.
type limitBucket struct {
	concurrency    bool          // the limit is on requests in flight
	tokens         float64       // tokens in the bucket as of filledAt
	filledAt       time.Duration // the bucket has been refilled up to this time
	lease          shareSize
	leaseUntil     time.Duration // end of the lease
	claimSentAt    time.Duration // when the claim that obtained the lease was sent; extensions don't change it
	grantToken     uint64        // fencing token of the grant that the lease is from
	grantNumber    uint32        // number of the grant that the lease is from
	fallbackAtOnce bool          // the fallback share is valid once the lease ends, even if suspended
	fallback       shareSize

	inFlight      float64       // requests in flight
	lent          float64       // tokens lent to other proxies: their capacity stays empty until lentUntil
	lentUntil     time.Duration // lent counts until then
	borrowed      float64       // capacity for tokens borrowed from other proxies, until borrowedUntil
	borrowedUntil time.Duration // borrowed counts until then

	arrived      float64 // demand since the last round of claims
	rejected     float64 // rejected demand since tokens were last borrowed
	demand       float64 // smoothed demand in units a second; for limits on concurrency, requests in flight
	lastDemandAt time.Duration
	lastBorrowAt time.Duration
	claimed      bool // the limit is among Ledger.claimedLimits
}

// currentShare returns a bucket's share at a time: the lease or, without a lease, the fallback share. While
// the fallback share is suspended, the result has rate 0 and the fallback share's capacity, so the bucket
// keeps its tokens and is not refilled.
func (l *Ledger) currentShare(bucket *limitBucket, at time.Duration) shareSize {
	switch {
	// The fallback share of a limit on concurrency is never suspended and granted to another proxy: requests
	// that began under that grant would outlast its lease.
	case bucket.concurrency:
		if at < bucket.leaseUntil {
			return bucket.lease.max(bucket.fallback)
		}
		return bucket.fallback
	case at < bucket.leaseUntil:
		return bucket.lease
	case bucket.fallbackAtOnce || at >= l.fallbackSuspendedUntil:
		return bucket.fallback
	}
	return shareSize{burst: bucket.fallback.burst}
}

// capacity returns how many tokens the bucket can hold under a share: less the lent capacity, plus the
// borrowed capacity.
func (b *limitBucket) capacity(share shareSize) float64 {
	return max(share.burst-b.lent, 0) + b.borrowed
}

// refill refills the bucket up to now. It does so in steps, which end at the times at which the bucket's
// share or capacity changes.
func (l *Ledger) refill(bucket *limitBucket) {
	for bucket.filledAt < l.now {
		end := l.now
		for _, change := range [...]time.Duration{
			bucket.leaseUntil,
			l.fallbackSuspendedUntil,
			bucket.lentUntil,
			bucket.borrowedUntil,
		} {
			if change > bucket.filledAt && change < end {
				end = change
			}
		}
		share := l.currentShare(bucket, bucket.filledAt)
		bucket.tokens = min(bucket.tokens+share.rate*(end-bucket.filledAt).Seconds(), bucket.capacity(share))
		bucket.filledAt = end
		if bucket.lentUntil <= end {
			bucket.lent = 0
		}
		if bucket.borrowedUntil <= end {
			bucket.borrowed = 0
		}
	}
	bucket.tokens = min(bucket.tokens, bucket.capacity(l.currentShare(bucket, l.now)))
}

// AdvanceTo sets the ledger's time, at which the next requests are admitted or rejected. An earlier time than
// the present one is ignored.
func (l *Ledger) AdvanceTo(now time.Duration) *Ledger {
	if l.startedAt < 0 {
		l.startedAt = now
	}
	l.now = max(l.now, now)
	return l
}

// Available returns how much of the limit with index i a request may take now.
func (l *Ledger) Available(i int) float64 {
	bucket := &l.buckets[i]
	switch {
	case l.hasLeft:
		return 0
	case bucket.concurrency:
		return l.currentShare(bucket, l.now).rate - bucket.inFlight
	}
	l.refill(bucket)
	return bucket.tokens
}

// Capacity returns the largest amount that Available can return at the present share.
func (l *Ledger) Capacity(i int) float64 {
	bucket := &l.buckets[i]
	share := l.currentShare(bucket, l.now)
	switch {
	case l.hasLeft:
		return 0
	case bucket.concurrency:
		return share.rate
	}
	return bucket.capacity(share)
}

// Take records an admitted request. The caller has called Available at the same ledger time, so that the
// bucket is refilled.
func (l *Ledger) Take(i int, amount float64) {
	bucket := &l.buckets[i]
	if bucket.concurrency {
		bucket.inFlight += amount
	} else {
		bucket.tokens -= amount
	}
	l.recordDemand(i, amount)
}

// Return records the end of a request that was admitted by a limit on concurrency. Other limits ignore it.
func (l *Ledger) Return(i int, amount float64) {
	if bucket := &l.buckets[i]; bucket.concurrency {
		bucket.inFlight = max(bucket.inFlight-amount, 0)
	}
}

// Rejected records demand of a rejected request. If this limit had enough left, an outer limit rejected the
// request, and no tokens are borrowed for it.
func (l *Ledger) Rejected(i int, amount float64) {
	if l.Available(i) < amount {
		l.buckets[i].rejected += amount
	}
	l.recordDemand(i, amount)
}

// recordDemand counts demand for a limit and adds the limit to the claimed limits. If the limit had no demand
// before, it is claimed before the next round.
func (l *Ledger) recordDemand(i int, amount float64) {
	bucket := &l.buckets[i]
	if bucket.demand == 0 && bucket.arrived == 0 {
		l.urgentLimits = append(l.urgentLimits, int32(i))
	}
	bucket.arrived += amount
	bucket.lastDemandAt = l.now
	if !bucket.claimed {
		bucket.claimed = true
		l.claimedLimits = append(l.claimedLimits, int32(i))
	}
}

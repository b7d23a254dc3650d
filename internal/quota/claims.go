package quota

import (
	"math"
	"slices"
	"time"
)

// minDemand is the demand, in units a second, below which a limit counts as idle.
const minDemand = 0.1

// measureDemand updates the demand of the claimed limits, and stops claiming the limits that are idle. The
// recorded demand follows a rise beyond random variation (three standard deviations) at once, and a fall
// beyond random variation within a few rounds. It follows smaller changes by a quarter in each round, so that
// random variation neither makes a share oscillate nor makes it larger than its use.
func (l *Ledger) measureDemand(since time.Duration) {
	seconds := max(since, l.times.renewInterval).Seconds()
	l.claimedLimits = slices.DeleteFunc(l.claimedLimits, func(i int32) bool {
		bucket := &l.buckets[i]
		current := bucket.arrived / seconds
		if bucket.concurrency {
			current = bucket.arrived + bucket.inFlight
		}
		noise := 3*math.Sqrt(bucket.demand*seconds) + 3
		switch change := (current - bucket.demand) * seconds; {
		case change > noise || bucket.concurrency && change > 0:
			bucket.demand = current
		case change < -noise:
			bucket.demand = max(current, bucket.demand/4)
		case current == 0:
			bucket.demand /= 2
		default:
			bucket.demand += (current - bucket.demand) / 4
		}
		bucket.arrived = 0
		if current == 0 && bucket.demand < minDemand {
			bucket.demand = 0
		}
		bucket.claimed = bucket.demand > 0 || bucket.fallbackAtOnce || bucket.inFlight > 0 ||
			l.now-bucket.lastDemandAt < l.times.idleClaimTime
		return !bucket.claimed
	})
}

// sendClaims claims limits from the allocator, in as many datagrams as the limits take, but at least one.
// Limits that are not claimed are idle at this proxy: they need no datagrams, and the allocator may grant
// their fallback share to other proxies.
func (l *Ledger) sendClaims(limitIndices []int32) []Action {
	if l.allocator == "" {
		return nil
	}
	var actions []Action
	capacity := claimCapacity(l.cfg.Name)
	for first := true; first || len(limitIndices) > 0; first = false {
		n := min(capacity, len(limitIndices))
		actions = append(actions, Send{l.allocator, l.encodeClaim(limitIndices[:n])})
		limitIndices = limitIndices[n:]
	}
	return actions
}

// encodeClaim encodes the next claim and remembers when it was sent.
func (l *Ledger) encodeClaim(limitIndices []int32) []byte {
	l.lastClaimNumber++
	l.sentClaims[l.lastClaimNumber%uint32(len(l.sentClaims))] = sentClaim{l.lastClaimNumber, l.token, l.now}
	claim := claimMessage{
		token:               l.token,
		generation:          l.cfg.Generation,
		number:              l.lastClaimNumber,
		lastGrant:           l.lastGrantNumber,
		tableVersion:        l.limits.version,
		fallbackSuspendable: l.now-l.startedAt >= l.times.warmUp,
		name:                l.cfg.Name,
	}
	for _, i := range limitIndices {
		claim.items = append(claim.items, l.claimItem(i))
	}
	return claim.encode(l.cfg.Fleet)
}

// claimItem returns the part of a claim about the limit with index i.
func (l *Ledger) claimItem(i int32) claimItem {
	bucket := &l.buckets[i]
	item := claimItem{
		hash:   l.limits.byIndex[i].hash,
		demand: max(bucket.demand, bucket.arrived/l.times.renewInterval.Seconds()),
	}
	if bucket.grantToken == l.token {
		item.grantNumber = bucket.grantNumber
	}
	// An extension ends at most three lease durations after the claim that obtained the lease (settleTime).
	if l.now < bucket.leaseUntil && l.now < bucket.claimSentAt+2*l.times.leaseDuration {
		item.leased = bucket.lease
	}
	if bucket.concurrency {
		item.demand = max(bucket.demand, bucket.arrived+bucket.inFlight)
		item.leased.rate = max(item.leased.rate, bucket.inFlight)
	}
	return item
}

// applyGrant applies a grant that answers one of the last claims, if the grant is from the allocator with the
// highest fencing token. The duration of a lease counts from when the proxy sent the claim. While other
// proxies may still use tokens that this proxy lent, no share may shrink below the lent tokens, so the grant
// is not applied. But lastGrantAt is set, so that the proxy lends no more tokens.
func (l *Ledger) applyGrant(grant grantMessage) {
	sent := l.sentClaims[grant.claimNumber%uint32(len(l.sentClaims))]
	if grant.generation != l.cfg.Generation || grant.token != l.token || sent.token != grant.token ||
		sent.number != grant.claimNumber || grant.claimNumber == 0 {
		return
	}
	until := sent.sentAt + l.times.leaseDuration
	if until <= l.now {
		return
	}
	l.lastGrantAt = l.now
	if l.now < l.lentUntil {
		return
	}
	if grant.fallbackSuspended {
		l.fallbackSuspendedUntil = max(l.fallbackSuspendedUntil, sent.sentAt+l.times.fallbackSuspension)
	}
	if grant.number > l.lastGrantNumber {
		l.lastGrantNumber = grant.number
		if grant.slot.Level != noSlotLevel {
			l.setSlot(grant.slot, l.slotCoversConcurrency || grant.slotCoversConcurrency)
		}
	}
	for _, item := range grant.items {
		if i, found := l.limits.byHash[item.hash]; found {
			l.applyLease(&l.buckets[i], grant, item, until)
		}
	}
}

// applyLease applies a grant's lease of one limit, unless a later grant has been applied.
func (l *Ledger) applyLease(bucket *limitBucket, grant grantMessage, item grantItem, until time.Duration) {
	if bucket.grantToken == grant.token && bucket.grantNumber >= grant.number {
		return
	}
	l.refill(bucket)
	bucket.grantToken, bucket.grantNumber = grant.token, grant.number
	bucket.lease, bucket.leaseUntil, bucket.fallbackAtOnce = item.size, until, item.fallbackAtOnce
	if !grant.extendsOnly {
		bucket.claimSentAt = until - l.times.leaseDuration
	}
	bucket.tokens += item.tokens
	l.refill(bucket)
}

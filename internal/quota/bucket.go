package quota

import "time"

// bucket is a proxy's part of one limit: its lease, its bucket, and the demand that came.
type bucket struct {
	concurrency    bool
	tokens         float64
	filledAt       time.Duration // as of
	lease          size
	leaseUntil     time.Duration // of the lease
	claimSentAt    time.Duration // when the claim was sent that got it, were it prolonged since or not
	token          uint64        // of the grant that it is of
	number         uint32
	fallbackAtOnce bool // without the lease the fallback share holds at once
	fallback       size

	inFlight      float64 // requests in flight
	lent          float64 // tokens lent to others: their capacity stays empty until lentUntil
	lentUntil     time.Duration
	borrowed      float64 // capacity for tokens that others lent, until borrowedUntil
	borrowedUntil time.Duration

	arrived      float64 // asked of it since the last round
	rejected     float64 // of that, refused since tokens were last asked for
	demand       float64 // units a second, or at once
	lastDemandAt time.Duration
	lastBorrowAt time.Duration
	claimed      bool
}

// currentShare is what the slot has at a time: the lease; without one the fallback share, unless that is
// suspended, which leaves the bucket as it is but does not fill it.
func (l *Ledger) currentShare(s *bucket, at time.Duration) size {
	switch {
	case s.concurrency: // never suspended: what was begun on a borrowed share would outlast the lease
		if at < s.leaseUntil {
			return s.lease.max(s.fallback)
		}
		return s.fallback
	case at < s.leaseUntil:
		return s.lease
	case s.fallbackAtOnce || at >= l.fallbackSuspendedUntil:
		return s.fallback
	}
	return size{burst: s.fallback.burst}
}

func (s *bucket) capacity(share size) float64 { return max(share.burst-s.lent, 0) + s.borrowed }

// refill brings the bucket up to now, piece by piece between the times at which its share or its capacity
// changes.
func (l *Ledger) refill(s *bucket) {
	for s.filledAt < l.now {
		end := l.now
		for _, b := range [...]time.Duration{s.leaseUntil, l.fallbackSuspendedUntil, s.lentUntil, s.borrowedUntil} {
			if b > s.filledAt && b < end {
				end = b
			}
		}
		share := l.currentShare(s, s.filledAt)
		s.tokens = min(s.tokens+share.rate*(end-s.filledAt).Seconds(), s.capacity(share))
		s.filledAt = end
		if s.lentUntil <= end {
			s.lent = 0
		}
		if s.borrowedUntil <= end {
			s.borrowed = 0
		}
	}
	s.tokens = min(s.tokens, s.capacity(l.currentShare(s, l.now)))
}

// AdvanceTo moves the ledger's time on, for the requests that are judged next.
func (l *Ledger) AdvanceTo(now time.Duration) *Ledger {
	if l.startedAt < 0 {
		l.startedAt = now
	}
	l.now = max(l.now, now)
	return l
}

// Available is how much of the limit a request may take now.
func (l *Ledger) Available(i int) float64 {
	s := &l.buckets[i]
	switch {
	case l.left:
		return 0
	case s.concurrency:
		return l.currentShare(s, l.now).rate - s.inFlight
	}
	l.refill(s)
	return s.tokens
}

// Capacity is the most that Available can return at the present share.
func (l *Ledger) Capacity(i int) float64 {
	s := &l.buckets[i]
	share := l.currentShare(s, l.now)
	switch {
	case l.left:
		return 0
	case s.concurrency:
		return share.rate
	}
	return s.capacity(share)
}

// Take notes that a request was admitted. The caller has called Available at the same time.
func (l *Ledger) Take(i int, amount float64) {
	s := &l.buckets[i]
	if s.concurrency {
		s.inFlight += amount
	} else {
		s.tokens -= amount
	}
	l.recordDemand(i, amount)
}

// Return notes that a request of a limit on concurrency has ended.
func (l *Ledger) Return(i int, amount float64) {
	if s := &l.buckets[i]; s.concurrency {
		s.inFlight = max(s.inFlight-amount, 0)
	}
}

// Rejected notes demand that was rejected: by this limit, or by one around it.
func (l *Ledger) Rejected(i int, amount float64) {
	if l.Available(i) < amount {
		l.buckets[i].rejected += amount
	}
	l.recordDemand(i, amount)
}

func (l *Ledger) recordDemand(i int, amount float64) {
	s := &l.buckets[i]
	if s.demand == 0 && s.arrived == 0 {
		l.urgent = append(l.urgent, int32(i))
	}
	s.arrived += amount
	s.lastDemandAt = l.now
	if !s.claimed {
		s.claimed = true
		l.claimed = append(l.claimed, int32(i))
	}
}

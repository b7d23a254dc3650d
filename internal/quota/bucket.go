package quota

import "time"

// slot is a node's part of one limit: its lease, its bucket, and the demand that came.
type slot struct {
	open   bool
	tokens float64
	at     time.Duration // as of
	lease  size
	until  time.Duration // of the lease
	fresh  time.Duration // when the claim was sent that got it, were it prolonged since or not
	fence  uint64        // of the grant that it is of
	number uint32
	kept   bool // without the lease the safe share holds at once
	safe   size

	out       float64 // requests that are open
	lent      float64 // tokens handed to others: their room stays empty until lentUntil
	lentUntil time.Duration
	got       float64 // room for tokens that others handed, until gotUntil
	gotUntil  time.Duration

	came    float64 // asked of it since the last round
	short   float64 // of that, refused since tokens were last asked for
	demand  float64 // units a second, or at once
	last    time.Duration
	lastAsk time.Duration
	listed  bool
}

// share is what the slot has at a time: the lease; without one the safe share, unless that is at rest, which leaves
// the bucket as it is but does not fill it.
func (l *Ledger) share(s *slot, at time.Duration) size {
	switch {
	case s.open: // never at rest: what was begun on a borrowed share would outlast the lease
		if at < s.until {
			return s.lease.most(s.safe)
		}
		return s.safe
	case at < s.until:
		return s.lease
	case s.kept || at >= l.voidUntil:
		return s.safe
	}
	return size{burst: s.safe.burst}
}

func (s *slot) room(share size) float64 { return max(share.burst-s.lent, 0) + s.got }

// fill brings the bucket up to now, piece by piece between the times at which its share or its room changes.
func (l *Ledger) fill(s *slot) {
	for s.at < l.now {
		end := l.now
		for _, b := range [...]time.Duration{s.until, l.voidUntil, s.lentUntil, s.gotUntil} {
			if b > s.at && b < end {
				end = b
			}
		}
		share := l.share(s, s.at)
		s.tokens = min(s.tokens+share.rate*(end-s.at).Seconds(), s.room(share))
		s.at = end
		if s.lentUntil <= end {
			s.lent = 0
		}
		if s.gotUntil <= end {
			s.got = 0
		}
	}
	s.tokens = min(s.tokens, s.room(l.share(s, l.now)))
}

// At moves the ledger's time on, for the requests that are judged next.
func (l *Ledger) At(now time.Duration) *Ledger {
	if l.born < 0 {
		l.born = now
	}
	l.now = max(l.now, now)
	return l
}

// Available is how much of the limit a request may take now.
func (l *Ledger) Available(i int) float64 {
	s := &l.slots[i]
	switch {
	case l.left:
		return 0
	case s.open:
		return l.share(s, l.now).rate - s.out
	}
	l.fill(s)
	return s.tokens
}

// Capacity is the most that Left can come to at the present share.
func (l *Ledger) Capacity(i int) float64 {
	s := &l.slots[i]
	share := l.share(s, l.now)
	switch {
	case l.left:
		return 0
	case s.open:
		return share.rate
	}
	return s.room(share)
}

// Take notes that a request was admitted. The caller has asked Left at the same time.
func (l *Ledger) Take(i int, amount float64) {
	s := &l.slots[i]
	if s.open {
		s.out += amount
	} else {
		s.tokens -= amount
	}
	l.wanted(i, amount)
}

// Return notes that a request of a limit on open requests has ended.
func (l *Ledger) Return(i int, amount float64) {
	if s := &l.slots[i]; s.open {
		s.out = max(s.out-amount, 0)
	}
}

// Rejected notes demand that was turned away: by this limit, or by one around it.
func (l *Ledger) Rejected(i int, amount float64) {
	if l.Available(i) < amount {
		l.slots[i].short += amount
	}
	l.wanted(i, amount)
}

func (l *Ledger) wanted(i int, amount float64) {
	s := &l.slots[i]
	if s.demand == 0 && s.came == 0 {
		l.due = append(l.due, int32(i))
	}
	s.came += amount
	s.last = l.now
	if !s.listed {
		s.listed = true
		l.listed = append(l.listed, int32(i))
	}
}

package quota

import (
	"math"
	"slices"
	"time"
)

// Bounds of lending.
const (
	borrowInterval  = 50 * time.Millisecond // for one limit
	maxPendingLoans = 64                    // answers awaited at once
	maxLentNonces   = 4096                  // answered ones remembered
)

// pendingLoan is tokens that are awaited.
type pendingLoan struct {
	limit int32
	hash  uint64
	need  float64
	at    time.Duration
}

// withoutAllocator reports whether the slot lives by its fallback share because no allocator answers.
func (l *Ledger) withoutAllocator(s *bucket) bool {
	return !s.concurrency && l.now >= s.leaseUntil && l.now >= l.fallbackSuspendedUntil &&
		(l.lastGrantAt == 0 || l.now-l.lastGrantAt > l.times.lease)
}

// borrowTokens asks one peer for tokens of each limit that ran short.
func (l *Ledger) borrowTokens() []Action {
	for nonce, a := range l.borrowing {
		if l.now-a.at > l.times.loanTimeout {
			delete(l.borrowing, nonce)
		}
	}
	var out []Action
	for _, i := range l.claimed {
		s := &l.buckets[i]
		if s.rejected < 1 || l.now-s.lastBorrowAt < borrowInterval || len(l.peers) == 0 ||
			len(l.borrowing) >= maxPendingLoans {
			continue
		}
		need := math.Floor(s.rejected)
		s.rejected, s.lastBorrowAt = 0, l.now
		if !l.withoutAllocator(s) {
			continue
		}
		a := borrowRequest{nonce: l.random.Uint64(), hash: l.limits.all[i].hash, need: down(need), name: l.cfg.Name}
		l.borrowing[a.nonce] = pendingLoan{i, a.hash, a.need, l.now}
		out = append(out, Send{l.peers[l.random.IntN(len(l.peers))], a.encode(l.cfg.Fleet)})
	}
	return out
}

// lendTokens gives tokens, whole ones, once a nonce. They are debited before they are sent, and their
// capacity in the bucket stays empty until they can't be used any more: so what all proxies hold and what is
// on the way never exceeds what the buckets of their fallback shares hold together.
func (l *Ledger) lendTokens(a borrowRequest) []Action {
	i, there := l.limits.byHash[a.hash]
	if _, again := l.lentNonces[a.nonce]; !there || again || !l.withoutAllocator(&l.buckets[i]) {
		return nil
	}
	s := &l.buckets[i]
	l.refill(s)
	spare := min(s.tokens, s.fallback.burst-s.lent)
	if s.arrived > 0 || s.demand > 0 {
		spare /= 2
	}
	amount := math.Floor(min(spare, a.need))
	if amount < 1 || len(l.lentNonces) >= maxLentNonces && !l.forgetNonces() {
		return nil
	}
	l.lentNonces[a.nonce] = l.now
	s.tokens -= amount
	s.lent += amount
	s.lentUntil = l.now + l.times.atMost(l.times.loanUse)
	l.lentUntil = s.lentUntil
	g := loan{nonce: a.nonce, hash: a.hash, amount: amount}
	return []Action{Send{a.name, g.encode(l.cfg.Fleet)}}
}

// forgetNonces drops nonces whose askers wait no longer.
func (l *Ledger) forgetNonces() bool {
	for nonce, at := range l.lentNonces {
		if l.now-at > 2*l.times.loanTimeout {
			delete(l.lentNonces, nonce)
		}
	}
	return len(l.lentNonces) < maxLentNonces
}

// receiveLoan takes tokens that were asked for, once, and only soon after. The capacity for them ends soon
// after, too.
func (l *Ledger) receiveLoan(g loan) {
	a, there := l.borrowing[g.nonce]
	if !there || a.hash != g.hash || g.amount > a.need {
		return
	}
	delete(l.borrowing, g.nonce)
	i, there := l.limits.byHash[g.hash]
	if !there || l.now-a.at > l.times.loanTimeout || !slices.Contains(l.claimed, i) {
		return
	}
	s := &l.buckets[i]
	l.refill(s)
	if until := a.at + l.times.loanUse; s.borrowed == 0 || until < s.borrowedUntil {
		s.borrowedUntil = until
	}
	s.borrowed += g.amount
	s.tokens += g.amount
	l.refill(s)
}

package quota

import (
	"math"
	"slices"
	"time"
)

// Bounds of lending between proxies.
const (
	borrowInterval  = 50 * time.Millisecond // shortest time between two requests for tokens of one limit
	maxPendingLoans = 64                    // requests that wait for an answer
	maxLentNonces   = 4096                  // answered requests that are remembered
)

// pendingLoan is a request for tokens that waits for its answer.
type pendingLoan struct {
	limitIndex  int32
	hash        uint64  // of the limit's name
	amount      float64 // requested tokens
	requestedAt time.Duration
}

// withoutAllocator reports whether the bucket uses its fallback share because no allocator answers.
func (l *Ledger) withoutAllocator(bucket *limitBucket) bool {
	return !bucket.concurrency && l.now >= bucket.leaseUntil && l.now >= l.fallbackSuspendedUntil &&
		(l.lastGrantAt == 0 || l.now-l.lastGrantAt > l.times.leaseDuration)
}

// borrowTokens requests tokens from one random peer for each limit that rejected demand while no allocator
// answers.
func (l *Ledger) borrowTokens() []Action {
	for nonce, pending := range l.pendingLoans {
		if l.now-pending.requestedAt > l.times.loanTimeout {
			delete(l.pendingLoans, nonce)
		}
	}
	var actions []Action
	for _, i := range l.claimedLimits {
		bucket := &l.buckets[i]
		if bucket.rejected < 1 || l.now-bucket.lastBorrowAt < borrowInterval || len(l.peers) == 0 ||
			len(l.pendingLoans) >= maxPendingLoans {
			continue
		}
		amount := math.Floor(bucket.rejected)
		bucket.rejected, bucket.lastBorrowAt = 0, l.now
		if !l.withoutAllocator(bucket) {
			continue
		}
		request := borrowMessage{
			nonce:  l.random.Uint64(),
			hash:   l.limits.byIndex[i].hash,
			amount: roundDownToWire(amount),
			name:   l.cfg.Name,
		}
		l.pendingLoans[request.nonce] = pendingLoan{i, request.hash, request.amount, l.now}
		actions = append(actions, Send{l.peers[l.random.IntN(len(l.peers))], request.encode(l.cfg.Fleet)})
	}
	return actions
}

// lendTokens lends an integer amount of tokens, once for each nonce. The tokens are debited before they are
// sent, and their capacity in the bucket stays empty until the borrower can't use the tokens any more. So all
// tokens, at proxies and in transit, never exceed the capacity of the buckets of all fallback shares.
func (l *Ledger) lendTokens(request borrowMessage) []Action {
	i, known := l.limits.byHash[request.hash]
	if _, answered := l.lentNonces[request.nonce]; !known || answered || !l.withoutAllocator(&l.buckets[i]) {
		return nil
	}
	bucket := &l.buckets[i]
	l.refill(bucket)
	spare := min(bucket.tokens, bucket.fallback.burst-bucket.lent)
	if bucket.arrived > 0 || bucket.demand > 0 {
		spare /= 2
	}
	amount := math.Floor(min(spare, request.amount))
	if amount < 1 || len(l.lentNonces) >= maxLentNonces && !l.forgetNonces() {
		return nil
	}
	l.lentNonces[request.nonce] = l.now
	bucket.tokens -= amount
	bucket.lent += amount
	bucket.lentUntil = l.now + l.times.longestElapsed(l.times.loanUse)
	l.lentUntil = bucket.lentUntil
	answer := loanMessage{nonce: request.nonce, hash: request.hash, amount: amount}
	return []Action{Send{request.name, answer.encode(l.cfg.Fleet)}}
}

// forgetNonces drops the nonces of requests that have timed out, and reports whether another nonce may be
// added.
func (l *Ledger) forgetNonces() bool {
	for nonce, answeredAt := range l.lentNonces {
		if l.now-answeredAt > 2*l.times.loanTimeout {
			delete(l.lentNonces, nonce)
		}
	}
	return len(l.lentNonces) < maxLentNonces
}

// receiveLoan credits lent tokens, once for each request and only within loanTimeout. The capacity for these
// tokens ends loanUse after the request.
func (l *Ledger) receiveLoan(received loanMessage) {
	pending, found := l.pendingLoans[received.nonce]
	if !found || pending.hash != received.hash || received.amount > pending.amount {
		return
	}
	delete(l.pendingLoans, received.nonce)
	i, found := l.limits.byHash[received.hash]
	if !found || l.now-pending.requestedAt > l.times.loanTimeout || !slices.Contains(l.claimedLimits, i) {
		return
	}
	bucket := &l.buckets[i]
	l.refill(bucket)
	if until := pending.requestedAt + l.times.loanUse; bucket.borrowed == 0 || until < bucket.borrowedUntil {
		bucket.borrowedUntil = until
	}
	bucket.borrowed += received.amount
	bucket.tokens += received.amount
	l.refill(bucket)
}

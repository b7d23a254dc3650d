package quota

import (
	"math"
	"slices"
	"time"
)

// Bounds of handing over.
const (
	askEvery  = 50 * time.Millisecond // for one limit
	mostAsked = 64                    // answers awaited at once
	mostNonce = 4096                  // answered ones remembered
)

// asked is tokens that are awaited.
type asked struct {
	limit int32
	hash  uint64
	need  float64
	at    time.Duration
}

// alone says whether the slot lives by its safe share because no holder answers.
func (l *Ledger) alone(s *slot) bool {
	return !s.open && l.now >= s.until && l.now >= l.voidUntil && (l.heard == 0 || l.now-l.heard > l.t.lease)
}

// askAround asks one peer for tokens of each limit that ran short.
func (l *Ledger) askAround() []Action {
	for nonce, a := range l.asked {
		if l.now-a.at > l.t.credit {
			delete(l.asked, nonce)
		}
	}
	var out []Action
	for _, i := range l.listed {
		s := &l.slots[i]
		if s.short < 1 || l.now-s.lastAsk < askEvery || len(l.peers) == 0 || len(l.asked) >= mostAsked {
			continue
		}
		need := math.Floor(s.short)
		s.short, s.lastAsk = 0, l.now
		if !l.alone(s) {
			continue
		}
		a := ask{nonce: l.rng.Uint64(), hash: l.limits.all[i].hash, need: down(need), name: l.cfg.Name}
		l.asked[a.nonce] = asked{i, a.hash, a.need, l.now}
		out = append(out, Send{l.peers[l.rng.IntN(len(l.peers))], a.bytes(l.cfg.Fleet)})
	}
	return out
}

// hand gives tokens, whole ones, once a nonce. They are debited before they are sent, and their room in the bucket
// stays empty until they can't be used any more: so what all nodes hold and what is on the way never exceeds what
// the buckets of their safe shares hold together.
func (l *Ledger) hand(a ask) []Action {
	i, there := l.limits.byHash[a.hash]
	if _, again := l.answered[a.nonce]; !there || again || !l.alone(&l.slots[i]) {
		return nil
	}
	s := &l.slots[i]
	l.fill(s)
	spare := min(s.tokens, s.safe.burst-s.lent)
	if s.came > 0 || s.demand > 0 {
		spare /= 2
	}
	amount := math.Floor(min(spare, a.need))
	if amount < 1 || len(l.answered) >= mostNonce && !l.forgetAnswered() {
		return nil
	}
	l.answered[a.nonce] = l.now
	s.tokens -= amount
	s.lent += amount
	s.lentUntil = l.now + l.t.over(l.t.hold)
	l.lentUntil = s.lentUntil
	g := give{nonce: a.nonce, hash: a.hash, amount: amount}
	return []Action{Send{a.name, g.bytes(l.cfg.Fleet)}}
}

// forgetAnswered drops nonces whose askers wait no longer.
func (l *Ledger) forgetAnswered() bool {
	for nonce, at := range l.answered {
		if l.now-at > 2*l.t.credit {
			delete(l.answered, nonce)
		}
	}
	return len(l.answered) < mostNonce
}

// credit takes tokens that were asked for, once, and only soon after. The room for them ends soon after, too.
func (l *Ledger) credit(g give) {
	a, there := l.asked[g.nonce]
	if !there || a.hash != g.hash || g.amount > a.need {
		return
	}
	delete(l.asked, g.nonce)
	i, there := l.limits.byHash[g.hash]
	if !there || l.now-a.at > l.t.credit || !slices.Contains(l.listed, i) {
		return
	}
	s := &l.slots[i]
	l.fill(s)
	if until := a.at + l.t.hold; s.got == 0 || until < s.gotUntil {
		s.gotUntil = until
	}
	s.got += g.amount
	s.tokens += g.amount
	l.fill(s)
}

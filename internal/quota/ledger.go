package quota

import (
	"math/rand/v2"
	"time"

	"wrenspread/ratelimit"
)

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Fleet      uint32 // hash of the fleet's name
	Name       string // the proxy's name, at most MaxName bytes
	Generation uint64 // of the process; a later process of this name has a higher generation
	Seed       uint64 // of the random draws
}

// Ledger holds a proxy's share of each limit. It is pure: the caller passes all times, which are readings of
// the process's monotonic clock and not negative. Only one goroutine may use a Ledger at a time. It
// implements ratelimit.Tokens, by which requests are admitted, as of the last AdvanceTo or Handle, without
// allocating memory for a request.
type Ledger struct {
	cfg           LedgerConfig
	times         times
	random        *rand.Rand
	now           time.Duration
	startedAt     time.Duration // time of the first event; -1 before
	limits        *limits
	buckets       []limitBucket // by the limit's index
	claimedLimits []int32       // indices of the limits that each round of claims includes
	urgentLimits  []int32       // indices of the limits to claim before the next round
	hasLeft       bool

	allocator              string // the allocator's name; empty if not known
	token                  uint64 // highest fencing token of an allocator seen
	lastGrantAt            time.Duration
	sentClaims             [64]sentClaim // the last 64 claims; a claim's index is its number modulo 64
	lastClaimNumber        uint32
	lastGrantNumber        uint32        // highest number of a grant that was applied under the fencing token
	lastRoundAt            time.Duration // when all claimedLimits were last claimed
	lastUrgentAt           time.Duration // when urgentLimits were last claimed
	slot                   Slot
	slotCoversConcurrency  bool // the slot is valid for limits on concurrency too
	fallbackSuspendedUntil time.Duration

	peers        []string // other proxies, from which tokens may be borrowed
	pendingLoans map[uint64]pendingLoan
	lentNonces   map[uint64]time.Duration // when each borrowMessage was answered, by its nonce
	lentUntil    time.Duration            // latest limitBucket.lentUntil
}

// sentClaim is a claim that the ledger has sent.
type sentClaim struct {
	number uint32
	token  uint64
	sentAt time.Duration
}

var _ ratelimit.Tokens = (*Ledger)(nil)

// NewLedger returns a ledger that has no table, no share and no slot.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{
		cfg: cfg, times: defaultTimes(), random: rand.New(rand.NewPCG(cfg.Seed, cfg.Generation)), startedAt: -1,
		limits: newLimits(nil, 0), slot: Slot{Level: noSlotLevel},
		pendingLoans: map[uint64]pendingLoan{}, lentNonces: map[uint64]time.Duration{},
	}
}

// Handle handles an event and returns the datagrams to send.
func (l *Ledger) Handle(now time.Duration, e Event) []Action {
	l.AdvanceTo(now)
	switch e := e.(type) {
	case Tick:
		return l.tick()
	case Message:
		return l.handleDatagram(e.Data)
	case TableChanged:
		l.setTable(e.Current)
	case AllocatorKnown:
		if l.followAllocator(e.Token, e.Name) && !l.hasLeft {
			return l.sendClaims(l.claimedLimits)
		}
	case Peers:
		l.peers = e.Names
	case Leave:
		l.hasLeft = true
	}
	return nil
}

// handleDatagram handles grants, announcements and the messages by which proxies borrow tokens. It drops
// datagrams that can't be decoded and, after a leave, all datagrams.
func (l *Ledger) handleDatagram(data []byte) []Action {
	kind, r, err := readHeader(data, l.cfg.Fleet)
	if err != nil || l.hasLeft {
		return nil
	}
	switch kind {
	case kindGrant:
		if grant, ok := decodeGrant(r); ok {
			l.applyGrant(grant)
		}
	case kindAnnouncement:
		if a, ok := decodeAnnouncement(r); ok && l.followAllocator(a.token, a.name) {
			return l.sendClaims(l.claimedLimits)
		}
	case kindBorrow:
		if request, ok := decodeBorrow(r); ok {
			return l.lendTokens(request)
		}
	case kindLoan:
		if loan, ok := decodeLoan(r); ok {
			l.receiveLoan(loan)
		}
	}
	return nil
}

// followAllocator follows an allocator if the allocator's fencing token is higher than all tokens seen
// before. It reports whether the token was higher.
func (l *Ledger) followAllocator(token uint64, name string) bool {
	if token <= l.token || len(name) == 0 || len(name) > MaxName {
		return false
	}
	l.token, l.allocator, l.lastGrantNumber = token, name, 0
	return true
}

// tick sends the claims and borrow requests that are due.
func (l *Ledger) tick() []Action {
	if l.hasLeft {
		return l.leave()
	}
	var actions []Action
	switch {
	case l.now-l.lastRoundAt >= l.times.renewInterval || l.lastClaimNumber == 0:
		l.measureDemand(l.now - l.lastRoundAt)
		l.lastRoundAt, l.lastUrgentAt, l.urgentLimits = l.now, l.now, l.urgentLimits[:0]
		actions = l.sendClaims(l.claimedLimits)
	case len(l.urgentLimits) > 0 && l.now-l.lastUrgentAt >= l.times.minClaimInterval:
		l.lastUrgentAt = l.now
		actions = l.sendClaims(l.urgentLimits)
		l.urgentLimits = l.urgentLimits[:0]
	}
	return append(actions, l.borrowTokens()...)
}

// leave notifies the allocator, once in each renewInterval for as long as the process lives, that the proxy
// admits no more requests. It waits until none of the proxy's shares is in use, neither by lent tokens nor by
// requests in flight.
func (l *Ledger) leave() []Action {
	if l.allocator == "" || l.now < l.lentUntil || l.now-l.lastRoundAt < l.times.renewInterval {
		return nil
	}
	for _, i := range l.claimedLimits {
		if l.buckets[i].inFlight > 0 {
			return nil
		}
	}
	l.lastRoundAt = l.now
	notice := leaveMessage{generation: l.cfg.Generation, name: l.cfg.Name}
	return []Action{Send{l.allocator, notice.encode(l.cfg.Fleet)}}
}

// setTable replaces the table. Limits whose names are in both tables keep their shares and tokens.
func (l *Ledger) setTable(t *ratelimit.Table) {
	next := newLimits(t, l.times.drift)
	buckets := make([]limitBucket, len(next.byIndex))
	var claimed []int32
	for i := range buckets {
		if previous, found := l.limits.byHash[next.byIndex[i].hash]; found {
			l.refill(&l.buckets[previous])
			buckets[i] = l.buckets[previous]
		}
		buckets[i].filledAt, buckets[i].concurrency = l.now, next.byIndex[i].concurrency
		buckets[i].fallback = next.byIndex[i].fallback(l.slot, l.slotCoversConcurrency)
		if buckets[i].claimed {
			claimed = append(claimed, int32(i))
		}
	}
	l.limits, l.buckets, l.urgentLimits = next, buckets, make([]int32, 0, len(buckets))
	l.claimedLimits = append(make([]int32, 0, len(buckets)), claimed...)
	for i := range l.buckets {
		l.refill(&l.buckets[i])
	}
}

// setSlot applies the slot of a grant.
func (l *Ledger) setSlot(slot Slot, coversConcurrency bool) {
	if slot == l.slot && coversConcurrency == l.slotCoversConcurrency {
		return
	}
	for i := range l.buckets {
		l.refill(&l.buckets[i])
		l.buckets[i].fallback = l.limits.byIndex[i].fallback(slot, coversConcurrency)
		l.refill(&l.buckets[i])
	}
	l.slot, l.slotCoversConcurrency = slot, coversConcurrency
}

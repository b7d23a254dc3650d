package quota

import (
	"math/rand/v2"
	"time"

	"wrenspread/ratelimit"
)

// LedgerConfig is what a ledger is started with.
type LedgerConfig struct {
	Fleet      uint32 // the fleet's name as a hash
	Name       string // of the proxy, at most MaxName bytes
	Generation uint64 // of the process; a later process under the name has a higher one
	Seed       uint64
}

// Ledger holds a proxy's share of each limit. It is pure: times are of the process's monotonic clock, from 0
// or more, and one goroutine uses it at a time. It is the ratelimit.Tokens that requests are judged with, as
// of the last AdvanceTo or Handle, and allocates nothing for them.
type Ledger struct {
	cfg       LedgerConfig
	times     times
	random    *rand.Rand
	now       time.Duration
	startedAt time.Duration // the first time of an event
	limits    *limits
	buckets   []bucket // by the table's index
	claimed   []int32  // those that are claimed
	urgent    []int32  // those of them that wait for no round
	left      bool

	allocator              string
	token                  uint64 // the highest seen
	lastGrantAt            time.Duration
	sentClaims             [64]sentClaim
	lastClaim              uint32        // of the last claim
	lastGrant              uint32        // the highest number of a grant taken under the fencing token
	lastRoundAt            time.Duration // when all that is listed was last claimed
	lastUrgentAt           time.Duration
	slot                   Slot
	slotCoversConcurrency  bool // it holds for limits on concurrency too
	fallbackSuspendedUntil time.Duration

	peers      []string
	borrowing  map[uint64]pendingLoan
	lentNonces map[uint64]time.Duration
	lentUntil  time.Duration // of all slots
}

type sentClaim struct {
	number uint32
	token  uint64
	at     time.Duration
}

var _ ratelimit.Tokens = (*Ledger)(nil)

// NewLedger returns a ledger that has no table, no share and no slot.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{
		cfg: cfg, times: defaultTimes(), random: rand.New(rand.NewPCG(cfg.Seed, cfg.Generation)), startedAt: -1,
		limits: newLimits(nil, 0), slot: Slot{Level: slotNone},
		borrowing: map[uint64]pendingLoan{}, lentNonces: map[uint64]time.Duration{},
	}
}

// Handle takes an event and gives what is to be sent.
func (l *Ledger) Handle(now time.Duration, e Event) []Action {
	l.AdvanceTo(now)
	switch e := e.(type) {
	case Tick:
		return l.tick()
	case Message:
		return l.message(e.Data)
	case TableChanged:
		l.setTable(e.Current)
	case AllocatorKnown:
		if l.followAllocator(e.Token, e.Name) && !l.left {
			return l.sendClaims(l.claimed)
		}
	case Peers:
		l.peers = e.Names
	case Leave:
		l.left = true
	}
	return nil
}

func (l *Ledger) message(data []byte) []Action {
	kind, r, err := open(data, l.cfg.Fleet)
	if err != nil || l.left {
		return nil
	}
	switch kind {
	case kindGrant:
		if g, ok := decodeGrant(r); ok {
			l.applyGrant(g)
		}
	case kindAnnouncement:
		if h, ok := decodeAnnouncement(r); ok && l.followAllocator(h.token, h.name) {
			return l.sendClaims(l.claimed)
		}
	case kindBorrow:
		if a, ok := decodeBorrowRequest(r); ok {
			return l.lendTokens(a)
		}
	case kindLoan:
		if g, ok := decodeLoan(r); ok {
			l.receiveLoan(g)
		}
	}
	return nil
}

// followAllocator takes an allocator whose fencing token is higher than any seen.
func (l *Ledger) followAllocator(fence uint64, name string) bool {
	if fence <= l.token || len(name) == 0 || len(name) > MaxName {
		return false
	}
	l.token, l.allocator, l.lastGrant = fence, name, 0
	return true
}

func (l *Ledger) tick() []Action {
	if l.left {
		return l.leave()
	}
	var out []Action
	switch {
	case l.now-l.lastRoundAt >= l.times.renew || l.lastClaim == 0:
		l.measureDemand(l.now - l.lastRoundAt)
		l.lastRoundAt, l.lastUrgentAt, l.urgent = l.now, l.now, l.urgent[:0]
		out = l.sendClaims(l.claimed)
	case len(l.urgent) > 0 && l.now-l.lastUrgentAt >= l.times.minClaimInterval:
		l.lastUrgentAt = l.now
		out = l.sendClaims(l.urgent)
		l.urgent = l.urgent[:0]
	}
	return append(out, l.borrowTokens()...)
}

// leave tells the allocator, again and again for as long as the process lives, that it admits nothing any
// more and that nothing of its share is in use elsewhere: what it lent to others, and requests in flight.
func (l *Ledger) leave() []Action {
	if l.allocator == "" || l.now < l.lentUntil || l.now-l.lastRoundAt < l.times.renew {
		return nil
	}
	for _, i := range l.claimed {
		if l.buckets[i].inFlight > 0 {
			return nil
		}
	}
	l.lastRoundAt = l.now
	gone := leave{generation: l.cfg.Generation, name: l.cfg.Name}
	return []Action{Send{l.allocator, gone.encode(l.cfg.Fleet)}}
}

// setTable swaps the table. Shares and tokens of limits that are in both go on, by name.
func (l *Ledger) setTable(t *ratelimit.Table) {
	next := newLimits(t, l.times.drift)
	slots := make([]bucket, len(next.all))
	var listed []int32
	for i := range slots {
		if was, there := l.limits.byHash[next.all[i].hash]; there {
			l.refill(&l.buckets[was])
			slots[i] = l.buckets[was]
		}
		slots[i].filledAt, slots[i].concurrency = l.now, next.all[i].concurrency
		slots[i].fallback = next.all[i].fallback(l.slot, l.slotCoversConcurrency)
		if slots[i].claimed {
			listed = append(listed, int32(i))
		}
	}
	l.limits, l.buckets, l.urgent = next, slots, make([]int32, 0, len(slots))
	l.claimed = append(make([]int32, 0, len(slots)), listed...)
	for i := range l.buckets {
		l.refill(&l.buckets[i])
	}
}

// setSlot takes the slot that a grant tells of.
func (l *Ledger) setSlot(s Slot, openToo bool) {
	if s == l.slot && openToo == l.slotCoversConcurrency {
		return
	}
	for i := range l.buckets {
		l.refill(&l.buckets[i])
		l.buckets[i].fallback = l.limits.all[i].fallback(s, openToo)
		l.refill(&l.buckets[i])
	}
	l.slot, l.slotCoversConcurrency = s, openToo
}

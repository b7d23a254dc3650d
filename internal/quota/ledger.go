package quota

import (
	"math/rand/v2"
	"time"

	"wrenspread/ratelimit"
)

// NodeConfig is what a ledger is started with.
type NodeConfig struct {
	Fleet uint32 // the fleet's name as a hash
	Name  string // of the node, at most MostName bytes
	Life  uint64 // of the process; a later process under the name has a higher one
	Seed  uint64
}

// Ledger holds a node's share of each limit. It is pure: times are of the process's monotonic clock, from 0 or more,
// and one goroutine uses it at a time. It is the decide.Hand that requests are judged with, as of the last At or
// Handle, and allocates nothing for them.
type Ledger struct {
	cfg    NodeConfig
	t      times
	rng    *rand.Rand
	now    time.Duration
	born   time.Duration // the first time that it was told
	limits *limits
	slots  []slot  // by the hand's index
	listed []int32 // those that are claimed
	due    []int32 // those of them that wait for no round
	left   bool

	holder    string
	fence     uint64 // the highest seen
	heard     time.Duration
	sent      [64]sentClaim
	number    uint32        // of the last claim
	echo      uint32        // the highest number of a grant taken under the fence
	round     time.Duration // when all that is listed was last claimed
	lastEarly time.Duration
	seat      Seat
	openSeat  bool // it holds for limits on open requests too
	voidUntil time.Duration

	peers     []string
	asked     map[uint64]asked
	answered  map[uint64]time.Duration
	lentUntil time.Duration // of all slots
}

type sentClaim struct {
	number uint32
	fence  uint64
	at     time.Duration
}

var _ ratelimit.Tokens = (*Ledger)(nil)

// NewLedger gives a ledger that has no table, no share and no seat.
func NewLedger(cfg NodeConfig) *Ledger {
	return &Ledger{
		cfg: cfg, t: usual(), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Life)), born: -1,
		limits: newLimits(nil, 0), seat: Seat{Level: seatNone},
		asked: map[uint64]asked{}, answered: map[uint64]time.Duration{},
	}
}

// Handle takes an event and gives what is to be sent.
func (l *Ledger) Handle(now time.Duration, e Event) []Action {
	l.At(now)
	switch e := e.(type) {
	case Tick:
		return l.tick()
	case Message:
		return l.message(e.Data)
	case Table:
		l.take(e.Now)
	case Holder:
		if l.adopt(e.Fence, e.Name) && !l.left {
			return l.claims(l.listed)
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
		if g, ok := readGrant(r); ok {
			l.granted(g)
		}
	case kindHello:
		if h, ok := readHello(r); ok && l.adopt(h.fence, h.name) {
			return l.claims(l.listed)
		}
	case kindAsk:
		if a, ok := readAsk(r); ok {
			return l.hand(a)
		}
	case kindGive:
		if g, ok := readGive(r); ok {
			l.credit(g)
		}
	}
	return nil
}

// adopt takes a holder whose fence is higher than any seen.
func (l *Ledger) adopt(fence uint64, name string) bool {
	if fence <= l.fence || len(name) == 0 || len(name) > MostName {
		return false
	}
	l.fence, l.holder, l.echo = fence, name, 0
	return true
}

func (l *Ledger) tick() []Action {
	if l.left {
		return l.leave()
	}
	var out []Action
	switch {
	case l.now-l.round >= l.t.renew || l.number == 0:
		l.measure(l.now - l.round)
		l.round, l.lastEarly, l.due = l.now, l.now, l.due[:0]
		out = l.claims(l.listed)
	case len(l.due) > 0 && l.now-l.lastEarly >= l.t.early:
		l.lastEarly = l.now
		out = l.claims(l.due)
		l.due = l.due[:0]
	}
	return append(out, l.askAround()...)
}

// leave tells the holder, again and again for as long as the process lives, that it admits nothing any more and
// that nothing of its share is in use elsewhere: what it handed to others, and requests that are open.
func (l *Ledger) leave() []Action {
	if l.holder == "" || l.now < l.lentUntil || l.now-l.round < l.t.renew {
		return nil
	}
	for _, i := range l.listed {
		if l.slots[i].out > 0 {
			return nil
		}
	}
	l.round = l.now
	gone := leave{life: l.cfg.Life, name: l.cfg.Name}
	return []Action{Send{l.holder, gone.bytes(l.cfg.Fleet)}}
}

// take swaps the table. Shares and tokens of limits that are in both go on, by name.
func (l *Ledger) take(t *ratelimit.Table) {
	next := newLimits(t, l.t.drift)
	slots := make([]slot, len(next.all))
	var listed []int32
	for i := range slots {
		if was, there := l.limits.byHash[next.all[i].hash]; there {
			l.fill(&l.slots[was])
			slots[i] = l.slots[was]
		}
		slots[i].at, slots[i].open = l.now, next.all[i].open
		slots[i].safe = next.all[i].safe(l.seat, l.openSeat)
		if slots[i].listed {
			listed = append(listed, int32(i))
		}
	}
	l.limits, l.slots, l.due = next, slots, make([]int32, 0, len(slots))
	l.listed = append(make([]int32, 0, len(slots)), listed...)
	for i := range l.slots {
		l.fill(&l.slots[i])
	}
}

// sit takes the seat that a grant tells of.
func (l *Ledger) sit(s Seat, openToo bool) {
	if s == l.seat && openToo == l.openSeat {
		return
	}
	for i := range l.slots {
		l.fill(&l.slots[i])
		l.slots[i].safe = l.limits.all[i].safe(s, openToo)
		l.fill(&l.slots[i])
	}
	l.seat, l.openSeat = s, openToo
}

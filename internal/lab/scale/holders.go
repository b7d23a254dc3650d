package scale

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/quota"
	"wrenspread/ratelimit"
)

// What the pure cores of shares are played with: a holder's session as keepers have it, a datagram's way, and
// each node's wish, which is twice its even part of the limit.
const (
	holderTTL   = time.Second
	renewHolder = holderTTL / 5
	onTheWay    = time.Millisecond
	learning    = 20 * time.Millisecond // of a new holder, from the registry
	ledgerTick  = 20 * time.Millisecond
	evenPart    = 10.0 // requests a second of a node
	wished      = 2.0
	untilKilled = 15 * time.Second
	afterKilled = 10 * time.Second
)

// Holders kills the holder of shares under nodes that all want more than their part, with another one in
// wait, in the pure cores on a fake clock: one limit, clocks that run alike, no datagram lost.
func Holders(ctx context.Context, run Run, sizes []int, say func(Point)) error {
	return run.points(ctx, "holders", "nodes", sizes, nil, say, func(n int) (map[string]float64, error) {
		s, err := newShares(n)
		if err != nil {
			return nil, err
		}
		return s.lost(ctx)
	})
}

// shares is one limit, its nodes, and two processes that may hold its sharing.
type shares struct {
	now     time.Duration
	rate    float64 // of the limit, a second; its burst is as much
	nodes   map[string]*quota.Ledger
	names   []string
	holders [2]*quota.Allocator
	acting  int // which of them runs and holds
	fence   uint64
	until   time.Duration // the holder's session
	record  []quota.Slot
	queue   []parcel // by time
	table   *ratelimit.Table

	level, over float64 // of an exact bucket of the limit; the most beyond its burst
	admitted    int
	heard       map[string]bool // nodes that the acting holder has sent something
	first, all  time.Duration   // when it had sent to one of them, and to all
	work        holderWork
}

type parcel struct {
	at   time.Duration
	to   string // empty: the holder
	what quota.Event
}

// holderWork is what holders have done.
type holderWork struct {
	cpu                time.Duration
	datagrams, in, out float64
}

func newShares(n int) (*shares, error) {
	s := &shares{
		rate:  evenPart * float64(n),
		nodes: map[string]*quota.Ledger{},
		heard: map[string]bool{},
		over:  -evenPart * float64(n),
	}
	s.table = &ratelimit.Table{
		Format:  ratelimit.Format,
		Version: 1,
		Scopes:  []ratelimit.Scope{{Parent: -1, LimitCount: 1}},
	}
	s.table.Limits = []ratelimit.Limit{
		{
			Name:          s.table.ScopeName(0),
			Parent:        -1,
			Rate:          s.rate,
			Burst:         s.rate,
			Floor:         s.rate,
			Status:        429,
			Weight:        1,
			FallbackShare: 0.25,
		},
	}
	if err := s.table.Finalize(); err != nil {
		return nil, fmt.Errorf("the limit: %w", err)
	}
	for i := range s.holders {
		s.holders[i] = quota.NewAllocator(quota.AllocatorConfig{Name: fmt.Sprint("h", i)})
		s.holders[i].Handle(0, quota.TableChanged{Current: s.table})
		s.holders[i].Handle(0, quota.ExpectedProxies{Count: n})
	}
	for i := range n {
		name := fmt.Sprintf("n%04d", i)
		l := quota.NewLedger(quota.LedgerConfig{Name: name, Generation: 1, Seed: uint64(i + 1)})
		l.Handle(0, quota.TableChanged{Current: s.table})
		s.nodes[name], s.names = l, append(s.names, name)
	}
	s.take(0)
	return s, nil
}

// take gives a process the lease, shows it the record as it is, and notifies the nodes of the holder.
func (s *shares) take(which int) {
	s.acting, s.fence, s.heard, s.first, s.all = which, s.fence+1, map[string]bool{}, 0, 0
	s.renew()
	s.tell(quota.RecordRead{Token: s.fence, Slots: s.record})
	for _, name := range s.names {
		s.post(learning, name, quota.AllocatorKnown{Name: fmt.Sprint("h", which), Token: s.fence})
	}
}

func (s *shares) renew() {
	s.until = s.now + holderTTL
	s.tell(quota.LeaseHeld{Token: s.fence, Until: s.now + holderTTL*99/100})
}

func (s *shares) post(way time.Duration, to string, what quota.Event) {
	p := parcel{s.now + way, to, what}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].at > p.at {
		at--
	}
	s.queue = append(s.queue, parcel{})
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = p
}

// tell has the acting holder take an event, and carries out what comes of it.
func (s *shares) tell(e quota.Event) {
	if s.acting < 0 {
		return
	}
	for _, a := range s.holders[s.acting].Handle(s.now, e) {
		switch a := a.(type) {
		case quota.Send:
			s.work.out += float64(len(a.Data))
			s.post(onTheWay, a.To, quota.Message{Data: a.Data})
			if s.heard[a.To] = true; s.first == 0 {
				s.first = s.now
			}
			if len(s.heard) == len(s.names) && s.all == 0 {
				s.all = s.now
			}
		case quota.WriteRecord:
			s.record = a.Slots
			s.post(learning, "", quota.RecordRead(a))
		}
	}
}

// run plays on, by milliseconds.
func (s *shares) run(ctx context.Context, end time.Duration) error {
	for ; s.now < end; s.now += time.Millisecond {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		due := 0
		for due < len(s.queue) && s.queue[due].at <= s.now {
			due++
		}
		arrived := s.queue[:due:due]
		s.queue = s.queue[due:]
		began := fleet.OwnCPU()
		for _, p := range arrived {
			if m, is := p.what.(quota.Message); p.to == "" {
				if is && s.acting >= 0 {
					s.work.datagrams, s.work.in = s.work.datagrams+1, s.work.in+float64(len(m.Data))
				}
				s.tell(p.what)
			}
		}
		if s.now%ledgerTick == 0 {
			s.tell(quota.Tick{})
		}
		s.work.cpu += fleet.OwnCPU() - began
		for _, p := range arrived {
			if l := s.nodes[p.to]; l != nil {
				s.carry(l.Handle(s.now, p.what))
			}
		}
		if s.acting >= 0 && s.now%renewHolder == 0 {
			s.renew()
		} else if s.acting < 0 && s.now >= s.until {
			s.take(1)
		}
		s.serve()
	}
	return nil
}

// serve has those nodes tick whose turn it is, and take what they want.
func (s *shares) serve() {
	turns := int(ledgerTick / time.Millisecond)
	s.level = max(0, s.level-s.rate/1000)
	for i := int(s.now/time.Millisecond) % turns; i < len(s.names); i += turns {
		l := s.nodes[s.names[i]]
		s.carry(l.Handle(s.now, quota.Tick{}))
		l.AdvanceTo(s.now)
		turn := int(s.now / ledgerTick)
		per := wished * evenPart * ledgerTick.Seconds() // requests a turn
		for range int(per*float64(turn+1)) - int(per*float64(turn)) {
			if l.Available(0) < 1 {
				l.Rejected(0, 1)
				continue
			}
			l.Take(0, 1)
			s.admitted++
			s.level++
			s.over = max(s.over, s.level-s.rate)
		}
	}
}

func (s *shares) carry(actions []quota.Action) {
	for _, a := range actions {
		if send, is := a.(quota.Send); is {
			to := send.To
			if s.nodes[to] == nil {
				to = "" // a holder: whoever holds, as one that is gone hears nothing
			}
			s.post(onTheWay, to, quota.Message{Data: send.Data})
		}
	}
}

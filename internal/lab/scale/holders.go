package scale

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/quota"
	"wrenspread/ratelimit"
)

// Parameters of the measurement on the pure cores of the quota's ledgers and allocators: the length of a
// holder's session as keepers have it, the delay of a datagram, and each node's demand, which is twice its
// even part of the limit.
const (
	holderTTL     = time.Second
	renewHolder   = holderTTL / 5
	datagramDelay = time.Millisecond
	// registryDelay is the time until nodes learn of a new holder, and a holder of its record, from the
	// registry.
	registryDelay  = 20 * time.Millisecond
	ledgerTick     = 20 * time.Millisecond
	fairRate       = 10.0 // a node's even part of the limit, requests a second
	demandFactor   = 2.0  // demand of a node, in multiples of fairRate
	timeBeforeKill = 15 * time.Second
	timeAfterKill  = 10 * time.Second
)

// Holders kills the holder of shares while all nodes demand more than their part and a second holder waits.
// It runs on the pure cores and a fake clock, with one limit, clocks of the same speed and no lost
// datagrams.
func Holders(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(ctx, "holders", "nodes", sizes, nil, report, func(n int) (map[string]float64, error) {
		s, err := newShares(n)
		if err != nil {
			return nil, err
		}
		return s.measureKill(ctx)
	})
}

// shares is one limit, its nodes, and two processes that may hold the lease on sharing it.
type shares struct {
	now        time.Duration
	rate       float64 // of the limit, requests a second; the burst has the same number
	nodes      map[string]*quota.Ledger
	names      []string
	holders    [2]*quota.Allocator
	acting     int // index of the holder that runs and has the lease; negative: none
	fence      uint64
	sessionEnd time.Duration // end of the holder's session
	record     []quota.Slot
	queue      []delivery // sorted by due time
	table      *ratelimit.Table

	level, overBurst   float64 // level of an exact bucket of the limit; its maximum less the burst
	admitted           int
	contacted          map[string]bool // nodes to which the acting holder has sent something
	sentFirst, sentAll time.Duration   // when the acting holder had sent to the first node, and to all
	work               holderWork
}

// delivery is an event on its way to a node or to the holder.
type delivery struct {
	due   time.Duration
	to    string // name of the node; empty: the holder
	event quota.Event
}

// holderWork is the processor time, the datagrams received, and the bytes in and out of holders.
type holderWork struct {
	cpu                time.Duration
	datagrams, in, out float64
}

func newShares(n int) (*shares, error) {
	s := &shares{
		rate:      fairRate * float64(n),
		nodes:     map[string]*quota.Ledger{},
		contacted: map[string]bool{},
		overBurst: -fairRate * float64(n),
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
		return nil, fmt.Errorf("finalize the table of the limit: %w", err)
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
	s.acquire(0)
	return s, nil
}

// acquire gives a process the lease, has it read the present record, and notifies the nodes of the new
// holder.
func (s *shares) acquire(which int) {
	s.acting, s.fence, s.contacted, s.sentFirst, s.sentAll = which, s.fence+1, map[string]bool{}, 0, 0
	s.renew()
	s.notify(quota.RecordRead{Token: s.fence, Slots: s.record})
	for _, name := range s.names {
		s.schedule(registryDelay, name, quota.AllocatorKnown{Name: fmt.Sprint("h", which), Token: s.fence})
	}
}

// renew renews the holder's session and lease.
func (s *shares) renew() {
	s.sessionEnd = s.now + holderTTL
	s.notify(quota.LeaseHeld{Token: s.fence, Until: s.now + holderTTL*99/100})
}

// schedule queues an event that arrives after a delay.
func (s *shares) schedule(way time.Duration, to string, what quota.Event) {
	p := delivery{s.now + way, to, what}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].due > p.due {
		at--
	}
	s.queue = append(s.queue, delivery{})
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = p
}

// notify has the acting holder handle an event, and carries out the resulting actions.
func (s *shares) notify(e quota.Event) {
	if s.acting < 0 {
		return
	}
	for _, a := range s.holders[s.acting].Handle(s.now, e) {
		switch a := a.(type) {
		case quota.Send:
			s.work.out += float64(len(a.Data))
			s.schedule(datagramDelay, a.To, quota.Message{Data: a.Data})
			if s.contacted[a.To] = true; s.sentFirst == 0 {
				s.sentFirst = s.now
			}
			if len(s.contacted) == len(s.names) && s.sentAll == 0 {
				s.sentAll = s.now
			}
		case quota.WriteRecord:
			s.record = a.Slots
			s.schedule(registryDelay, "", quota.RecordRead(a))
		}
	}
}

// run advances the clock to end, in steps of a millisecond.
func (s *shares) run(ctx context.Context, end time.Duration) error {
	for ; s.now < end; s.now += time.Millisecond {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		due := 0
		for due < len(s.queue) && s.queue[due].due <= s.now {
			due++
		}
		arrived := s.queue[:due:due]
		s.queue = s.queue[due:]
		began := fleet.OwnCPU()
		for _, p := range arrived {
			if m, is := p.event.(quota.Message); p.to == "" {
				if is && s.acting >= 0 {
					s.work.datagrams, s.work.in = s.work.datagrams+1, s.work.in+float64(len(m.Data))
				}
				s.notify(p.event)
			}
		}
		if s.now%ledgerTick == 0 {
			s.notify(quota.Tick{})
		}
		s.work.cpu += fleet.OwnCPU() - began
		for _, p := range arrived {
			if l := s.nodes[p.to]; l != nil {
				s.send(l.Handle(s.now, p.event))
			}
		}
		if s.acting >= 0 && s.now%renewHolder == 0 {
			s.renew()
		} else if s.acting < 0 && s.now >= s.sessionEnd {
			s.acquire(1)
		}
		s.serve()
	}
	return nil
}

// serve has the nodes whose turn it is tick, and take as many requests as they demand.
func (s *shares) serve() {
	turns := int(ledgerTick / time.Millisecond)
	s.level = max(0, s.level-s.rate/1000)
	for i := int(s.now/time.Millisecond) % turns; i < len(s.names); i += turns {
		l := s.nodes[s.names[i]]
		s.send(l.Handle(s.now, quota.Tick{}))
		l.AdvanceTo(s.now)
		turn := int(s.now / ledgerTick)
		per := demandFactor * fairRate * ledgerTick.Seconds() // requests of a node per turn
		for range int(per*float64(turn+1)) - int(per*float64(turn)) {
			if l.Available(0) < 1 {
				l.Rejected(0, 1)
				continue
			}
			l.Take(0, 1)
			s.admitted++
			s.level++
			s.overBurst = max(s.overBurst, s.level-s.rate)
		}
	}
}

// send queues the datagrams that a node sends.
func (s *shares) send(actions []quota.Action) {
	for _, a := range actions {
		if send, is := a.(quota.Send); is {
			to := send.To
			if s.nodes[to] == nil {
				to = "" // to a holder: the acting one receives it, as a killed holder receives nothing
			}
			s.schedule(datagramDelay, to, quota.Message{Data: send.Data})
		}
	}
}

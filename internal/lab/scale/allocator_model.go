package scale

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/quota"
	"wrenspread/ratelimit"
)

// Parameters of the measurement, which runs on the pure cores of the quota's ledgers and allocators.
const (
	// allocatorSessionTTL is the time to live of an allocator's session, as the quota keepers have it.
	allocatorSessionTTL = time.Second
	renewalInterval     = allocatorSessionTTL / 5
	datagramDelay       = time.Millisecond
	// registryDelay is the time until nodes learn from the registry of a new active allocator, and an allocator
	// of its written record.
	registryDelay  = 20 * time.Millisecond
	ledgerTick     = 20 * time.Millisecond
	evenRate       = 10.0 // a node's share of the limit if all shares are equal, requests a second
	demandFactor   = 2.0  // demand of a node, in multiples of evenRate
	timeBeforeKill = 15 * time.Second
	timeAfterKill  = 10 * time.Second
)

// AllocatorFailover kills the active allocator of a limit's shares while all nodes demand more than their
// even share and a second allocator waits for the lease. It runs on the pure cores and a fake clock, with one
// limit, clocks of the same speed and no lost datagrams.
func AllocatorFailover(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(ctx, "holders", "nodes", sizes, nil, report, func(nodes int) (map[string]float64, error) {
		s, err := newAllocatorModel(nodes)
		if err != nil {
			return nil, err
		}
		return s.measureFailover(ctx)
	})
}

// allocatorModel is one limit, the nodes that share it, and two allocators, of which the one with the lease
// is active.
type allocatorModel struct {
	now          time.Duration
	limitRate    float64 // rate of the limit, requests a second; its burst is as many requests
	nodes        map[string]*quota.Ledger
	names        []string
	allocators   [2]*quota.Allocator
	active       int // index of the allocator that has the lease; negative: none
	fencingToken uint64
	sessionEnd   time.Duration // end of the active allocator's session
	storedSlots  []quota.Slot
	queue        []delivery // sorted by due time
	table        *ratelimit.Table

	level, overBurst   float64 // level of an exact leaky bucket of the limit; its maximum less the burst
	admitted           int
	contacted          map[string]bool // nodes to which the active allocator has sent a datagram
	sentFirst, sentAll time.Duration   // when the active allocator had sent to the first node, and to all nodes
	activeWork         allocatorWork
}

// delivery is an event on its way to a node or to the active allocator.
type delivery struct {
	due   time.Duration
	to    string // name of the node; empty: the active allocator
	event quota.Event
}

// allocatorWork counts the processor time, the received datagrams, and the received and sent bytes of the
// active allocator.
type allocatorWork struct {
	cpu                time.Duration
	datagrams, in, out float64
}

func newAllocatorModel(nodes int) (*allocatorModel, error) {
	s := &allocatorModel{
		limitRate: evenRate * float64(nodes),
		nodes:     map[string]*quota.Ledger{},
		contacted: map[string]bool{},
		overBurst: -evenRate * float64(nodes),
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
			Rate:          s.limitRate,
			Burst:         s.limitRate,
			Floor:         s.limitRate,
			Status:        429,
			Weight:        1,
			FallbackShare: 0.25,
		},
	}
	if err := s.table.Finalize(); err != nil {
		return nil, fmt.Errorf("finalize the table of the limit: %w", err)
	}
	for i := range s.allocators {
		s.allocators[i] = quota.NewAllocator(quota.AllocatorConfig{Name: fmt.Sprint("h", i)})
		s.allocators[i].Handle(0, quota.TableChanged{Current: s.table})
		s.allocators[i].Handle(0, quota.ExpectedProxies{Count: nodes})
	}
	for i := range nodes {
		name := fmt.Sprintf("n%04d", i)
		l := quota.NewLedger(quota.LedgerConfig{Name: name, Generation: 1, Seed: uint64(i + 1)})
		l.Handle(0, quota.TableChanged{Current: s.table})
		s.nodes[name], s.names = l, append(s.names, name)
	}
	s.acquire(0)
	return s, nil
}

// acquire gives the lease to the allocator with an index, delivers the stored record to it, and notifies the
// nodes of the new active allocator.
func (s *allocatorModel) acquire(index int) {
	s.active, s.fencingToken, s.contacted, s.sentFirst, s.sentAll =
		index, s.fencingToken+1, map[string]bool{}, 0, 0
	s.renew()
	s.handle(quota.RecordRead{Token: s.fencingToken, Slots: s.storedSlots})
	for _, name := range s.names {
		s.schedule(registryDelay, name, quota.AllocatorKnown{Name: fmt.Sprint("h", index), Token: s.fencingToken})
	}
}

// renew renews the active allocator's session and lease.
func (s *allocatorModel) renew() {
	s.sessionEnd = s.now + allocatorSessionTTL
	s.handle(quota.LeaseHeld{Token: s.fencingToken, Until: s.now + allocatorSessionTTL*99/100})
}

// schedule queues an event that arrives at the named node, or at the active allocator, after a delay.
func (s *allocatorModel) schedule(delay time.Duration, to string, event quota.Event) {
	d := delivery{s.now + delay, to, event}
	at := len(s.queue)
	for at > 0 && s.queue[at-1].due > d.due {
		at--
	}
	s.queue = append(s.queue, delivery{})
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = d
}

// handle has the active allocator handle an event, and carries out the resulting actions.
func (s *allocatorModel) handle(e quota.Event) {
	if s.active < 0 {
		return
	}
	for _, a := range s.allocators[s.active].Handle(s.now, e) {
		switch a := a.(type) {
		case quota.Send:
			s.activeWork.out += float64(len(a.Data))
			s.schedule(datagramDelay, a.To, quota.Message{Data: a.Data})
			if s.contacted[a.To] = true; s.sentFirst == 0 {
				s.sentFirst = s.now
			}
			if len(s.contacted) == len(s.names) && s.sentAll == 0 {
				s.sentAll = s.now
			}
		case quota.WriteRecord:
			s.storedSlots = a.Slots
			s.schedule(registryDelay, "", quota.RecordRead(a))
		}
	}
}

// run advances the clock to the time end, in steps of a millisecond.
func (s *allocatorModel) run(ctx context.Context, end time.Duration) error {
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
		for _, d := range arrived {
			if m, is := d.event.(quota.Message); d.to == "" {
				if is && s.active >= 0 {
					s.activeWork.datagrams, s.activeWork.in = s.activeWork.datagrams+1, s.activeWork.in+float64(len(m.Data))
				}
				s.handle(d.event)
			}
		}
		if s.now%ledgerTick == 0 {
			s.handle(quota.Tick{})
		}
		s.activeWork.cpu += fleet.OwnCPU() - began
		for _, d := range arrived {
			if l := s.nodes[d.to]; l != nil {
				s.send(l.Handle(s.now, d.event))
			}
		}
		if s.active >= 0 && s.now%renewalInterval == 0 {
			s.renew()
		} else if s.active < 0 && s.now >= s.sessionEnd {
			s.acquire(1)
		}
		s.serve()
	}
	return nil
}

// serve ticks the nodes that are due in this millisecond, and has them admit requests up to their demand and
// their shares.
func (s *allocatorModel) serve() {
	phases := int(ledgerTick / time.Millisecond)
	s.level = max(0, s.level-s.limitRate/1000)
	for i := int(s.now/time.Millisecond) % phases; i < len(s.names); i += phases {
		l := s.nodes[s.names[i]]
		s.send(l.Handle(s.now, quota.Tick{}))
		l.AdvanceTo(s.now)
		tick := int(s.now / ledgerTick)
		perTick := demandFactor * evenRate * ledgerTick.Seconds() // requests of a node in a ledgerTick
		for range int(perTick*float64(tick+1)) - int(perTick*float64(tick)) {
			if l.Available(0) < 1 {
				l.Rejected(0, 1)
				continue
			}
			l.Take(0, 1)
			s.admitted++
			s.level++
			s.overBurst = max(s.overBurst, s.level-s.limitRate)
		}
	}
}

// send queues the datagrams among a node's actions.
func (s *allocatorModel) send(actions []quota.Action) {
	for _, a := range actions {
		if send, is := a.(quota.Send); is {
			to := send.To
			if s.nodes[to] == nil {
				to = "" // to an allocator: the active one receives it, as a killed allocator receives nothing
			}
			s.schedule(datagramDelay, to, quota.Message{Data: send.Data})
		}
	}
}

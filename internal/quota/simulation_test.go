package quota

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"wrenspread/ratelimit"
)

// simulation runs ledgers, allocators and the registry on a fake clock over a random network.
type simulation struct {
	rng           *rand.Rand
	times         times
	now           time.Duration // true time
	queue         callQueue
	seq           int
	table         *ratelimit.Table
	proxies       map[string]*proxy
	names         []string
	hosts         []*host // processes that may hold the lease
	registry      registry
	cutLinks      map[[2]string]bool // links that lose all datagrams, by sender and receiver
	lossRate      float64
	duplicateRate float64
	meanDelay     time.Duration
	checks        []*boundCheck
	invariant     invariant
	sentDatagrams map[string]int // datagrams by sender
	sentBytes     map[string]int
	hooks         hooks
}

// hooks break the cores on purpose.
type hooks struct {
	leaseAcquired        func(h *host)                     // after a host has acquired the lease
	beforeMessage        func(n *proxy, data []byte)       // before a proxy handles a datagram
	afterMessage         func(n *proxy, data []byte)       // after a proxy has handled a datagram
	allocatorTick        func(sim *simulation, h *host)    // after a tick of a host that may grant
	beforeAllocatorKnown func(n *proxy, e *AllocatorKnown) // before a ledger handles the event
}

// scheduledCall is a call at a time of the simulation. seq orders the calls of one time.
type scheduledCall struct {
	at   time.Duration
	seq  int
	call func()
}

type callQueue []scheduledCall

func (e callQueue) Len() int { return len(e) }
func (e callQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e callQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *callQueue) Push(x any)   { *e = append(*e, x.(scheduledCall)) }
func (e *callQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(seed uint64, drift float64, table *ratelimit.Table) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), times: defaultTimes(), table: table, proxies: map[string]*proxy{},
		cutLinks: map[[2]string]bool{}, meanDelay: time.Millisecond, sentDatagrams: map[string]int{}, sentBytes: map[string]int{},
	}
	sim.times.drift = drift
	for i := range table.Limits {
		sim.checks = append(sim.checks, newBoundCheck(table, i))
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledCall{sim.now + max(d, 0), sim.seq, do})
}

// run runs the simulation for d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		h := heap.Pop(&sim.queue).(scheduledCall)
		sim.now = h.at
		h.call()
	}
	sim.now = end
}

// send delivers a datagram after a random delay, or loses it, or delivers it twice.
func (sim *simulation) send(from, to string, data []byte) {
	if len(data) > MaxDatagram {
		panic("datagram too long")
	}
	sim.sentDatagrams[from]++
	sim.sentBytes[from] += len(data)
	copies := 1
	if sim.rng.Float64() < sim.duplicateRate {
		copies = 2
	}
	for range copies {
		if sim.rng.Float64() < sim.lossRate {
			continue
		}
		sim.after(time.Duration(sim.rng.ExpFloat64()*float64(sim.meanDelay)), func() {
			if !sim.cutLinks[[2]string{from, to}] {
				sim.deliver(to, data)
			}
		})
	}
}

func (sim *simulation) deliver(to string, data []byte) {
	if p := sim.proxies[to]; p != nil {
		p.deliver(data)
	}
	for _, h := range sim.hosts {
		if h.name == to {
			h.handle(Message{data})
		}
	}
}

// setCut cuts or restores the links between two sides.
func (sim *simulation) setCut(cut bool, a, b []string) {
	for _, x := range a {
		for _, y := range b {
			sim.cutLinks[[2]string{x, y}], sim.cutLinks[[2]string{y, x}] = cut, cut
		}
	}
}

// clock is a process's monotonic clock, whose rate is off by at most the drift.
type clock struct {
	startedAt time.Duration // true time at the start
	rate      float64
	offset    time.Duration // the clock's time at the start
	frozenAt  time.Duration // if not 0, the clock always shows this time, which no real clock may do
}

func (sim *simulation) clock() clock {
	off := min(max(4*sim.rng.Float64()-2, -1), 1) // half of the clocks have the largest error
	return clock{startedAt: sim.now, rate: 1 + sim.times.drift*off, offset: time.Duration(sim.rng.Int64N(int64(time.Hour)))}
}

func (c *clock) at(now time.Duration) time.Duration {
	if c.frozenAt != 0 {
		return c.frozenAt
	}
	return c.offset + time.Duration(float64(now-c.startedAt)*c.rate)
}

// tableOf returns a table with the given limits, each of one tenant. They are within the outer limit, which
// is of the fleet, unless outer.Rate is 0.
func tableOf(outer ratelimit.Limit, each ...ratelimit.Limit) *ratelimit.Table {
	t := &ratelimit.Table{Format: ratelimit.Format, Version: 1, Scopes: []ratelimit.Scope{{Parent: -1}}}
	parent := -1
	add := func(l ratelimit.Limit, part int) {
		l.Scope, l.Status = part, 429
		if l.Weight == 0 {
			l.Weight = 1
		}
		if l.FallbackShare == 0 {
			l.FallbackShare = 0.25
		}
		if !l.Borrow {
			l.Floor = l.Rate
		}
		l.Name = t.ScopeName(part) + map[ratelimit.Unit]string{ratelimit.UnitConcurrency: ":open", ratelimit.UnitWork: ":work"}[l.Unit]
		t.Limits = append(t.Limits, l)
		t.Scopes[part].LimitCount++
	}
	if outer.Rate > 0 {
		outer.Parent, parent = -1, 0
		add(outer, 0)
	}
	for i, l := range each {
		t.Scopes = append(t.Scopes, ratelimit.Scope{
			Parent: 0, Attribute: ratelimit.AttributeTenant, Value: "b" + string(rune('0'+i/1000%10)) + string(rune('0'+i/100%10)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10)),
			FirstLimit: len(t.Limits),
		})
		l.Parent, l.Attribute = -1, ratelimit.AttributeTenant
		if l.Unit == outer.Unit {
			l.Parent = parent
		}
		add(l, len(t.Scopes)-1)
	}
	if err := t.Finalize(); err != nil {
		panic(err)
	}
	return t
}

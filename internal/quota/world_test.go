package quota

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"wrenspread/ratelimit"
)

// world plays ledgers, holders and the registry on a fake clock over a drawn network.
type world struct {
	rng    *rand.Rand
	t      times
	now    time.Duration // true time
	queue  events
	seq    int
	table  *ratelimit.Table
	nodes  map[string]*node
	names  []string
	hosts  []*host // processes that may hold the lease
	svc    service
	cut    map[[2]string]bool
	loss   float64
	dup    float64
	delay  time.Duration // mean
	checks []*check
	inv    invariant
	sent   map[string]int // datagrams by sender
	bytes  map[string]int
	hook   hooks
}

// hooks break the cores on purpose.
type hooks struct {
	holder  func(h *host)                    // after it begins to hold
	message func(n *node, data []byte)       // before it is handled
	after   func(n *node, data []byte)       // and after
	tick    func(w *world, h *host)          // of an acting holder
	told    func(n *node, e *AllocatorKnown) // before the ledger is told
}

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type events []happening

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(happening)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(seed uint64, drift float64, table *ratelimit.Table) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), t: defaultTimes(), table: table, nodes: map[string]*node{},
		cut: map[[2]string]bool{}, delay: time.Millisecond, sent: map[string]int{}, bytes: map[string]int{},
	}
	w.t.drift = drift
	for i := range table.Limits {
		w.checks = append(w.checks, newCheck(table, i))
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, happening{w.now + max(d, 0), w.seq, do})
}

// run plays on for d.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		h := heap.Pop(&w.queue).(happening)
		w.now = h.at
		h.do()
	}
	w.now = end
}

// send carries a datagram, or loses it, or carries it twice.
func (w *world) send(from, to string, data []byte) {
	if len(data) > MaxDatagram {
		panic("datagram too long")
	}
	w.sent[from]++
	w.bytes[from] += len(data)
	copies := 1
	if w.rng.Float64() < w.dup {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.loss {
			continue
		}
		w.after(time.Duration(w.rng.ExpFloat64()*float64(w.delay)), func() {
			if !w.cut[[2]string{from, to}] {
				w.arrive(to, data)
			}
		})
	}
}

func (w *world) arrive(to string, data []byte) {
	if n := w.nodes[to]; n != nil {
		n.arrive(data)
	}
	for _, h := range w.hosts {
		if h.name == to {
			h.handle(Message{data})
		}
	}
}

// part cuts or heals the links between two sides.
func (w *world) part(cut bool, a, b []string) {
	for _, x := range a {
		for _, y := range b {
			w.cut[[2]string{x, y}], w.cut[[2]string{y, x}] = cut, cut
		}
	}
}

// clock is a process's monotonic time: its rate is off by the drift at most.
type clock struct {
	born   time.Duration
	rate   float64
	start  time.Duration
	frozen time.Duration // not zero: it stands still there, which no clock may do
}

func (w *world) clock() clock {
	off := min(max(4*w.rng.Float64()-2, -1), 1) // every second one as far off as may be
	return clock{born: w.now, rate: 1 + w.t.drift*off, start: time.Duration(w.rng.Int64N(int64(time.Hour)))}
}

func (c *clock) at(now time.Duration) time.Duration {
	if c.frozen != 0 {
		return c.frozen
	}
	return c.start + time.Duration(float64(now-c.born)*c.rate)
}

// books is a table of a fleet's limit, if fleet.Rate is not 0, and books within it.
func books(fleet ratelimit.Limit, each ...ratelimit.Limit) *ratelimit.Table {
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
	if fleet.Rate > 0 {
		fleet.Parent, parent = -1, 0
		add(fleet, 0)
	}
	for i, l := range each {
		t.Scopes = append(t.Scopes, ratelimit.Scope{
			Parent: 0, Attribute: ratelimit.AttributeTenant, Value: "b" + string(rune('0'+i/1000%10)) + string(rune('0'+i/100%10)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10)),
			FirstLimit: len(t.Limits),
		})
		l.Parent, l.Attribute = -1, ratelimit.AttributeTenant
		if l.Unit == fleet.Unit {
			l.Parent = parent
		}
		add(l, len(t.Scopes)-1)
	}
	if err := t.Finalize(); err != nil {
		panic(err)
	}
	return t
}

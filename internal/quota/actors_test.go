package quota

import (
	"slices"
	"time"

	"wrenspread/ratelimit"
)

// proxy is a process with a ledger, and the clients that come to it.
type node struct {
	w      *world
	name   string
	life   uint64
	clock  clock
	led    *Ledger
	paused bool
	queued [][]byte
	load   map[int]float64 // requests a second, by limit
	open   map[int]int     // requests
	gen    int             // of its process: what an earlier one had planned is void
}

const tickEvery = 20 * time.Millisecond

func (w *world) node(name string) *node {
	n := w.nodes[name]
	if n == nil {
		n = &node{w: w, name: name, load: map[int]float64{}, open: map[int]int{}}
		w.nodes[name] = n
		w.names = append(w.names, name)
		slices.Sort(w.names)
	}
	n.start()
	return n
}

// start begins a process that remembers nothing.
func (n *node) start() {
	n.crash()
	n.life++
	n.clock, n.paused, n.queued = n.w.clock(), false, nil
	n.led = NewLedger(LedgerConfig{Fleet: 1, Name: n.name, Generation: n.life, Seed: n.w.rng.Uint64()})
	n.led.times = n.w.t
	n.handle(TableChanged{Current: n.w.table})
	for _, name := range n.w.names {
		n.w.nodes[name].handle(Peers{slices.DeleteFunc(slices.Clone(n.w.names), func(o string) bool { return o == name })})
	}
	n.tick(n.gen)
	n.w.svc.watch(n)
}

func (n *node) crash() {
	n.gen++
	n.w.mourn(n)
	n.led = nil
	for i, open := range n.open {
		n.w.checks[i].level -= float64(open)
	}
	clear(n.open)
}

func (n *node) tick(gen int) {
	if n.gen != gen {
		return
	}
	n.handle(Tick{})
	n.w.after(tickEvery, func() { n.tick(gen) })
}

func (n *node) handle(e Event) {
	if n.led == nil || n.paused {
		return
	}
	for _, a := range n.led.Handle(n.clock.at(n.w.now), e) {
		if s, ok := a.(Send); ok {
			n.w.send(n.name, s.To, s.Data)
		}
	}
}

func (n *node) arrive(data []byte) {
	switch {
	case n.led == nil:
	case n.paused:
		n.queued = append(n.queued, data)
	default:
		if n.w.hook.message != nil {
			n.w.hook.message(n, data)
		}
		n.handle(Message{data})
		if n.w.hook.after != nil {
			n.w.hook.after(n, data)
		}
	}
}

// wake goes on after a pause with all that came meanwhile.
func (n *node) wake() {
	n.paused = false
	for _, d := range n.queued {
		n.arrive(d)
	}
	n.queued = nil
}

// want sets the load of a limit: requests a second, at drawn times.
func (n *node) want(limit int, load float64) {
	idle := n.load[limit] == 0
	n.load[limit] = load
	if idle && load > 0 {
		n.w.clients(n, limit)
	}
}

func (w *world) clients(n *node, limit int) {
	if n.load[limit] == 0 {
		return
	}
	if n.led != nil && !n.paused {
		n.request(limit)
	}
	w.after(time.Duration(w.rng.ExpFloat64()/n.load[limit]*float64(time.Second)), func() { w.clients(n, limit) })
}

// request is judged by the table, as on a proxy.
func (n *node) request(limit int) {
	l := n.w.table.Limits
	n.led.AdvanceTo(n.clock.at(n.w.now))
	v := n.w.table.Admit(ratelimit.Request{Tenant: n.w.table.Scopes[l[limit].Scope].Value}, n.led)
	if !v.Admitted {
		n.w.checks[limit].refused++
		return
	}
	n.w.checks[limit].admitted(n.w.now)
	if first := n.w.table.Scopes[0]; first.LimitCount > 0 && limit != first.FirstLimit {
		n.w.checks[first.FirstLimit].admitted(n.w.now)
	}
	if gen := n.gen; l[limit].Unit == ratelimit.UnitConcurrency {
		n.open[limit]++
		n.w.after(time.Duration(n.w.rng.Int64N(int64(time.Second))), func() { n.end(limit, v.Reservation, gen) })
	}
}

// end gives an open request back, as soon as the process runs.
func (n *node) end(limit int, held ratelimit.Reservation, gen int) {
	switch {
	case n.gen != gen:
	case n.paused:
		n.w.after(tickEvery, func() { n.end(limit, held, gen) })
	default:
		n.open[limit]--
		n.w.checks[limit].level--
		held.Release(n.led.AdvanceTo(n.clock.at(n.w.now)))
	}
}

// host is a process that holds the lease when the service gives it, and its session with the service.
type host struct {
	w      *world
	name   string
	clock  clock
	core   *Allocator
	fence  uint64 // the lease's, as far as it knows
	dead   bool
	paused bool
	alone  bool // cut off from the service
	queued []Event
}

func (w *world) host(name string) *host {
	h := &host{w: w, name: name}
	w.hosts = append(w.hosts, h)
	h.start()
	h.tick()
	return h
}

func (h *host) start() {
	h.dead, h.paused, h.fence, h.queued = false, false, 0, nil
	h.clock = h.w.clock()
	h.core = NewAllocator(AllocatorConfig{Fleet: 1, Name: h.name})
	h.core.times = h.w.t
	h.handle(TableChanged{Current: h.w.table})
	h.handle(ExpectedProxies{len(h.w.nodes)})
}

func (h *host) tick() {
	h.handle(Tick{})
	if h.w.hook.tick != nil && !h.dead && !h.paused && h.core.mayGrant() {
		h.w.hook.tick(h.w, h)
	}
	h.w.after(tickEvery, h.tick)
}

func (h *host) handle(e Event) {
	switch {
	case h.dead:
		return
	case h.paused:
		h.queued = append(h.queued, e)
		return
	}
	for _, a := range h.core.Handle(h.clock.at(h.w.now), e) {
		switch a := a.(type) {
		case Send:
			h.w.send(h.name, a.To, a.Data)
		case WriteRecord:
			h.w.svc.write(h, a)
		}
	}
}

func (h *host) wake() {
	h.paused = false
	queued := h.queued
	h.queued = nil
	for _, e := range queued {
		if _, tick := e.(Tick); !tick {
			h.handle(e)
		}
	}
}

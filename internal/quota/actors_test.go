package quota

import (
	"slices"
	"time"

	"wrenspread/ratelimit"
)

// proxy is a proxy with its ledger, and the load of its clients.
type proxy struct {
	simulation    *simulation
	name          string
	generation    uint64
	clock         clock
	ledger        *Ledger
	paused        bool
	queued        [][]byte
	requestRates  map[int]float64 // requests a second, by limit
	inFlight      map[int]int     // requests in flight, by limit
	processNumber int             // number of the proxy's process: calls that an earlier process scheduled are ignored
}

const tickEvery = 20 * time.Millisecond

// startProxy starts the proxy with the name, or restarts it.
func (w *simulation) startProxy(name string) *proxy {
	n := w.proxies[name]
	if n == nil {
		n = &proxy{simulation: w, name: name, requestRates: map[int]float64{}, inFlight: map[int]int{}}
		w.proxies[name] = n
		w.names = append(w.names, name)
		slices.Sort(w.names)
	}
	n.start()
	return n
}

// start starts a new process, without any state of the previous one.
func (n *proxy) start() {
	n.crash()
	n.generation++
	n.clock, n.paused, n.queued = n.simulation.clock(), false, nil
	n.ledger = NewLedger(LedgerConfig{Fleet: 1, Name: n.name, Generation: n.generation, Seed: n.simulation.rng.Uint64()})
	n.ledger.times = n.simulation.times
	n.handle(TableChanged{Current: n.simulation.table})
	for _, name := range n.simulation.names {
		n.simulation.proxies[name].handle(Peers{slices.DeleteFunc(slices.Clone(n.simulation.names), func(o string) bool { return o == name })})
	}
	n.tick(n.processNumber)
	n.simulation.registry.watch(n)
}

func (n *proxy) crash() {
	n.processNumber++
	n.simulation.recordLentCapacity(n)
	n.ledger = nil
	for i, open := range n.inFlight {
		n.simulation.checks[i].level -= float64(open)
	}
	clear(n.inFlight)
}

func (n *proxy) tick(gen int) {
	if n.processNumber != gen {
		return
	}
	n.handle(Tick{})
	n.simulation.after(tickEvery, func() { n.tick(gen) })
}

func (n *proxy) handle(e Event) {
	if n.ledger == nil || n.paused {
		return
	}
	for _, a := range n.ledger.Handle(n.clock.at(n.simulation.now), e) {
		if s, ok := a.(Send); ok {
			n.simulation.send(n.name, s.To, s.Data)
		}
	}
}

func (n *proxy) deliver(data []byte) {
	switch {
	case n.ledger == nil:
	case n.paused:
		n.queued = append(n.queued, data)
	default:
		if n.simulation.hooks.beforeMessage != nil {
			n.simulation.hooks.beforeMessage(n, data)
		}
		n.handle(Message{data})
		if n.simulation.hooks.afterMessage != nil {
			n.simulation.hooks.afterMessage(n, data)
		}
	}
}

// resume ends a pause; the proxy then handles the datagrams that came meanwhile.
func (n *proxy) resume() {
	n.paused = false
	for _, d := range n.queued {
		n.deliver(d)
	}
	n.queued = nil
}

// setLoad sets the load of a limit: requests a second, at random times.
func (n *proxy) setLoad(limit int, load float64) {
	idle := n.requestRates[limit] == 0
	n.requestRates[limit] = load
	if idle && load > 0 {
		n.simulation.clients(n, limit)
	}
}

func (w *simulation) clients(n *proxy, limit int) {
	if n.requestRates[limit] == 0 {
		return
	}
	if n.ledger != nil && !n.paused {
		n.request(limit)
	}
	w.after(time.Duration(w.rng.ExpFloat64()/n.requestRates[limit]*float64(time.Second)), func() { w.clients(n, limit) })
}

// request admits or rejects a request by the table, as a proxy does.
func (n *proxy) request(limit int) {
	l := n.simulation.table.Limits
	n.ledger.AdvanceTo(n.clock.at(n.simulation.now))
	v := n.simulation.table.Admit(ratelimit.Request{Tenant: n.simulation.table.Scopes[l[limit].Scope].Value}, n.ledger)
	if !v.Admitted {
		n.simulation.checks[limit].rejectedCount++
		return
	}
	n.simulation.checks[limit].admitted(n.simulation.now)
	if first := n.simulation.table.Scopes[0]; first.LimitCount > 0 && limit != first.FirstLimit {
		n.simulation.checks[first.FirstLimit].admitted(n.simulation.now)
	}
	if gen := n.processNumber; l[limit].Unit == ratelimit.UnitConcurrency {
		n.inFlight[limit]++
		n.simulation.after(time.Duration(n.simulation.rng.Int64N(int64(time.Second))), func() { n.end(limit, v.Reservation, gen) })
	}
}

// end ends a request in flight, as soon as the process runs.
func (n *proxy) end(limit int, held ratelimit.Reservation, gen int) {
	switch {
	case n.processNumber != gen:
	case n.paused:
		n.simulation.after(tickEvery, func() { n.end(limit, held, gen) })
	default:
		n.inFlight[limit]--
		n.simulation.checks[limit].level--
		held.Release(n.ledger.AdvanceTo(n.clock.at(n.simulation.now)))
	}
}

// host is a process that runs an allocator while the registry gives it the lease.
type host struct {
	simulation         *simulation
	name               string
	clock              clock
	allocator          *Allocator
	token              uint64 // the lease's fencing token, as far as the host knows
	dead               bool
	paused             bool
	cutOffFromRegistry bool
	queued             []Event
}

func (w *simulation) startHost(name string) *host {
	h := &host{simulation: w, name: name}
	w.hosts = append(w.hosts, h)
	h.start()
	h.tick()
	return h
}

func (h *host) start() {
	h.dead, h.paused, h.token, h.queued = false, false, 0, nil
	h.clock = h.simulation.clock()
	h.allocator = NewAllocator(AllocatorConfig{Fleet: 1, Name: h.name})
	h.allocator.times = h.simulation.times
	h.handle(TableChanged{Current: h.simulation.table})
	h.handle(ExpectedProxies{len(h.simulation.proxies)})
}

func (h *host) tick() {
	h.handle(Tick{})
	if h.simulation.hooks.allocatorTick != nil && !h.dead && !h.paused && h.allocator.mayGrant() {
		h.simulation.hooks.allocatorTick(h.simulation, h)
	}
	h.simulation.after(tickEvery, h.tick)
}

func (h *host) handle(e Event) {
	switch {
	case h.dead:
		return
	case h.paused:
		h.queued = append(h.queued, e)
		return
	}
	for _, a := range h.allocator.Handle(h.clock.at(h.simulation.now), e) {
		switch a := a.(type) {
		case Send:
			h.simulation.send(h.name, a.To, a.Data)
		case WriteRecord:
			h.simulation.registry.write(h, a)
		}
	}
}

func (h *host) resume() {
	h.paused = false
	queued := h.queued
	h.queued = nil
	for _, e := range queued {
		if _, tick := e.(Tick); !tick {
			h.handle(e)
		}
	}
}

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
func (sim *simulation) startProxy(name string) *proxy {
	p := sim.proxies[name]
	if p == nil {
		p = &proxy{simulation: sim, name: name, requestRates: map[int]float64{}, inFlight: map[int]int{}}
		sim.proxies[name] = p
		sim.names = append(sim.names, name)
		slices.Sort(sim.names)
	}
	p.start()
	return p
}

// start starts a new process, without any state of the previous one.
func (p *proxy) start() {
	p.crash()
	p.generation++
	p.clock, p.paused, p.queued = p.simulation.clock(), false, nil
	p.ledger = NewLedger(LedgerConfig{Fleet: 1, Name: p.name, Generation: p.generation, Seed: p.simulation.rng.Uint64()})
	p.ledger.times = p.simulation.times
	p.handle(TableChanged{Current: p.simulation.table})
	for _, name := range p.simulation.names {
		p.simulation.proxies[name].handle(Peers{slices.DeleteFunc(slices.Clone(p.simulation.names), func(o string) bool { return o == name })})
	}
	p.tick(p.processNumber)
	p.simulation.registry.notifyProxy(p)
}

// crash ends the process; its ledger and its requests in flight are lost.
func (p *proxy) crash() {
	p.processNumber++
	p.simulation.recordLentCapacity(p)
	p.ledger = nil
	for i, open := range p.inFlight {
		p.simulation.checks[i].level -= float64(open)
	}
	clear(p.inFlight)
}

func (p *proxy) tick(processNumber int) {
	if p.processNumber != processNumber {
		return
	}
	p.handle(Tick{})
	p.simulation.after(tickEvery, func() { p.tick(processNumber) })
}

func (p *proxy) handle(e Event) {
	if p.ledger == nil || p.paused {
		return
	}
	for _, a := range p.ledger.Handle(p.clock.at(p.simulation.now), e) {
		if s, ok := a.(Send); ok {
			p.simulation.send(p.name, s.To, s.Data)
		}
	}
}

func (p *proxy) deliver(data []byte) {
	switch {
	case p.ledger == nil:
	case p.paused:
		p.queued = append(p.queued, data)
	default:
		if p.simulation.hooks.beforeMessage != nil {
			p.simulation.hooks.beforeMessage(p, data)
		}
		p.handle(Message{data})
		if p.simulation.hooks.afterMessage != nil {
			p.simulation.hooks.afterMessage(p, data)
		}
	}
}

// resume ends a pause. The proxy then handles the datagrams that arrived during the pause.
func (p *proxy) resume() {
	p.paused = false
	for _, d := range p.queued {
		p.deliver(d)
	}
	p.queued = nil
}

// setLoad sets the load of a limit: requests a second, at random times.
func (p *proxy) setLoad(limit int, load float64) {
	idle := p.requestRates[limit] == 0
	p.requestRates[limit] = load
	if idle && load > 0 {
		p.simulation.sendRequests(p, limit)
	}
}

func (sim *simulation) sendRequests(p *proxy, limit int) {
	if p.requestRates[limit] == 0 {
		return
	}
	if p.ledger != nil && !p.paused {
		p.request(limit)
	}
	sim.after(time.Duration(sim.rng.ExpFloat64()/p.requestRates[limit]*float64(time.Second)), func() { sim.sendRequests(p, limit) })
}

// request sends a request, which the ledger admits or rejects by the table as in a proxy.
func (p *proxy) request(limit int) {
	l := p.simulation.table.Limits
	p.ledger.AdvanceTo(p.clock.at(p.simulation.now))
	v := p.simulation.table.Admit(ratelimit.Request{Tenant: p.simulation.table.Scopes[l[limit].Scope].Value}, p.ledger)
	if !v.Admitted {
		p.simulation.checks[limit].rejectedCount++
		return
	}
	p.simulation.checks[limit].admitted(p.simulation.now)
	if first := p.simulation.table.Scopes[0]; first.LimitCount > 0 && limit != first.FirstLimit {
		p.simulation.checks[first.FirstLimit].admitted(p.simulation.now)
	}
	if processNumber := p.processNumber; l[limit].Unit == ratelimit.UnitConcurrency {
		p.inFlight[limit]++
		p.simulation.after(time.Duration(p.simulation.rng.Int64N(int64(time.Second))), func() { p.endRequest(limit, v.Reservation, processNumber) })
	}
}

// endRequest ends a request in flight of the process with the number. While the process is paused, it
// retries.
func (p *proxy) endRequest(limit int, reservation ratelimit.Reservation, processNumber int) {
	switch {
	case p.processNumber != processNumber:
	case p.paused:
		p.simulation.after(tickEvery, func() { p.endRequest(limit, reservation, processNumber) })
	default:
		p.inFlight[limit]--
		p.simulation.checks[limit].level--
		reservation.Release(p.ledger.AdvanceTo(p.clock.at(p.simulation.now)))
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

func (sim *simulation) startHost(name string) *host {
	h := &host{simulation: sim, name: name}
	sim.hosts = append(sim.hosts, h)
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

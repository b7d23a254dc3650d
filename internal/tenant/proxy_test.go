package tenant

import (
	"fmt"
	"time"
)

// testProxy is a proxy's process with a real Cache, whose actions it carries out as a proxy does.
type testProxy struct {
	sim             *simulation
	name            string
	rate            float64 // rate of its clock, relative to true time
	cache           *Cache
	catalogue       *Catalogue
	dead            bool
	cutOff          bool
	asleepUntil     time.Duration // time until which the process is paused
	tickedSinceWake bool          // it has handled a tick since its last pause
	sessionID       string        // "": no session
	renewing        bool          // a call to open or renew the session is in flight
	reading         bool          // a read of the catalogue is in flight
	readAgain       bool          // another read has to follow
	status          *Status       // the last status to report
	policyVersion   int64         // version of its policy table
	openRequests    map[string]int
	left            bool // its session has the status that the proxy has left
	statusDelayed   bool // for the mutation "session without status": the session's first status is delayed
}

// startProxy starts a proxy's process. The proxies n0 and n3 have a maximal staleness.
func (w *simulation) startProxy(name string) *testProxy {
	proxy := &testProxy{sim: w, name: name, rate: 1 + (w.Float64()-0.5)/1000, openRequests: map[string]int{}, tickedSinceWake: true}
	maxStaleness := time.Duration(0)
	if name == "n0" || name == "n3" {
		maxStaleness = 3 * testTTL
	}
	proxy.cache = NewCache(uint64(w.now)+1+uint64(len(w.proxies)), maxStaleness, w.hashTree && len(w.proxies)%3 != 1)
	proxy.cache.idleTimeout = 1500 * time.Millisecond
	if w.mutations["maximal staleness ignored"] {
		proxy.cache.maxStaleness = 0
	}
	proxy.catalogue = proxy.cache.buildCatalogue()
	w.proxies = append(w.proxies, proxy)
	proxy.every(100*time.Millisecond, proxy.tick)
	proxy.every(testTTL/4, proxy.renew)
	proxy.every(400*time.Millisecond, proxy.readCatalogue)
	proxy.every(300*time.Millisecond, proxy.gossip)
	return proxy
}

func (p *testProxy) clock() time.Duration { return time.Duration(float64(p.sim.now) * p.rate) }
func (p *testProxy) isCutOff() bool       { return p.cutOff || p.dead }

// whenAwake calls do when the process is not paused, unless it is dead.
func (p *testProxy) whenAwake(do func()) {
	switch {
	case p.dead:
	case p.asleepUntil > p.sim.now:
		p.sim.after(p.asleepUntil-p.sim.now, func() { p.whenAwake(do) })
	default:
		do()
	}
}

// every calls do with a period of d, from a random phase on.
func (p *testProxy) every(d time.Duration, do func()) {
	p.sim.after(time.Duration(p.sim.Int64N(int64(d))), func() {
		p.whenAwake(func() {
			do()
			p.every(d, do)
		})
	})
}

// call makes a call to the registry.
func (p *testProxy) call(serve func(), answered func(ok bool)) {
	p.sim.call(p.isCutOff, serve, func(ok bool) { p.whenAwake(func() { answered(ok) }) })
}

// tick sometimes takes the current policy table, and handles a Tick.
func (p *testProxy) tick() {
	p.tickedSinceWake = true
	if v := int64(p.sim.policy.Version); p.policyVersion < v && p.sim.IntN(10) == 0 {
		p.policyVersion = v
		if p.sim.mutations["limits not checked"] {
			v = 1 << 40
		}
		p.handle(PolicyChanged{PolicyTable{uint64(v), func(limit string) bool { return tableHasLimit(limit, v) }}})
	}
	openRequests := p.cache.openRequests
	if p.sim.mutations["leaf in use evicted"] {
		p.cache.openRequests = map[string]int{}
		p.cache.evictIdle(p.clock())
	}
	p.cache.openRequests = openRequests
	p.handle(Tick{})
}

// handle handles an event and carries out the actions that follow.
func (p *testProxy) handle(event any) {
	for _, action := range p.cache.Handle(p.clock(), event) {
		switch action := action.(type) {
		case SwapCatalogue:
			c := *action.Catalogue
			p.catalogue = &c
			p.catalogue.complete = p.catalogue.complete || p.sim.mutations["not found without leaf"]
			if p.sim.mutations["authority never ends"] {
				p.catalogue.authorityUntil, p.catalogue.authoritative, p.catalogue.behind = 1<<60, true, false
			}
			p.catalogue.ready = p.catalogue.ready || p.sim.mutations["not enrolled"] && p.catalogue.number > 0
		case ReportStatus:
			p.status = &action.Status
			p.sim.checkStatus(p, action.Status)
			if p.name == "n0" && p.sim.mutations["maximal staleness ignored"] {
				p.status.MaxStaleness = 3 * testTTL
			}
			p.reportStatus()
		case ReadCatalogue:
			p.readCatalogue()
		case CutRequests:
			p.sim.checkCutRequests(p, action.Tenant)
			if !p.sim.mutations["CutRequests ignored"] {
				for range p.openRequests[action.Tenant] {
					p.endRequest(action.Tenant)
				}
			}
		}
	}
}

// endRequest ends one request of a tenant.
func (p *testProxy) endRequest(name string) {
	p.openRequests[name]--
	p.sim.after(0, func() { p.whenAwake(func() { p.handle(RequestEnded{name}) }) })
}

// renew opens or renews the session.
func (p *testProxy) renew() {
	if p.renewing || p.left {
		return
	}
	p.renewing = true
	id, sent, known := p.sessionID, p.clock(), false
	if id == "" {
		p.sim.idCount++
		id = fmt.Sprint(p.name, "-", p.sim.idCount)
		status := p.cache.Status()
		p.call(func() {
			p.sim.sessions[id] = &session{p.name, &status, p.sim.now + testTTL}
			if p.sim.mutations["session without status"] {
				p.sim.sessions[id].status = nil
			}
		}, func(ok bool) {
			if p.renewing = false; ok {
				p.sessionID = id
				p.handle(SessionOpened{sent, testTTL})
			}
		})
		return
	}
	p.call(func() {
		if s := p.sim.sessions[id]; s != nil {
			known, s.endsAt = true, p.sim.now+testTTL
		}
	}, func(ok bool) {
		if p.renewing = false; !ok {
			return
		}
		if !known {
			p.sessionID = ""
		}
		p.handle(SessionRenewed{sent, known})
		if p.sim.mutations["authority restored by renewal"] && known {
			p.cache.authoritative, p.catalogue.authoritative = true, true
		}
	})
}

// reportStatus reports the status, and repeats the call until it succeeds. If the session has ended, the call
// opens it again, as the registry's call does.
func (p *testProxy) reportStatus() {
	status, id := p.status, p.sessionID
	if status == nil || id == "" {
		return
	}
	if s := p.sim.sessions[id]; p.sim.mutations["session without status"] && s != nil && s.status == nil && !p.statusDelayed {
		p.statusDelayed = true
		p.sim.after(1500*time.Millisecond, func() { p.whenAwake(p.reportStatus) })
		return
	}
	p.statusDelayed = false
	p.call(func() {
		if p.sim.sessions[id] == nil {
			p.sim.sessions[id] = &session{proxy: p.name, endsAt: p.sim.now + testTTL}
		}
		p.sim.sessions[id].status = status
	}, func(ok bool) {
		if p.status != status || p.sessionID != id {
			return
		}
		if ok {
			p.left = status.Left
		} else {
			p.reportStatus()
		}
	})
}

// readCatalogue reads the member record and then the catalogue, with one read in flight at a time.
func (p *testProxy) readCatalogue() {
	if p.reading || p.left {
		p.readAgain = true
		return
	}
	p.reading, p.readAgain = true, false
	startedAt, enrolled, wanted := p.clock(), false, p.cache.Wanted()
	p.call(func() {
		for _, member := range p.sim.memberRecord().Members {
			enrolled = enrolled || member == p.cache.Member(p.name) || p.sim.mutations["maximal staleness ignored"] && member.Name == p.name
		}
	}, func(ok bool) {
		if !ok {
			p.reading = false
			return
		}
		var snapshot *Snapshot
		p.call(func() { snapshot = p.sim.readCatalogue(wanted) }, func(ok bool) {
			if p.reading = false; ok {
				if snapshot != nil {
					snapshot = p.mutateSnapshot(snapshot)
				}
				p.handle(CatalogueRead{startedAt, enrolled, snapshot})
			}
			if p.readAgain {
				p.readCatalogue()
			}
		})
	})
}

// gossip learns of the catalogue number of a random peer.
func (p *testProxy) gossip() {
	peer := p.sim.proxies[p.sim.IntN(len(p.sim.proxies))]
	if peer != p && !peer.dead && peer.asleepUntil <= p.sim.now && p.sim.IntN(3) > 0 {
		p.handle(PeerHasCatalogue{peer.catalogue.number})
	}
}

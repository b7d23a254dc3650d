package quota

import (
	"slices"
	"time"
)

// registry gives a host the lease, stores the record of slots, and notifies proxies of the allocator.
type registry struct {
	simulation *simulation
	down       bool
	token      uint64        // fencing token of the lease
	holder     *host         // lease holder
	renewedAt  time.Duration // when the holder last renewed its session
	record     []Slot
	version    int           // of the record
	onWrite    func(h *host) // called after a write, before its result
}

const sessionTTL = time.Second

// startRegistry starts the registry. Hosts renew their sessions every tenth of the TTL.
func (sim *simulation) startRegistry() {
	sim.registry.simulation = sim
	sim.registry.renewSessions()
}

func (s *registry) renewSessions() {
	if !s.down {
		for _, h := range s.simulation.hosts {
			s.renewOrAcquire(h)
		}
	}
	s.simulation.after(sessionTTL/10, s.renewSessions)
}

// renewOrAcquire renews the session of a host that holds the lease. Another host acquires the lease once the
// holder's session has ended. The holder counts the time of its lease from before it sent the renewal.
func (s *registry) renewOrAcquire(h *host) {
	if h.dead || h.paused || h.cutOffFromRegistry {
		return
	}
	if s.holder != h && s.simulation.now-s.renewedAt <= sessionTTL {
		return
	}
	if s.holder != h || h.token != s.token {
		s.token++
		s.holder, h.token = h, s.token
		for _, name := range s.simulation.names {
			s.notifyProxy(s.simulation.proxies[name])
		}
		defer func() {
			token, slots := s.token, slices.Clone(s.record)
			s.simulation.after(5*time.Millisecond, func() { h.handle(RecordRead{token, slots}) })
			if s.simulation.hooks.leaseAcquired != nil {
				s.simulation.hooks.leaseAcquired(h)
			}
		}()
	}
	s.renewedAt = s.simulation.now
	validFor := time.Duration(float64(sessionTTL) * (1 - 3*s.simulation.times.drift))
	h.handle(LeaseHeld{s.token, h.clock.at(s.simulation.now) + validFor})
}

// notifyProxy notifies a proxy, after a random delay, of the allocator that holds the lease now.
func (s *registry) notifyProxy(p *proxy) {
	if s.holder == nil || s.down {
		return
	}
	e := AllocatorKnown{s.holder.name, s.token}
	s.simulation.after(time.Duration(s.simulation.rng.ExpFloat64()*float64(20*time.Millisecond)), func() {
		if s.simulation.cutLinks[[2]string{"registry", p.name}] {
			return
		}
		if s.simulation.hooks.beforeAllocatorKnown != nil && p.ledger != nil {
			s.simulation.hooks.beforeAllocatorKnown(p, &e)
		}
		p.handle(e)
	})
}

// write writes the record after a random delay, unless the write is fenced or the record has changed.
func (s *registry) write(h *host, a WriteRecord) {
	version := s.version
	s.simulation.after(time.Duration(s.simulation.rng.ExpFloat64()*float64(10*time.Millisecond)), func() {
		if s.down || h.cutOffFromRegistry || a.Token != s.token || version != s.version {
			return
		}
		s.version++
		s.record = slices.Clone(a.Slots)
		if s.onWrite != nil {
			s.onWrite(h)
		}
		s.simulation.after(5*time.Millisecond, func() { h.handle(RecordRead{a.Token, slices.Clone(a.Slots)}) })
	})
}

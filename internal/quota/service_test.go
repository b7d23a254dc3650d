package quota

import (
	"slices"
	"time"
)

// service is the registry: it gives the lease, keeps the record, and tells watchers who holds the lease.
type service struct {
	w       *world
	down    bool
	fence   uint64
	holder  *host
	renewed time.Duration
	record  []Slot
	version int
	onWrite func(h *host) // between writing and telling
}

const sessionTTL = time.Second

// serve starts the service; sessions are renewed five times in their time.
func (w *world) serve() {
	w.svc.w = w
	w.svc.step()
}

func (s *service) step() {
	if !s.down {
		for _, h := range s.w.hosts {
			s.session(h)
		}
	}
	s.w.after(sessionTTL/10, s.step)
}

// session is a holder's renewal, or another's campaign. The holder reckons from before its renewal was sent.
func (s *service) session(h *host) {
	if h.dead || h.paused || h.alone {
		return
	}
	if s.holder != h && s.w.now-s.renewed <= sessionTTL {
		return
	}
	if s.holder != h || h.fence != s.fence {
		s.fence++
		s.holder, h.fence = h, s.fence
		for _, n := range s.w.names {
			s.watch(s.w.nodes[n])
		}
		defer func() {
			fence, seats := s.fence, slices.Clone(s.record)
			s.w.after(5*time.Millisecond, func() { h.handle(RecordRead{fence, seats}) })
			if s.w.hook.holder != nil {
				s.w.hook.holder(h)
			}
		}()
	}
	s.renewed = s.w.now
	stop := time.Duration(float64(sessionTTL) * (1 - 3*s.w.t.drift))
	h.handle(LeaseHeld{s.fence, h.clock.at(s.w.now) + stop})
}

// watch tells a proxy, some time later, who holds the lease now.
func (s *service) watch(n *node) {
	if s.holder == nil || s.down {
		return
	}
	e := AllocatorKnown{s.holder.name, s.fence}
	s.w.after(time.Duration(s.w.rng.ExpFloat64()*float64(20*time.Millisecond)), func() {
		if s.w.cut[[2]string{"service", n.name}] {
			return
		}
		if s.w.hook.told != nil && n.led != nil {
			s.w.hook.told(n, &e)
		}
		n.handle(e)
	})
}

func (s *service) write(h *host, a WriteRecord) {
	version := s.version
	s.w.after(time.Duration(s.w.rng.ExpFloat64()*float64(10*time.Millisecond)), func() {
		if s.down || h.alone || a.Token != s.fence || version != s.version {
			return
		}
		s.version++
		s.record = slices.Clone(a.Slots)
		if s.onWrite != nil {
			s.onWrite(h)
		}
		s.w.after(5*time.Millisecond, func() { h.handle(RecordRead{a.Token, slices.Clone(a.Slots)}) })
	})
}

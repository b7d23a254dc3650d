package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wrenspread/internal/registry"
)

const (
	// ServiceName is the registry's end in the network and its column in a timeline.
	ServiceName = "list"
	// CallMost is how long a call may take before its answer is lost.
	CallMost    = time.Second
	resendAfter = 200 * time.Millisecond // TCP's least wait before it sends again
	expireEvery = 100 * time.Millisecond
)

// Service is a model of the registry: its real state machine, one that never forgets, with deadlines of
// sessions on the true clock. It can be down, and links to it can be cut. It grants without the real one's
// pace.
type Service struct {
	world     *World
	state     *registry.State
	deadlines *registry.SessionExpiry
	down      bool
	holders   map[string]uint64 // fencing token by lease, as last seen
}

// Read says what is looked at; each that is set is given.
type Read struct {
	Record   string
	Prefix   string // the records that begin so, with their values
	Duty     string
	Sessions bool
}

// Seen is what a look gave, at one version.
type Seen struct {
	Version  uint64
	Record   registry.Record
	Records  []registry.Record
	Duty     registry.Lease
	Sessions []registry.Session
}

// AddService adds a registry that has begun to the world.
func (w *World) AddService() *Service {
	s := &Service{
		world:     w,
		state:     registry.NewState(),
		deadlines: registry.NewSessionExpiry(nil, w.now),
		holders:   map[string]uint64{},
	}
	s.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "sim"})
	w.Service = s
	s.expire()
	return s
}

// State is the state itself, for checks and for what an operator writes.
func (s *Service) State() *registry.State { return s.state }

// Down ends the service for all; Up brings it back, with the full TTL of every session as a new leader gives
// it.
func (s *Service) Down() {
	s.down = true
	s.world.Say(ServiceName, "down")
}

// Up is the end of Down.
func (s *Service) Up() {
	if s.down {
		s.down, s.deadlines = false, registry.NewSessionExpiry(s.state.Sessions(), s.world.now)
		s.world.Say(ServiceName, "up again")
	}
}

// Apply carries out a command at once, granting what it frees or asks for.
func (s *Service) Apply(c registry.Command) registry.Result {
	for _, w := range c.Candidacies {
		c.Grant = append(c.Grant, w.Lease)
	}
	r := s.state.Apply(c)
	if c.Op == registry.OpOpenSession && r.Code == registry.Applied {
		s.deadlines.Set(*c.Session, s.world.now)
	}
	for _, id := range c.Sessions {
		s.deadlines.Drop(id)
	}
	s.state.Apply(registry.Command{Op: registry.OpGrant, Grant: s.state.UnheldLeases()})
	s.tellGrants()
	return r
}

func (s *Service) tellGrants() {
	all, _ := s.state.Leases("")
	for _, d := range all {
		if d.Holder != "" && s.holders[d.Name] != d.Token {
			s.holders[d.Name] = d.Token
			s.world.Say(ServiceName, fmt.Sprintf("grants %s to %s as %d", d.Name, d.Process, d.Token))
		}
	}
}

// expire ends the sessions that are due, again and again.
func (s *Service) expire() {
	if !s.down {
		if due := s.deadlines.Due(s.world.now); len(due) > 0 {
			for _, id := range due {
				s.world.Say(ServiceName, "ends session "+id)
			}
			s.Apply(registry.Command{Op: registry.OpCloseSessions, Sessions: due})
		}
	}
	s.world.After(expireEvery, s.expire)
}

func (s *Service) look(r Read) Seen {
	seen := Seen{Version: s.state.Version()}
	seen.Record, _ = s.state.Record(r.Record)
	seen.Duty, _ = s.state.Lease(r.Duty)
	if r.Prefix != "" {
		for _, one := range s.state.Records(r.Prefix) {
			whole, _ := s.state.Record(one.Key)
			seen.Records = append(seen.Records, whole)
		}
	}
	if r.Sessions {
		seen.Sessions = s.state.Sessions()
	}
	return seen
}

func (s *Service) serve(c Call) Answer {
	a := Answer{Call: c}
	switch {
	case c.Command != nil:
		a.Result = s.Apply(*c.Command)
	case c.Renew != "":
		if !s.deadlines.Renew(c.Renew, s.world.now) {
			a.Result = registry.Result{Code: registry.NotFound, Reason: "there is no session " + c.Renew}
		}
	}
	a.Seen = s.look(c.Read)
	return a
}

// call carries a call there and its answer back, over the links as they are when each sets out.
func (w *World) call(e *End, c Call) {
	answered := false
	answer := func(after time.Duration, a Answer) {
		life := e.life
		w.After(after, func() {
			if !answered {
				answered = true
				e.arrive(task{at: w.now, to: e, e: a, life: life})
			}
		})
	}
	answer(CallMost, Answer{Call: c, Lost: true})
	if w.Service == nil || w.Service.down && !w.Net.link(e.Name, ServiceName).Cut {
		answer(w.Net.Usual.Delay, Answer{Call: c, Lost: true}) // refused
		return
	}
	w.stream(e.Name, ServiceName, func() {
		if !w.Service.down {
			a := w.Service.serve(c)
			w.stream(ServiceName, e.Name, func() { answer(0, a) })
		}
	})
}

// stream carries something over a connection: what is lost is sent again, what is cut off does not come.
func (w *World) stream(from, to string, arrived func()) {
	l := w.Net.link(from, to)
	if l.Cut {
		return
	}
	w.After(l.delay(w.rng)+resends(l.Loss, w.rng), arrived)
}

func resends(loss float64, rng *rand.Rand) (d time.Duration) {
	for d < CallMost && rng.Float64() < loss {
		d += resendAfter
	}
	return d
}

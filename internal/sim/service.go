package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wrenspread/internal/registry"
)

const (
	// ServiceName is the registry's name as a host in the network and its column in a timeline.
	ServiceName = "list"
	// CallTimeout is how long a call may take before its answer counts as lost.
	CallTimeout    = time.Second
	resendDelay    = 200 * time.Millisecond // TCP's minimum retransmission timeout
	expiryInterval = 100 * time.Millisecond
)

// Service is a model of the registry: the real state machine, whose state is never lost, with session
// deadlines on the true clock. It can be stopped, and links to it can be cut. It grants leases at once, where
// the real registry limits the rate of grants.
type Service struct {
	world         *World
	state         *registry.State
	deadlines     *registry.SessionExpiry
	down          bool
	fencingTokens map[string]uint64 // by lease name, as last noted in the timeline
}

// Read says what a call reads from the registry. Each field that is set adds to the ReadResult.
type Read struct {
	Record   string // name of a record
	Prefix   string // of the names of records, which are read with their values
	Lease    string // name of a lease
	Sessions bool   // all sessions
}

// ReadResult is what a Read returned, at one version of the state.
type ReadResult struct {
	Version  uint64
	Record   registry.Record
	Records  []registry.Record
	Lease    registry.Lease
	Sessions []registry.Session
}

// AddService adds a registry to the world, with a begun epoch and no data.
func (w *World) AddService() *Service {
	s := &Service{
		world:         w,
		state:         registry.NewState(),
		deadlines:     registry.NewSessionExpiry(nil, w.now),
		fencingTokens: map[string]uint64{},
	}
	s.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "sim"})
	w.Service = s
	s.expire()
	return s
}

// State returns the registry's state machine, for checks and for commands of an operator.
func (s *Service) State() *registry.State { return s.state }

// Down stops the registry for all hosts until Up.
func (s *Service) Down() {
	s.down = true
	s.world.Note(ServiceName, "down")
}

// Up ends Down. Every session gets its full TTL again, as a new leader gives it.
func (s *Service) Up() {
	if s.down {
		s.down, s.deadlines = false, registry.NewSessionExpiry(s.state.Sessions(), s.world.now)
		s.world.Note(ServiceName, "up again")
	}
}

// Apply carries out a command at once and grants the leases that the command campaigns for or frees.
func (s *Service) Apply(c registry.Command) registry.Result {
	for _, candidacy := range c.Candidacies {
		c.Grant = append(c.Grant, candidacy.Lease)
	}
	r := s.state.Apply(c)
	if c.Op == registry.OpOpenSession && r.Code == registry.Applied {
		s.deadlines.Set(*c.Session, s.world.now)
	}
	for _, id := range c.Sessions {
		s.deadlines.Drop(id)
	}
	s.state.Apply(registry.Command{Op: registry.OpGrant, Grant: s.state.UnheldLeases()})
	s.noteGrants()
	return r
}

// noteGrants adds the leases that have a new holder to the timeline.
func (s *Service) noteGrants() {
	leases, _ := s.state.Leases("")
	for _, lease := range leases {
		if lease.Holder != "" && s.fencingTokens[lease.Name] != lease.Token {
			s.fencingTokens[lease.Name] = lease.Token
			s.world.Note(ServiceName, fmt.Sprintf("grants %s to %s as %d", lease.Name, lease.Process, lease.Token))
		}
	}
}

// expire closes the sessions whose TTL is over and schedules itself again.
func (s *Service) expire() {
	if !s.down {
		if due := s.deadlines.Due(s.world.now); len(due) > 0 {
			for _, id := range due {
				s.world.Note(ServiceName, "ends session "+id)
			}
			s.Apply(registry.Command{Op: registry.OpCloseSessions, Sessions: due})
		}
	}
	s.world.After(expiryInterval, s.expire)
}

func (s *Service) read(r Read) ReadResult {
	result := ReadResult{Version: s.state.Version()}
	result.Record, _ = s.state.Record(r.Record)
	result.Lease, _ = s.state.Lease(r.Lease)
	if r.Prefix != "" {
		for _, record := range s.state.Records(r.Prefix) {
			complete, _ := s.state.Record(record.Key)
			result.Records = append(result.Records, complete)
		}
	}
	if r.Sessions {
		result.Sessions = s.state.Sessions()
	}
	return result
}

// serve carries out a call and returns its answer.
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
	a.Read = s.read(c.Read)
	return a
}

// call sends a call to the registry and its answer back. Each direction uses the link as it is when its
// message is sent.
func (w *World) call(host *Host, c Call) {
	answered := false
	answer := func(after time.Duration, a Answer) {
		processNumber := host.processNumber
		w.After(after, func() {
			if !answered {
				answered = true
				host.arrive(task{at: w.now, host: host, event: a, processNumber: processNumber})
			}
		})
	}
	answer(CallTimeout, Answer{Call: c, Lost: true})
	if w.Service == nil || w.Service.down && !w.Net.link(host.Name, ServiceName).Cut {
		answer(w.Net.Default.Delay, Answer{Call: c, Lost: true}) // refused
		return
	}
	w.stream(host.Name, ServiceName, func() {
		if !w.Service.down {
			a := w.Service.serve(c)
			w.stream(ServiceName, host.Name, func() { answer(0, a) })
		}
	})
}

// stream calls arrived when a message has passed a TCP connection. Lost packets are sent again; over a cut
// link nothing arrives.
func (w *World) stream(from, to string, arrived func()) {
	l := w.Net.link(from, to)
	if l.Cut {
		return
	}
	w.After(l.delay(w.rng)+resendTime(l.Loss, w.rng), arrived)
}

// resendTime draws the extra delay by retransmissions at a loss rate.
func resendTime(loss float64, rng *rand.Rand) (d time.Duration) {
	for d < CallTimeout && rng.Float64() < loss {
		d += resendDelay
	}
	return d
}

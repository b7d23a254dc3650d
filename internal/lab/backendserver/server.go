package backendserver

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/backend"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/world"
)

// Server serves one backend on its socket.
type Server struct {
	Address string
	host    *Host
	machine world.Machine
	seed    uint64
	pod     *pod
	free    func()

	mu           sync.Mutex
	listener     net.Listener // nil while the backend is down
	backend      *backend.Backend
	incarnation  int    // number of starts so far
	lastJob      uint64 // number of the last job
	timer        *time.Timer
	attempts     map[uint64]*attempt
	conns        map[*connection]bool
	degradations map[string]backend.Degradation
}

// attempt is a request that a node has sent to a backend.
type attempt struct {
	id, backend string
	conn        *connection
	arrived     time.Duration
	job         uint64
	answer      chan answer // has a buffer for the only answer
}

// answer is the outcome of an attempt.
type answer struct {
	status   int
	rejected bool
}

// Start starts the backend. If since is empty, the backend is warm. Otherwise it is cold, and since is the
// start time in its discovery entry.
func (s *Server) Start(since string) error {
	ln, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return fmt.Errorf("start backend %s: %w", s.machine.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.listener, s.backend = ln, backend.New(s.machine, s.pod.Pod, s.seed+uint64(s.incarnation),
		s.host.log.Now(), since != "")
	state := "up"
	if since != "" {
		state = "cold"
	}
	s.host.log.Add(history.Event{Kind: history.BackendChange, Backend: s.machine.Name,
		How: state, Detail: since})
	s.backend.SetDegradation(s.host.log.Now(), s.totalDegradation())
	s.host.tasks.Add(1)
	go s.accept(ln)
	s.scheduleTick()
	return nil
}

// Crash ends the backend like a crash of its process: connections are reset and new connections are refused.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.listener == nil {
		s.mu.Unlock()
		return
	}
	besteffort.Close(s.listener)
	s.listener, s.backend = nil, nil
	if s.timer != nil {
		s.timer.Stop()
	}
	s.host.log.Add(history.Event{Kind: history.BackendChange, Backend: s.machine.Name, How: "down"})
	conns := s.conns
	s.conns, s.attempts = map[*connection]bool{}, map[uint64]*attempt{}
	s.mu.Unlock()
	for c := range conns {
		besteffort.SocketOption(c.tcp.SetLinger(0))
		besteffort.Close(c.tcp)
	}
}

// SetDegradation sets the backend's degradation with this name, or removes it if d is nil. Degradations with
// different names add up. They belong to the machine, so a restart does not end them.
func (s *Server) SetDegradation(name string, d *backend.Degradation) {
	s.mu.Lock()
	delete(s.degradations, name)
	if d != nil {
		s.degradations[name] = *d
	}
	s.mu.Unlock()
	s.update(func(b *backend.Backend, now time.Duration) []backend.Action {
		return b.SetDegradation(now, s.totalDegradation())
	})
}

// totalDegradation returns the merged degradations. The caller holds the lock.
func (s *Server) totalDegradation() backend.Degradation {
	var merged backend.Degradation
	for _, d := range s.degradations {
		merged = backend.Merge(merged, d)
	}
	return merged
}

// update calls event with the backend, unless the backend is down, and applies the resulting actions.
func (s *Server) update(event func(*backend.Backend, time.Duration) []backend.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backend == nil {
		return
	}
	s.pod.Lock()
	actions := event(s.backend, s.host.log.Now())
	s.pod.Unlock()
	for _, action := range actions {
		s.apply(action)
	}
	s.scheduleTick()
}

// scheduleTick sets the timer for the backend's next tick. The caller holds the lock.
func (s *Server) scheduleTick() {
	wait := max(0, s.backend.Next()-s.host.log.Now())
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() {
		s.update(func(b *backend.Backend, now time.Duration) []backend.Action { return b.Tick(now) })
	})
}

// apply records an action and sends the answer that results from it. The caller holds the lock.
func (s *Server) apply(action backend.Action) {
	if action.Kind == backend.Crashed {
		s.host.log.Add(history.Event{Kind: history.BackendChange, Backend: s.machine.Name, How: "fell"})
		go s.Crash()
		return
	}
	a := s.attempts[action.Num]
	if a == nil {
		return
	}
	e := history.Event{ID: a.id, Backend: s.machine.Name, Pod: s.machine.Pod, How: action.Reason}
	if op := s.host.requests.Find(a.id); op != nil {
		e.Key, e.Op = op.Key, op.N
	}
	switch action.Kind {
	case backend.Begun:
		e.Kind = history.Begin
	case backend.Dropped:
		e.Kind = history.Drop
	case backend.Rejected:
		e.Kind = history.Reject
		a.answer <- answer{503, true}
	case backend.Done:
		e.Kind, e.Status, e.Took = history.End, action.Status, s.host.log.Now()-a.arrived
		a.answer <- answer{action.Status, false}
	}
	s.host.log.Add(e)
	if action.Kind == backend.Rejected || action.Kind == backend.Done {
		delete(s.attempts, action.Num)
	}
}

// submit adds an attempt to the backend. firstOnConn means that the attempt is the first on its connection,
// so that it includes the work of the handshake.
func (s *Server) submit(a *attempt, work time.Duration, key string, firstOnConn bool) {
	var extra time.Duration
	if firstOnConn {
		extra = s.machine.Handshake
	}
	s.update(func(b *backend.Backend, now time.Duration) []backend.Action {
		s.lastJob++
		a.job = s.lastJob
		s.attempts[a.job] = a
		rng := rand.New(rand.NewPCG(s.host.seed, idHash(a.id+s.machine.Name)))
		work = time.Duration(float64(work) * world.Spread(rng, s.machine.Noise))
		return b.Arrive(now, backend.Job{Num: a.job, Key: key, Work: work}, extra)
	})
}

// cancel reports to the backend that a node has ended an attempt. The work of the attempt may continue, so
// the attempt stays in s.attempts.
func (s *Server) cancel(a *attempt) {
	s.update(func(b *backend.Backend, now time.Duration) []backend.Action { return b.Cancel(now, a.job) })
}

// idHash returns a hash that seeds the random work of an attempt.
func idHash(s string) uint64 {
	h := fnv.New64a()
	besteffort.Response(io.WriteString(h, s)) // writing to a hash never fails
	return h.Sum64()
}

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

// Server is one backend on its socket.
type Server struct {
	Address string
	host    *Host
	m       world.Machine
	seed    uint64
	pod     *pod
	free    func()

	mu       sync.Mutex
	ln       net.Listener // nil while the backend is down
	box      *backend.Box
	life     int // starts so far
	num      uint64
	timer    *time.Timer
	attempts map[uint64]*attempt
	conns    map[*connection]bool
	troubles map[string]backend.Trouble
}

// attempt is a request that a node has sent here.
type attempt struct {
	id, box string
	conn    *connection
	arrived time.Duration
	num     uint64
	answer  chan answer // takes one
}

type answer struct {
	status int
	turned bool
}

// Start brings the backend up: warm, or cold where it is listed as started at since.
func (s *Server) Start(since string) error {
	ln, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return fmt.Errorf("box %s: %w", s.m.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	s.ln, s.box = ln, backend.New(s.m, s.pod.Pod, s.seed+uint64(s.life), s.host.log.Now(), since != "")
	how := "up"
	if since != "" {
		how = "cold"
	}
	s.host.log.Add(history.Event{Kind: history.Box, Box: s.m.Name, How: how, Detail: since})
	s.box.Suffer(s.host.log.Now(), s.sum())
	s.host.tasks.Add(1)
	go s.accept(ln)
	s.arm()
	return nil
}

// Crash ends the backend as the death of its process does: connections are reset and new ones refused.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.ln == nil {
		s.mu.Unlock()
		return
	}
	besteffort.Close(s.ln)
	s.ln, s.box = nil, nil
	if s.timer != nil {
		s.timer.Stop()
	}
	s.host.log.Add(history.Event{Kind: history.Box, Box: s.m.Name, How: "down"})
	conns := s.conns
	s.conns, s.attempts = map[*connection]bool{}, map[uint64]*attempt{}
	s.mu.Unlock()
	for c := range conns {
		besteffort.SocketOption(c.tcp.SetLinger(0))
		besteffort.Close(c.tcp)
	}
}

// Suffer gives the backend a trouble of that name, or takes it away with nil. Troubles
// add up, and go with the machine: a restart does not end them.
func (s *Server) Suffer(name string, t *backend.Trouble) {
	s.mu.Lock()
	delete(s.troubles, name)
	if t != nil {
		s.troubles[name] = *t
	}
	s.mu.Unlock()
	s.with(func(b *backend.Box, now time.Duration) []backend.Out { return b.Suffer(now, s.sum()) })
}

// sum is all that is wrong with the backend. The caller holds the lock.
func (s *Server) sum() backend.Trouble {
	var sum backend.Trouble
	for _, t := range s.troubles {
		sum = backend.Worse(sum, t)
	}
	return sum
}

// with drives the backend and carries out what it does.
func (s *Server) with(f func(*backend.Box, time.Duration) []backend.Out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.box == nil {
		return
	}
	s.pod.Lock()
	outs := f(s.box, s.host.log.Now())
	s.pod.Unlock()
	for _, o := range outs {
		s.carryOut(o)
	}
	s.arm()
}

func (s *Server) arm() {
	wait := max(0, s.box.Next()-s.host.log.Now())
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() {
		s.with(func(b *backend.Box, now time.Duration) []backend.Out { return b.Tick(now) })
	})
}

func (s *Server) carryOut(o backend.Out) {
	if o.What == backend.Fell {
		s.host.log.Add(history.Event{Kind: history.Box, Box: s.m.Name, How: "fell"})
		go s.Crash()
		return
	}
	a := s.attempts[o.Num]
	if a == nil {
		return
	}
	e := history.Event{ID: a.id, Box: s.m.Name, Pod: s.m.Pod, How: o.Why}
	if op := s.host.book.Find(a.id); op != nil {
		e.Key, e.Op = op.Key, op.N
	}
	switch o.What {
	case backend.Begun:
		e.Kind = history.Begin
	case backend.Dropped:
		e.Kind = history.Drop
	case backend.Turned:
		e.Kind = history.Turn
		a.answer <- answer{503, true}
	case backend.Done:
		e.Kind, e.Status, e.Took = history.End, o.Status, s.host.log.Now()-a.arrived
		a.answer <- answer{o.Status, false}
	}
	s.host.log.Add(e)
	if o.What == backend.Turned || o.What == backend.Done {
		delete(s.attempts, o.Num)
	}
}

// take gives an attempt to the backend. firstOn says that it is the first on its connection.
func (s *Server) take(a *attempt, work time.Duration, key string, firstOn bool) {
	var extra time.Duration
	if firstOn {
		extra = s.m.Handshake
	}
	s.with(func(b *backend.Box, now time.Duration) []backend.Out {
		s.num++
		a.num = s.num
		s.attempts[a.num] = a
		chance := rand.New(rand.NewPCG(s.host.seed, idHash(a.id+s.m.Name)))
		work = time.Duration(float64(work) * world.Spread(chance, s.m.Noise))
		return b.Arrive(now, backend.Job{Num: a.num, Key: key, Work: work}, extra)
	})
}

// left tells the backend that a node has ended an attempt. Its work may go on, so it stays known.
func (s *Server) left(a *attempt) {
	s.with(func(b *backend.Box, now time.Duration) []backend.Out { return b.Leave(now, a.num) })
}

func idHash(s string) uint64 {
	h := fnv.New64a()
	besteffort.Response(io.WriteString(h, s)) // never fails
	return h.Sum64()
}

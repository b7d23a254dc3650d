// Package gossip runs the membership core in a process: it passes datagrams and the time to the core, and
// carries out the actions that this returns. It owns no socket: its owner sends and receives.
package gossip

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"wrenspread/internal/membership"
	"wrenspread/internal/membership/wire"
)

// Config is what a Server starts with.
type Config struct {
	Fleet, Name string
	Number      int              // own place among Peers, -1: none
	Addr        netip.AddrPort   // at which members without a number for this node reach it
	Seeds       []netip.AddrPort // to join by
	// the configured addresses, by members' numbers; they go before what members advertise
	Peers         []netip.AddrPort
	ProbeInterval time.Duration // 0: the core's
	Zone, Version string
	// asked in each period by the owner; must not wait
	LocalState func() (state membership.State, load uint16)
	Send       func(to netip.AddrPort, datagram []byte) // must not wait for an answer
	Log        *slog.Logger
	Handoff    *Handoff // by the process of this node before; nil: there is none
}

// eventQueue bounds the datagrams that wait for the owner: 128 kB. At 10 a second from each of 30 members,
// that is over a second.
const eventQueue = 512

// Server keeps one node's view. Its goroutine is the one owner of the core; it ends with the context, with
// Leave or with HandOver.
type Server struct {
	cfg    Config
	hash   uint32 // of the fleet's name
	start  time.Time
	events chan membership.Event
	calls  chan func()
	stop   context.CancelFunc
	ended  chan struct{}

	peers           map[netip.AddrPort]bool // the configured ones
	memberAddresses sync.Map                // addresses (netip.AddrPort) of living members
	contacts        sync.Map                // by name: reach
	strangerLimiter *rate.Limiter
	received        receivedCounters
	membersByHealth [4]atomic.Int64 // members by health, own included
	changes         atomic.Int64
	sent            trafficCounters
	versions        atomic.Pointer[versions]

	// The rest belongs to the owner.
	core            *membership.Core
	timer           *time.Timer
	wakeAt          time.Duration
	maxLateness     time.Duration // lateness of a wake
	metadata        membership.Metadata
	numbers         map[string]int // of members among the peers
	logLimiter      *rate.Limiter
	suppressedLines int
	left            bool
}

type trafficCounters struct{ datagrams, bytes atomic.Int64 }

// Start begins to keep the view. cfg has passed Check.
func Start(ctx context.Context, cfg Config) *Server {
	ctx, stop := context.WithCancel(ctx)
	s := &Server{
		cfg:    cfg,
		hash:   wire.FleetHash(cfg.Fleet),
		start:  time.Now(),
		events: make(chan membership.Event, eventQueue),
		calls:  make(chan func()),
		stop:   stop,
		ended:  make(chan struct{}),
		strangerLimiter: rate.NewLimiter(
			strangersRate,
			strangersBurst,
		),
		logLimiter: rate.NewLimiter(logRate, logBurst),
		numbers:    map[string]int{},
		peers:      map[netip.AddrPort]bool{},
		timer:      time.NewTimer(0),
	}
	for _, a := range cfg.Peers {
		s.peers[a] = true
	}
	s.versions.Store(&versions{})
	s.membersByHealth[membership.Alive].Store(1)
	s.metadata = s.currentMetadata()
	s.core = membership.New(s.coreConfig(), s.now())
	go s.run(ctx)
	return s
}

// Check says what Start could not work with.
func (cfg Config) Check() error {
	return membership.Config{
		Fleet:    cfg.Fleet,
		Name:     cfg.Name,
		Number:   cfg.Number,
		Addr:     cfg.Addr,
		Metadata: membership.Metadata{Zone: cfg.Zone, Version: cfg.Version},
	}.Check()
}

// coreConfig has the node begin a new generation, unless one was handed over.
func (s *Server) coreConfig() membership.Config {
	cfg := s.cfg
	c := membership.Config{
		Fleet:         cfg.Fleet,
		Name:          cfg.Name,
		Number:        cfg.Number,
		Addr:          cfg.Addr,
		Metadata:      s.metadata,
		Seeds:         cfg.Seeds,
		ProbeInterval: cfg.ProbeInterval,
		RandomSeed:    uint64(s.start.UnixNano()),
		Generation:    uint64(s.start.UnixMilli()),
	}
	if h := cfg.Handoff; h != nil {
		on := c
		on.Generation, on.Incarnation = h.Generation, h.Incarnation+1
		on.Seeds = append(h.addresses(), c.Seeds...)
		if err := on.Check(); err == nil && h.Incarnation+1 > 0 {
			return on
		}
		cfg.Log.Warn(
			"cannot continue the previous generation",
			"generation",
			h.Generation,
			"incarnation",
			h.Incarnation,
		)
	}
	return c
}

func (s *Server) now() membership.Time { return time.Since(s.start) }

// run is the owner.
func (s *Server) run(ctx context.Context) {
	defer close(s.ended)
	defer s.timer.Stop()
	for !s.left {
		select {
		case <-ctx.Done():
			return
		case f := <-s.calls:
			f()
		case e := <-s.events:
			s.handle(e)
		case <-s.timer.C:
			if f := s.currentMetadata(); f != s.metadata {
				s.metadata = f
				s.handle(membership.MetadataChanged{Metadata: f})
			}
			s.handle(membership.Tick{})
		}
	}
}

func (s *Server) handle(e membership.Event) {
	now := s.now()
	s.maxLateness = max(s.maxLateness, now-s.wakeAt)
	for _, a := range s.core.Handle(now, e) {
		switch a := a.(type) {
		case membership.Send:
			s.send(a)
		case membership.Wake:
			s.wakeAt = s.now() + a.After
			s.timer.Reset(a.After)
		case membership.MemberChanged:
			s.memberChanged(a)
		case membership.NameConflict:
			s.logLimited(
				slog.LevelError,
				"another process has this node's name",
				"generation",
				a.Generation,
				"from",
				a.From,
				"yielded",
				a.Yielded,
			)
			if a.Yielded {
				s.wakeAt = math.MaxInt64 // it wakes no more
			}
		case membership.LeaveDone:
			s.left = true
		case membership.Log:
			s.logLimited(slog.LevelInfo, "fleet: "+a.Text)
		}
	}
}

// call has the owner run f, and reports whether it did before the context ended.
func (s *Server) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case s.calls <- func() { defer close(done); f() }:
		<-done
		return true
	case <-s.ended:
	case <-ctx.Done():
	}
	return false
}

// Leave tells the others that this node goes on purpose, and returns when that has been said or the context
// ends.
func (s *Server) Leave(ctx context.Context) {
	defer s.stop()
	if !s.call(ctx, func() { s.handle(membership.Leave{}) }) {
		return
	}
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
}

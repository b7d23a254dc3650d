// Package gossip runs the membership core in a process: it passes datagrams and the time to the core, and
// carries out the actions that the core returns. The package has no socket: its caller sends and receives the
// datagrams.
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

// Config configures a Server.
type Config struct {
	Fleet, Name string
	Number      int              // the node's index in Peers; -1 means none
	Addr        netip.AddrPort   // the node's address, for members whose Peers lack the node
	Seeds       []netip.AddrPort // addresses that the node pings to join the fleet
	// Peers are the configured addresses of members, by member number. They take precedence over the addresses
	// that members advertise.
	Peers         []netip.AddrPort
	ProbeInterval time.Duration // 0 means the core's default
	Zone, Version string
	// LocalState returns the node's present state and load. The server calls it in each period; it must not
	// block.
	LocalState func() (state membership.State, load uint16)
	Send       func(to netip.AddrPort, datagram []byte) // must not wait for an answer
	Log        *slog.Logger
	Handoff    *Handoff // from the node's previous process; nil means none
}

// eventQueue is the number of received datagrams that may wait for the owner; they take up to 128 kB. If each
// of 30 members sends 10 a second, the queue holds the datagrams of more than a second.
const eventQueue = 512

// Server maintains one node's view. Its goroutine, run, is the only owner of the core; it ends with the
// context, with Leave or with HandOver.
type Server struct {
	cfg    Config
	hash   uint32                // of the fleet's name
	start  time.Time             // origin of the core's times
	events chan membership.Event // datagrams for the owner
	calls  chan func()           // functions that the owner is to run
	stop   context.CancelFunc    // ends the owner
	ended  chan struct{}         // closed once the owner has ended

	peerAddresses   map[netip.AddrPort]bool // configured addresses
	memberAddresses sync.Map                // addresses (netip.AddrPort) of living members
	contacts        sync.Map                // contact by name
	strangerLimiter *rate.Limiter
	received        receivedCounters
	membersByHealth [4]atomic.Int64 // number of members by health, this node included
	changes         atomic.Int64
	sent            trafficCounters
	versions        atomic.Pointer[versions]

	// The other fields belong to the owner.
	core            *membership.Core
	timer           *time.Timer
	expectedWakeAt  time.Duration // when the requested wake is due
	maxLateness     time.Duration // of a wake
	metadata        membership.Metadata
	peerNumbers     map[string]int // index in Config.Peers by member name
	logLimiter      *rate.Limiter
	suppressedLines int // log lines that were dropped since the last line
	hasLeft         bool
}

// trafficCounters count the datagrams and bytes in one direction.
type trafficCounters struct{ datagrams, bytes atomic.Int64 }

// Start starts to maintain the view. cfg has passed Check.
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
			strangerRate,
			strangerBurst,
		),
		logLimiter:    rate.NewLimiter(logRate, logBurst),
		peerNumbers:   map[string]int{},
		peerAddresses: map[netip.AddrPort]bool{},
		timer:         time.NewTimer(0),
	}
	for _, a := range cfg.Peers {
		s.peerAddresses[a] = true
	}
	s.versions.Store(&versions{})
	s.membersByHealth[membership.Alive].Store(1)
	s.metadata = s.currentMetadata()
	s.core = membership.New(s.coreConfig(), s.now())
	go s.run(ctx)
	return s
}

// Check returns an error if Start can't work with the configuration.
func (cfg Config) Check() error {
	return membership.Config{
		Fleet:    cfg.Fleet,
		Name:     cfg.Name,
		Number:   cfg.Number,
		Addr:     cfg.Addr,
		Metadata: membership.Metadata{Zone: cfg.Zone, Version: cfg.Version},
	}.Check()
}

// coreConfig returns the core's configuration. If there is a usable handoff, the core continues the
// generation of the handoff; otherwise it starts a new generation.
func (s *Server) coreConfig() membership.Config {
	cfg := s.cfg
	fresh := membership.Config{
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
	if handoff := cfg.Handoff; handoff != nil {
		continued := fresh
		continued.Generation, continued.Incarnation = handoff.Generation, handoff.Incarnation+1
		continued.Seeds = append(handoff.addresses(), fresh.Seeds...)
		if err := continued.Check(); err == nil && handoff.Incarnation+1 > 0 {
			return continued
		}
		cfg.Log.Warn(
			"cannot continue the previous generation",
			"generation",
			handoff.Generation,
			"incarnation",
			handoff.Incarnation,
		)
	}
	return fresh
}

func (s *Server) now() membership.Time { return time.Since(s.start) }

// run is the owner of the core. It handles datagrams, calls and wakes.
func (s *Server) run(ctx context.Context) {
	defer close(s.ended)
	defer s.timer.Stop()
	for !s.hasLeft {
		select {
		case <-ctx.Done():
			return
		case f := <-s.calls:
			f()
		case e := <-s.events:
			s.handle(e)
		case <-s.timer.C:
			if metadata := s.currentMetadata(); metadata != s.metadata {
				s.metadata = metadata
				s.handle(membership.MetadataChanged{Metadata: metadata})
			}
			s.handle(membership.Tick{})
		}
	}
}

// handle passes an event to the core and carries out the core's actions.
func (s *Server) handle(e membership.Event) {
	now := s.now()
	s.maxLateness = max(s.maxLateness, now-s.expectedWakeAt)
	for _, a := range s.core.Handle(now, e) {
		switch a := a.(type) {
		case membership.Send:
			s.send(a)
		case membership.Wake:
			s.expectedWakeAt = s.now() + a.After
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
				s.expectedWakeAt = math.MaxInt64 // the core requests no more wakes
			}
		case membership.LeaveDone:
			s.hasLeft = true
		case membership.Log:
			s.logLimited(slog.LevelInfo, "fleet: "+a.Text)
		}
	}
}

// call lets the owner run f, and reports whether the owner did so before the context ended.
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

// Leave broadcasts that this node leaves the fleet on purpose, and returns when that is done or the context
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

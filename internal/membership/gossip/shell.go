// Package view is the shell of the fleet's view in a node: it gives the core of package fleet its datagrams and its time, and
// carries out what that decides. It knows neither the node nor its sockets.
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

// Config is what a Shell starts with.
type Config struct {
	Fleet, Name   string
	Number        int              // own place among Peers, -1: none
	Addr          netip.AddrPort   // at which members without a number for this node reach it
	Seeds         []netip.AddrPort // to join by
	Peers         []netip.AddrPort // the configured addresses, by members' numbers; they go before what members advertise
	Period        time.Duration    // 0: the core's
	Zone, Version string
	Doing         func() (state membership.State, load uint16) // asked in each period by the owner; must not wait
	Write         func(to netip.AddrPort, datagram []byte)     // must not wait for an answer
	Log           *slog.Logger
	Handed        *Handed // by the process of this node before; nil: there is none
}

// queued bounds the datagrams that wait for the owner: 128 kB. At 10 a second from each of 30 members, that is over a second.
const queued = 512

// Shell keeps one node's view. Its goroutine is the one owner of the core; it ends with the context, with Leave or with HandOver.
type Shell struct {
	cfg    Config
	hash   uint32 // of the fleet's name
	start  time.Time
	events chan membership.Event
	calls  chan func()
	stop   context.CancelFunc
	ended  chan struct{}

	peers     map[netip.AddrPort]bool // the configured ones
	known     sync.Map                // addresses (netip.AddrPort) of living members
	book      sync.Map                // by name: reach
	strangers *rate.Limiter
	came      arrivals
	health    [4]atomic.Int64 // members by health, own included
	changes   atomic.Int64
	sent      traffic
	versions  atomic.Pointer[versions]

	// The rest belongs to the owner.
	core    *membership.Core
	timer   *time.Timer
	due     time.Duration
	worst   time.Duration // lateness of a wake
	facts   membership.Facts
	numbers map[string]int // of members among the peers
	lines   *rate.Limiter
	unsaid  int
	gone    bool
}

type traffic struct{ datagrams, bytes atomic.Int64 }

// Start begins to keep the view. cfg has passed Check.
func Start(ctx context.Context, cfg Config) *Shell {
	ctx, stop := context.WithCancel(ctx)
	s := &Shell{cfg: cfg, hash: wire.FleetHash(cfg.Fleet), start: time.Now(), events: make(chan membership.Event, queued), calls: make(chan func()), stop: stop, ended: make(chan struct{}),
		strangers: rate.NewLimiter(strangersRate, strangersBurst), lines: rate.NewLimiter(linesRate, linesBurst), numbers: map[string]int{}, peers: map[netip.AddrPort]bool{}, timer: time.NewTimer(0)}
	for _, a := range cfg.Peers {
		s.peers[a] = true
	}
	s.versions.Store(&versions{})
	s.health[membership.Alive].Store(1)
	s.facts = s.currentFacts()
	s.core = membership.New(s.coreConfig(), s.now())
	go s.run(ctx)
	return s
}

// Check says what Start could not work with.
func (cfg Config) Check() error {
	return membership.Config{Fleet: cfg.Fleet, Name: cfg.Name, Number: cfg.Number, Addr: cfg.Addr, Facts: membership.Facts{Zone: cfg.Zone, Version: cfg.Version}}.Check()
}

// coreConfig has the node begin a new life, unless one was handed over.
func (s *Shell) coreConfig() membership.Config {
	cfg := s.cfg
	c := membership.Config{Fleet: cfg.Fleet, Name: cfg.Name, Number: cfg.Number, Addr: cfg.Addr, Facts: s.facts, Seeds: cfg.Seeds, Period: cfg.Period,
		Seed: uint64(s.start.UnixNano()), Life: uint64(s.start.UnixMilli())}
	if h := cfg.Handed; h != nil {
		on := c
		on.Life, on.Incarnation = h.Life, h.Incarnation+1
		on.Seeds = append(h.addresses(), c.Seeds...)
		if err := on.Check(); err == nil && h.Incarnation+1 > 0 {
			return on
		}
		cfg.Log.Warn("the life of the process before can't be gone on with", "life", h.Life, "incarnation", h.Incarnation)
	}
	return c
}

func (s *Shell) now() membership.Time { return time.Since(s.start) }

// run is the owner.
func (s *Shell) run(ctx context.Context) {
	defer close(s.ended)
	defer s.timer.Stop()
	for !s.gone {
		select {
		case <-ctx.Done():
			return
		case f := <-s.calls:
			f()
		case e := <-s.events:
			s.handle(e)
		case <-s.timer.C:
			if f := s.currentFacts(); f != s.facts {
				s.facts = f
				s.handle(membership.FactsChanged{Facts: f})
			}
			s.handle(membership.Tick{})
		}
	}
}

func (s *Shell) handle(e membership.Event) {
	now := s.now()
	s.worst = max(s.worst, now-s.due)
	for _, a := range s.core.Handle(now, e) {
		switch a := a.(type) {
		case membership.Send:
			s.send(a)
		case membership.Wake:
			s.due = s.now() + a.After
			s.timer.Reset(a.After)
		case membership.Changed:
			s.changed(a)
		case membership.Conflict:
			s.say(slog.LevelError, "another process has this node's name", "life", a.Life, "from", a.From, "yielded", a.Yielded)
			if a.Yielded {
				s.due = math.MaxInt64 // it wakes no more
			}
		case membership.Gone:
			s.gone = true
		case membership.Log:
			s.say(slog.LevelInfo, "fleet: "+a.Text)
		}
	}
}

// do has the owner run f, and says whether it did before the context ended.
func (s *Shell) do(ctx context.Context, f func()) bool {
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

// Leave tells the others that this node goes on purpose, and returns when that has been said or the context ends.
func (s *Shell) Leave(ctx context.Context) {
	defer s.stop()
	if !s.do(ctx, func() { s.handle(membership.Leave{}) }) {
		return
	}
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
}

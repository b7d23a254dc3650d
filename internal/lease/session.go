// Package lease lets a process hold leases: named roles, such as "quota", that one process holds at a time.
// The registry gives a lease to the next candidate when its holder fails, releases it or is preempted.
//
// A Session is this process's session with the registry. Run wants a lease and does its work for as long as
// the process holds it. Two processes never work under one lease at the same time if clock rates are off by
// maxClockDrift at most and work stops when its context ends: work begins only after a renewal that confirms
// the grant, and is cancelled a fraction of the TTL before the registry can give the lease to another. Where
// work may be paused for longer, whoever takes its orders must check the fencing token (package fencing).
package lease

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// Config configures a Session.
type Config struct {
	Client  *client.Client       // for this session alone: it goes on to another replica when one fails
	Process string               // name of the process, the same over its restarts
	TTL     time.Duration        // after so long without a renewal others get its leases; 0: DefaultTTL
	Info    registry.ProcessInfo // what other processes can read about this one
	Log     *slog.Logger         // nil: none
}

// Token proves that an order comes from the holder of a lease.
type Token = registry.FencingToken

// Errors of Run and Open.
var (
	ErrClosed     = errors.New("lease: the session is closing")
	ErrWanted     = errors.New("lease: this session wants it already")
	errIncomplete = errors.New("lease: a session needs a process name and a registry client")
)

// Work is done by the holder of a lease. Its context ends before anybody else can hold the lease; work has
// TTL/8 to stop then. If it returns nil the lease is not wanted any more; after an error it is released and
// wanted again later.
type Work func(ctx context.Context, token Token) error

// Session is one process's session with the registry. It is safe for concurrent use.
type Session struct {
	config     Config
	log        *slog.Logger
	start      time.Time
	ctx        context.Context // of the session's own calls
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex // guards what follows
	core      *core
	id        string // of the session in the registry
	runs      map[*candidacy]*run
	wake      chan struct{} // the core has changed
	renewNow  chan struct{} // a renewal would confirm a grant
	changed   chan struct{} // closed and replaced after every step
	lateStops int

	renewalsFailing bool // used by keepSession alone: a failure has been logged
}

// run is the work of a candidacy.
type run struct {
	work   Work
	cancel context.CancelFunc // nil: it is not running
}

// Open begins a session, which goes on until Close.
func Open(config Config) (*Session, error) {
	if config.TTL == 0 {
		config.TTL = DefaultTTL
	}
	if config.Process == "" || config.Client == nil {
		return nil, errIncomplete
	}
	if config.TTL < registry.MinSessionTTL || config.TTL > registry.MaxSessionTTL {
		return nil, fmt.Errorf("lease: ttl %v is not between %v and %v",
			config.TTL, registry.MinSessionTTL, registry.MaxSessionTTL)
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	s := &Session{
		config:   config,
		log:      config.Log,
		start:    time.Now(),
		core:     &core{ttl: config.TTL},
		runs:     map[*candidacy]*run{},
		wake:     make(chan struct{}, 1),
		renewNow: make(chan struct{}, 1),
		changed:  make(chan struct{}),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.goroutines.Go(s.loop)
	s.goroutines.Go(s.keepSession)
	s.goroutines.Go(s.watchLeases)
	return s, nil
}

// now is the core's clock. It is never 0, which stands for never.
func (s *Session) now() time.Duration { return time.Since(s.start) + 1 }

// Run does work whenever this process holds a lease, until the work returns nil, ctx ends (Run returns its
// error) or the session is closed (ErrClosed). It returns once the work has stopped and the lease is
// released.
func (s *Session) Run(ctx context.Context, name string, work Work, options ...Option) error {
	wanted := request{Candidacy: registry.Candidacy{Lease: name}}
	for _, option := range options {
		option(&wanted)
	}
	one, err := s.addCandidacy(wanted, work)
	if err != nil {
		return err
	}
	s.wakeLoop()
	return s.await(ctx, one)
}

func (s *Session) addCandidacy(wanted request, work Work) (*candidacy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.closing {
		return nil, ErrClosed
	}
	same := func(one *candidacy) bool { return one.spec.Lease == wanted.Lease }
	if slices.ContainsFunc(s.core.candidacies, same) {
		return nil, fmt.Errorf("%w: %s", ErrWanted, wanted.Lease)
	}
	one := s.core.add(wanted.Candidacy, wanted.releaseOrder)
	s.runs[one] = &run{work: work}
	return one, nil
}

// await waits until a candidacy is over, and cancels it when ctx ends.
func (s *Session) await(ctx context.Context, one *candidacy) error {
	cancelled := ctx.Done()
	for {
		changed, over := s.removeIfOver(one)
		if over && !one.cancelled {
			return ErrClosed
		}
		if over {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return ErrClosed
		case <-cancelled:
			cancelled = nil
			s.update(func(time.Duration) { one.cancelled = true })
		}
	}
}

// removeIfOver forgets a candidacy that is over. changed is closed at the next step.
func (s *Session) removeIfOver(one *candidacy) (changed <-chan struct{}, over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	over = s.core.isOver(one)
	if over {
		s.core.remove(one)
		delete(s.runs, one)
	}
	return s.changed, over
}

// LateStops returns how many times work did not stop in time.
func (s *Session) LateStops() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateStops
}

// HeldUntil returns the time before which nobody else can hold a lease that this process holds under a token:
// until then its holder may act without asking anybody. Each renewal extends it. It is zero once the work is
// cancelled. Work that may have been paused must ask after it has read what it acts on, not before.
func (s *Session) HeldUntil(token Token) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.core.candidacies {
		runs := one.spec.Lease == token.Lease && one.runningToken == token.Number && one.token == token.Number
		if runs && one.stopRequestedAt == 0 && s.core.holds(one, s.now()) {
			return s.start.Add(s.core.safeUntil)
		}
	}
	return time.Time{}
}

func (s *Session) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// update changes the core and has the loop look at it.
func (s *Session) update(change func(now time.Duration)) {
	s.mu.Lock()
	change(s.now())
	s.mu.Unlock()
	s.wakeLoop()
}

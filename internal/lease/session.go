// Package lease lets a process hold leases: named roles, such as "quota", that one process holds at a time.
// The registry grants a lease to the next candidate when its holder fails, releases it or is preempted.
//
// A Session is this process's session with the registry. Run campaigns for a lease and does its work for as
// long as the process holds the lease. Two processes never work under one lease at the same time if clock
// rates are off by at most maxClockDrift and work stops when its context ends: work starts only after a
// renewal has confirmed the grant, and is cancelled a fraction of the TTL before the registry can grant the
// lease to another process. If work may be paused for longer, the receivers of its orders must check the
// fencing token (package fencing).
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
	Client  *client.Client       // not shared with other sessions, as it changes the replica after a failed call
	Process string               // name of the process, the same after a restart
	TTL     time.Duration        // time without a renewal after which the session expires; 0: DefaultTTL
	Info    registry.ProcessInfo // information for other processes about this one
	Log     *slog.Logger         // nil: no logging
}

// Token is the fencing token of a lease. It proves that an order comes from the lease's holder.
type Token = registry.FencingToken

// Errors of Run and Open.
var (
	// ErrClosed is returned by Run once the session is being closed.
	ErrClosed = errors.New("lease: the session is closing")
	// ErrDuplicateCandidacy is returned by Run for a lease for which another Run of this session campaigns.
	ErrDuplicateCandidacy = errors.New("lease: this session has a candidacy for the lease already")
	errIncomplete         = errors.New("lease: a session needs a process name and a registry client")
)

// Work is the function that the holder of a lease runs. Its context ends TTL/8 before another process can
// hold the lease; the work has to stop in that time. If Work returns nil, Run releases the lease and returns;
// after an error, Run releases the lease and campaigns for it again after a backoff.
type Work func(ctx context.Context, token Token) error

// Session is one process's session with the registry. It is safe for concurrent use.
type Session struct {
	config     Config
	log        *slog.Logger
	start      time.Time
	ctx        context.Context // of the session's calls, and the parent of the contexts of work
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex // guards the following fields
	core      *core
	id        string // id of the session in the registry
	runs      map[*candidacy]*run
	wake      chan struct{} // signals that the core has changed
	renewNow  chan struct{} // signals that a grant needs a renewal
	changed   chan struct{} // closed and replaced after every step
	lateStops int           // how many times work did not stop in time

	renewalsFailing bool // a failed renewal has been logged; used by maintainSession alone
}

// run is the work of a candidacy.
type run struct {
	work   Work
	cancel context.CancelFunc // nil: the work has never been started
}

// Open checks the configuration and starts the goroutines of a session. They open the session with the
// registry, renew it and open another one after it has expired, until Close. Open returns before the session
// exists in the registry: if the registry cannot be reached, it returns no error, and the goroutines log the
// failure and try again.
//
// Process and Client are required. A TTL of 0 is DefaultTTL; other values must be between
// registry.MinSessionTTL and registry.MaxSessionTTL.
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
	s.goroutines.Go(s.maintainSession)
	s.goroutines.Go(s.watchLeases)
	return s, nil
}

// now returns the time of the core's clock. It is never 0, because the core uses 0 for times that are not
// set.
func (s *Session) now() time.Duration { return time.Since(s.start) + 1 }

// Run does work whenever this process holds a lease, until the work returns nil, ctx ends (Run returns its
// error) or the session is closed (ErrClosed). It returns once the work has stopped and the lease is
// released.
func (s *Session) Run(ctx context.Context, name string, work Work, options ...Option) error {
	requested := request{Candidacy: registry.Candidacy{Lease: name}}
	for _, option := range options {
		option(&requested)
	}
	cand, err := s.addCandidacy(requested, work)
	if err != nil {
		return err
	}
	s.wakeLoop()
	return s.await(ctx, cand)
}

// addCandidacy adds a candidacy with its work, unless the session is closing or has one for the same lease.
func (s *Session) addCandidacy(requested request, work Work) (*candidacy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.closing {
		return nil, ErrClosed
	}
	isForLease := func(cand *candidacy) bool { return cand.spec.Lease == requested.Lease }
	if slices.ContainsFunc(s.core.candidacies, isForLease) {
		return nil, fmt.Errorf("%w: %s", ErrDuplicateCandidacy, requested.Lease)
	}
	cand := s.core.add(requested.Candidacy, requested.releaseOrder)
	s.runs[cand] = &run{work: work}
	return cand, nil
}

// await waits until a candidacy is over, and cancels it when ctx ends.
func (s *Session) await(ctx context.Context, cand *candidacy) error {
	cancelled := ctx.Done()
	for {
		changed, over := s.removeIfOver(cand)
		if over && !cand.cancelled {
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
			s.update(func(time.Duration) { cand.cancelled = true })
		}
	}
}

// removeIfOver removes a candidacy if it is over. changed is closed at the next step.
func (s *Session) removeIfOver(cand *candidacy) (changed <-chan struct{}, over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	over = s.core.isOver(cand)
	if over {
		s.core.remove(cand)
		delete(s.runs, cand)
	}
	return s.changed, over
}

// LateStops returns how many times work did not stop in time.
func (s *Session) LateStops() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lateStops
}

// HeldUntil returns the time until which this process certainly holds a lease under a token. Until then the
// holder may act without further checks. Each renewal extends it. It is the zero time once the work is
// cancelled. Work that may have been paused must call HeldUntil after it has read the data that it acts on,
// not before.
func (s *Session) HeldUntil(token Token) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cand := range s.core.candidacies {
		isRunning := cand.spec.Lease == token.Lease && cand.runningToken == token.Number &&
			cand.token == token.Number
		if isRunning && cand.stopRequestedAt == 0 && s.core.holds(cand, s.now()) {
			return s.start.Add(s.core.safeUntil)
		}
	}
	return time.Time{}
}

// wakeLoop makes the loop take a step.
func (s *Session) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// update changes the core and makes the loop take a step.
func (s *Session) update(change func(now time.Duration)) {
	s.mu.Lock()
	change(s.now())
	s.mu.Unlock()
	s.wakeLoop()
}

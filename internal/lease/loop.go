package lease

import (
	"context"
	"slices"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

const (
	callTimeout = 10 * time.Second // of a campaign or a release, over the registry's failures
	retryPause  = 100 * time.Millisecond
)

// loop carries out what the core wants, until the session's context ends.
func (s *Session) loop() {
	for {
		calls, wait := s.carryOutStep()
		for kind, candidacies := range calls.byKind {
			for batch := range slices.Chunk(candidacies, registry.MaxLeaseBatch) {
				s.goroutines.Go(func() { s.callRegistry(kind, calls.session, batch) })
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-s.wake:
		case <-timer.C:
		case <-s.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// registryCalls are the campaigns and releases that a step has led to.
type registryCalls struct {
	session string
	byKind  map[actionKind][]*candidacy
}

// carryOutStep makes one step of the core, and starts and stops work by it. wait is the time until the next
// step.
func (s *Session) carryOutStep() (calls registryCalls, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	actions := s.core.step(now)
	wait = s.core.nextStepAt(now) - now
	if s.core.needsRenewal() {
		select {
		case s.renewNow <- struct{}{}:
		default:
		}
	}
	calls = registryCalls{session: s.id, byKind: map[actionKind][]*candidacy{}}
	for _, next := range actions {
		switch next.kind {
		case startWork:
			s.startWork(next.candidacy, next.token)
		case stopWork:
			s.stopWork(next.candidacy)
		default:
			calls.byKind[next.kind] = append(calls.byKind[next.kind], next.candidacy)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return calls, wait
}

// startWork starts the work of a candidacy. The caller holds the lock.
func (s *Session) startWork(one *candidacy, token uint64) {
	run := s.runs[one]
	if run == nil { // a lease that nobody here wants
		one.runningToken = 0
		one.cancelled = true
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	run.cancel = cancel
	s.log.Info("lease acquired", "lease", one.spec.Lease, "token", token)
	s.goroutines.Go(func() {
		err := run.work(ctx, Token{Lease: one.spec.Lease, Number: token})
		cancel()
		s.update(func(now time.Duration) {
			if err != nil && one.stopRequestedAt == 0 {
				s.log.Warn("work failed, releasing the lease", "lease", one.spec.Lease, "token", token, "err", err)
			} else {
				s.log.Info("work ended", "lease", one.spec.Lease, "token", token)
			}
			s.core.workEnded(now, one, err)
		})
	})
}

// stopWork tells work to stop, and checks later that it did. The caller holds the lock.
func (s *Session) stopWork(one *candidacy) {
	token := one.runningToken
	s.runs[one].cancel()
	time.AfterFunc(s.config.TTL/stopFraction, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if one.runningToken == token && one.stopRequestedAt != 0 {
			s.lateStops++
			s.log.Error("work does not stop though another process may hold the lease; its writes rely on fencing",
				"lease", one.spec.Lease, "token", token)
		}
	})
}

// callRegistry makes a campaign or a release.
func (s *Session) callRegistry(kind actionKind, session string, candidacies []*candidacy) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var specs []registry.Candidacy
	for _, one := range candidacies {
		specs = append(specs, one.spec)
	}
	call, name := s.config.Client.Campaign, "campaign"
	if kind == releaseLease {
		call, name = s.config.Client.ReleaseLeases, "release"
	}
	_, err := call(ctx, session, specs)
	if err != nil && s.ctx.Err() == nil {
		s.log.Warn("registry call failed", "call", name, "leases", len(specs), "err", err)
		backoff.Sleep(s.ctx, retryPause)
	}
	s.update(func(time.Duration) {
		if session != s.id { // of an earlier session: its candidacies were reset when that was lost
			return
		}
		for _, one := range candidacies {
			s.core.callEnded(kind, one, err == nil)
		}
	})
}

package lease

import (
	"context"
	"slices"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

const (
	callTimeout = 10 * time.Second // for a campaign or a release, including retries
	retryPause  = 100 * time.Millisecond
)

// loop carries out the core's actions until s.ctx ends.
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

// registryCalls are the campaigns and releases among the actions of a step.
type registryCalls struct {
	session string
	byKind  map[actionKind][]*candidacy
}

// carryOutStep makes one step of the core and starts and stops work. It returns the calls to make and the
// time until the next step.
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
func (s *Session) startWork(cand *candidacy, token uint64) {
	run := s.runs[cand]
	if run == nil { // a lease that addUnwanted has added
		cand.runningToken = 0
		cand.cancelled = true
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	run.cancel = cancel
	s.log.Info("lease acquired", "lease", cand.spec.Lease, "token", token)
	s.goroutines.Go(func() {
		err := run.work(ctx, Token{Lease: cand.spec.Lease, Number: token})
		cancel()
		s.update(func(now time.Duration) {
			if err != nil && cand.stopRequestedAt == 0 {
				s.log.Warn("work failed, releasing the lease", "lease", cand.spec.Lease, "token", token, "err", err)
			} else {
				s.log.Info("work ended", "lease", cand.spec.Lease, "token", token)
			}
			s.core.workEnded(now, cand, err)
		})
	})
}

// stopWork cancels the context of a candidacy's work, and logs an error if the work has not stopped
// TTL/stopFraction later. The caller holds the lock.
func (s *Session) stopWork(cand *candidacy) {
	token := cand.runningToken
	s.runs[cand].cancel()
	time.AfterFunc(s.config.TTL/stopFraction, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if cand.runningToken == token && cand.stopRequestedAt != 0 {
			s.lateStops++
			s.log.Error("work does not stop though another process may hold the lease; its writes rely on fencing",
				"lease", cand.spec.Lease, "token", token)
		}
	})
}

// callRegistry campaigns for leases or releases them, and records the outcome.
func (s *Session) callRegistry(kind actionKind, session string, candidacies []*candidacy) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var specs []registry.Candidacy
	for _, cand := range candidacies {
		specs = append(specs, cand.spec)
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
		if session != s.id { // the call was for an earlier session, whose loss has reset the candidacies
			return
		}
		for _, cand := range candidacies {
			s.core.callEnded(kind, cand, err == nil)
		}
	})
}

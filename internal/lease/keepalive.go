package lease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
)

const (
	renewalsPerTTL  = 4
	minCallTimeout  = time.Second      // for the call that opens a session
	sessionIDLength = 12               // bytes, before hexadecimal encoding
	watchHold       = 20 * time.Second // how long a replica may delay its response to a watch
)

// maintainSession opens the session, renews it, and opens another one if it expires, until s.ctx ends.
func (s *Session) maintainSession() {
	interval := s.config.TTL / renewalsPerTTL
	for s.ctx.Err() == nil {
		timer := time.NewTimer(s.openOrRenewSession(interval))
		select {
		case <-timer.C:
		case <-s.renewNow:
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
}

// openOrRenewSession opens the session or renews it, and returns how long to wait before the next renewal or
// attempt.
func (s *Session) openOrRenewSession(interval time.Duration) (wait time.Duration) {
	s.mu.Lock()
	open, id := s.core.open, s.id
	s.mu.Unlock()
	if !open {
		if err := s.openSession(interval); err != nil {
			s.log.Warn("no session with the registry", "err", err)
			return retryPause
		}
		return 0
	}
	if !s.renewSession(id, interval) {
		return retryPause
	}
	return interval
}

// openSession opens a session under a new random id.
func (s *Session) openSession(timeout time.Duration) error {
	random := make([]byte, sessionIDLength)
	_, _ = rand.Read(random) // never fails
	opened := registry.Session{
		ID:      hex.EncodeToString(random),
		Process: s.config.Process,
		TTL:     s.config.TTL,
		Info:    s.config.Info,
	}
	ctx, cancel := context.WithTimeout(s.ctx, max(timeout, minCallTimeout))
	defer cancel()
	if err := s.config.Client.OpenSession(ctx, opened); err != nil {
		return err
	}
	s.update(func(time.Duration) {
		s.id = opened.ID
		s.core.sessionOpened()
	})
	return nil
}

// renewSession makes one renewal and reports whether it was answered.
func (s *Session) renewSession(id string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	sent := s.now()
	known, err := s.config.Client.RenewSession(ctx, id)
	s.logRenewalOutcome(err)
	if err != nil {
		return false
	}
	s.update(func(time.Duration) {
		if known {
			s.core.renewed(sent)
			return
		}
		s.log.Warn("session expired, opening another", "session", id)
		s.core.sessionLost()
	})
	return true
}

// logRenewalOutcome logs the beginning and the end of an outage, not each failed attempt.
func (s *Session) logRenewalOutcome(err error) {
	switch {
	case err != nil && s.ctx.Err() == nil && !s.renewalsFailing:
		s.log.Warn("session renewals fail", "err", err)
		s.renewalsFailing = true
	case err == nil && s.renewalsFailing:
		s.log.Info("session renewals succeed again")
		s.renewalsFailing = false
	}
}

// watchLeases follows the session's leases until s.ctx ends.
func (s *Session) watchLeases() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		open, id, index, changed := s.core.open, s.id, s.core.index, s.changed
		s.mu.Unlock()
		if !open {
			select {
			case <-changed:
			case <-s.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		go s.cancelWhenSessionEnds(ctx, cancel, id)
		response, err := s.config.Client.SessionLeases(ctx, id, index, watchHold)
		cancel()
		if err != nil { // also from a lagging replica that does not know the session; renewals show a real loss
			backoff.Sleep(s.ctx, retryPause)
			continue
		}
		s.update(func(now time.Duration) {
			if id == s.id {
				s.core.leasesReported(now, id, response)
			}
		})
	}
}

// cancelWhenSessionEnds cancels a watch once its session is lost. It returns when ctx ends.
func (s *Session) cancelWhenSessionEnds(ctx context.Context, cancel context.CancelFunc, id string) {
	for {
		s.mu.Lock()
		changed, isCurrent := s.changed, s.core.open && s.id == id
		s.mu.Unlock()
		if !isCurrent {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

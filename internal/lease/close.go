package lease

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Close releases the leases by their release order and ends the session. If work does not stop within the
// timeout, Close returns an error: until the session expires, only the fencing token guards against that
// work.
func (s *Session) Close(timeout time.Duration) error {
	s.update(func(time.Duration) { s.core.closing = true })
	err := s.awaitReleases(timeout)
	if err == nil { // after a timeout the session is left to expire, after the time by which work has to stop
		err = s.closeInRegistry()
	}
	s.stop()
	s.goroutines.Wait()
	return err
}

// awaitReleases waits until all work has stopped and all leases are released.
func (s *Session) awaitReleases(timeout time.Duration) error {
	deadline := time.After(timeout)
	for {
		s.mu.Lock()
		changed := s.changed
		remaining := slices.ContainsFunc(
			s.core.candidacies,
			func(cand *candidacy) bool { return !s.core.isOver(cand) },
		)
		s.mu.Unlock()
		if !remaining {
			return nil
		}
		select {
		case <-changed:
		case <-deadline:
			return fmt.Errorf("lease: not all leases were released within %v", timeout)
		}
	}
}

// closeInRegistry closes the session in the registry if it is open.
func (s *Session) closeInRegistry() error {
	s.mu.Lock()
	id, open := s.id, s.core.open
	s.mu.Unlock()
	if !open {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	return s.config.Client.CloseSession(ctx, id)
}

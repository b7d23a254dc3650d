package lease

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Close releases what is held, by release order, and ends the session. Work that does not stop within the
// timeout is left to its fencing token; the error says so.
func (s *Session) Close(timeout time.Duration) error {
	s.update(func(time.Duration) { s.core.closing = true })
	err := s.awaitReleases(timeout)
	if err == nil { // else the session expires, once it is certain that the work may not go on
		err = s.closeInRegistry()
	}
	s.stop()
	s.goroutines.Wait()
	return err
}

// awaitReleases waits until nothing is left to be stopped or released.
func (s *Session) awaitReleases(timeout time.Duration) error {
	deadline := time.After(timeout)
	for {
		s.mu.Lock()
		changed := s.changed
		remaining := slices.ContainsFunc(
			s.core.candidacies,
			func(one *candidacy) bool { return !s.core.isOver(one) },
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

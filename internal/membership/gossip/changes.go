package gossip

import (
	"cmp"
	"context"
	"log/slog"

	"wrenspread/internal/membership"
)

// Bounds on log lines, per second and in a burst. Lines beyond these bounds are dropped and counted, and the
// next line reports the count.
const (
	logRate  = 10
	logBurst = 50
)

// memberChanged updates what the server itself stores about a member (counts, addresses, peer number) and
// logs the change.
func (s *Server) memberChanged(change membership.MemberChanged) {
	s.changes.Add(1)
	if before := change.Before; before.Name != "" {
		s.membersByHealth[before.Health].Add(-1)
		s.memberAddresses.Delete(before.Addr)
	}
	member := change.Member
	if member.Name == "" {
		delete(s.peerNumbers, change.Before.Name)
		s.contacts.Delete(change.Before.Name)
		return
	}
	s.membersByHealth[member.Health].Add(1)
	s.peerNumbers[member.Name] = member.Number
	s.recordContact(member)
	if member.Health <= membership.Suspect {
		s.memberAddresses.Store(member.Addr, true)
	}
	if before := change.Before; member.Health != before.Health || member.Generation != before.Generation ||
		member.Metadata.State != before.Metadata.State {
		s.logLimited(
			slog.LevelInfo,
			"member changed",
			"name",
			member.Name,
			"health",
			member.Health,
			"state",
			member.Metadata.State,
			"generation",
			member.Generation,
			"why",
			cmp.Or(member.Reason, "-"),
			"by",
			cmp.Or(member.Accusers, "-"),
		)
	}
}

// logLimited writes a log line, unless the limit of lines is exceeded. The limit is needed because other
// nodes can cause any number of lines.
func (s *Server) logLimited(level slog.Level, text string, args ...any) {
	if !s.logLimiter.Allow() {
		s.suppressedLines++
		return
	}
	if s.suppressedLines > 0 {
		args = append(args, "not_logged", s.suppressedLines)
		s.suppressedLines = 0
	}
	s.cfg.Log.Log(context.Background(), level, text, args...)
}

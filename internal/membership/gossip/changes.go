package gossip

import (
	"cmp"
	"context"
	"log/slog"

	"wrenspread/internal/membership"
)

// Lines of the log, a second and at once; more are counted and logged with the next.
const (
	logRate  = 10
	logBurst = 50
)

// memberChanged keeps what the server holds beside the core: counts, addresses, numbers.
func (s *Server) memberChanged(a membership.MemberChanged) {
	s.changes.Add(1)
	if b := a.Before; b.Name != "" {
		s.membersByHealth[b.Health].Add(-1)
		s.memberAddresses.Delete(b.Addr)
	}
	m := a.Member
	if m.Name == "" {
		delete(s.numbers, a.Before.Name)
		s.contacts.Delete(a.Before.Name)
		return
	}
	s.membersByHealth[m.Health].Add(1)
	s.numbers[m.Name] = m.Number
	s.recordContact(m)
	if m.Health <= membership.Suspect {
		s.memberAddresses.Store(m.Addr, true)
	}
	if b := a.Before; m.Health != b.Health || m.Generation != b.Generation ||
		m.Metadata.State != b.Metadata.State {
		s.logLimited(
			slog.LevelInfo,
			"member",
			"name",
			m.Name,
			"health",
			m.Health,
			"state",
			m.Metadata.State,
			"generation",
			m.Generation,
			"why",
			cmp.Or(m.Reason, "-"),
			"by",
			cmp.Or(m.Accusers, "-"),
		)
	}
}

// logLimited writes a line, unless there were too many: others can bring them about at will.
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

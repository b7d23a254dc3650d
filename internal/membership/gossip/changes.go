package gossip

import (
	"cmp"
	"context"
	"log/slog"

	"wrenspread/internal/membership"
)

// Lines of the log, a second and at once; more are counted and told with the next.
const (
	linesRate  = 10
	linesBurst = 50
)

// changed keeps what the shell holds beside the core: counts, addresses, numbers.
func (s *Shell) changed(a membership.Changed) {
	s.changes.Add(1)
	if b := a.Before; b.Name != "" {
		s.health[b.Health].Add(-1)
		s.known.Delete(b.Addr)
	}
	m := a.Member
	if m.Name == "" {
		delete(s.numbers, a.Before.Name)
		s.book.Delete(a.Before.Name)
		return
	}
	s.health[m.Health].Add(1)
	s.numbers[m.Name] = m.Number
	s.note(m)
	if m.Health <= membership.Suspect {
		s.known.Store(m.Addr, true)
	}
	if b := a.Before; m.Health != b.Health || m.Life != b.Life || m.Facts.State != b.Facts.State {
		s.say(slog.LevelInfo, "member", "name", m.Name, "health", m.Health, "state", m.Facts.State, "life", m.Life, "why", cmp.Or(m.Why, "-"), "by", cmp.Or(m.By, "-"))
	}
}

// say writes a line, unless there were too many: others can bring them about at will.
func (s *Shell) say(level slog.Level, text string, args ...any) {
	if !s.lines.Allow() {
		s.unsaid++
		return
	}
	if s.unsaid > 0 {
		args = append(args, "not_logged", s.unsaid)
		s.unsaid = 0
	}
	s.cfg.Log.Log(context.Background(), level, text, args...)
}

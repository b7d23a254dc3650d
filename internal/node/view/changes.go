package view

import "indigotack/internal/fleet"

// Lines on changes, a second and at once; more are counted and told with the next.
const (
	linesRate  = 10
	linesBurst = 50
)

// changed keeps what the shell holds beside the core: counts, addresses, numbers.
func (s *Shell) changed(a fleet.Changed) {
	s.changes.Add(1)
	if b := a.Before; b.Name != "" {
		s.health[b.Health].Add(-1)
		s.known.Delete(b.Addr)
	}
	m := a.Member
	if m.Name == "" {
		delete(s.numbers, a.Before.Name)
		return
	}
	s.health[m.Health].Add(1)
	s.numbers[m.Name] = m.Number
	if m.Health <= fleet.Suspect {
		s.known.Store(m.Addr, true)
	}
	if b := a.Before; m.Health != b.Health || m.Life != b.Life || m.Facts.State != b.Facts.State {
		s.say(m)
	}
}

func (s *Shell) say(m fleet.Member) {
	if !s.lines.Allow() {
		s.unsaid++
		return
	}
	args := []any{"name", m.Name, "health", m.Health, "state", m.Facts.State, "life", m.Life}
	if m.Why != "" {
		args = append(args, "why", m.Why, "by", m.By)
	}
	if s.unsaid > 0 {
		args = append(args, "not_logged", s.unsaid)
		s.unsaid = 0
	}
	s.cfg.Log.Info("member", args...)
}

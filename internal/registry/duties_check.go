package registry

// Commands on duties, and what is wrong with them or with duties that are read.

import "fmt"

// applyDuty carries out a command on duties.
func (s *State) applyDuty(c Command) Result {
	switch c.Do {
	case DoSession:
		return s.openSession(c)
	case DoClose:
		for _, id := range c.Sessions {
			s.closeSession(id, c.Grant)
		}
	case DoCampaign:
		return s.campaign(c)
	case DoGiveUp:
		return s.giveUp(c)
	case DoYield:
		return s.yield(c)
	case DoBlock:
		return s.block(c)
	case DoGrant:
		for _, name := range c.Grant {
			if d, ok := s.duties.Duties[name]; ok {
				s.grant(d)
			}
		}
	}
	return Result{}
}

// checkDuty says what is wrong with a command on duties.
func (c Command) checkDuty() error {
	if len(c.Wishes) > MaxBatch || len(c.Sessions) > MaxSessions || len(c.Grant) > MaxDuties {
		return fmt.Errorf("%d duties or %d sessions are too many for one command", len(c.Wishes), len(c.Sessions))
	}
	for _, w := range c.Wishes {
		if w.Duty == "" || len(w.Duty) > MaxText {
			return fmt.Errorf("duty: want 1 to %d bytes", MaxText)
		}
	}
	switch c.Do {
	case DoSession:
		return c.Session.check()
	case DoCampaign, DoGiveUp:
		if c.Session == nil || c.Session.ID == "" {
			return fmt.Errorf("session: missing")
		}
	case DoYield, DoBlock:
		if c.Name == "" || len(c.Name) > MaxText || len(c.To) > MaxText || c.Do == DoBlock && c.To == "" {
			return fmt.Errorf("duty and process: want 1 to %d bytes", MaxText)
		}
	}
	return nil
}

// check says what is wrong with duties that could not have been.
func (d *duties) check(version uint64) error {
	if d.Sessions == nil || d.Duties == nil || d.Changed > version {
		return fmt.Errorf("duties without sessions, or changed after version %d", version)
	}
	for id, h := range d.Sessions {
		if h == nil || h.ID != id || h.In == nil {
			return fmt.Errorf("session %s is not itself", id)
		}
		for name := range h.In {
			if d.Duties[name] == nil {
				return fmt.Errorf("session %s is in %s, which is no duty", id, name)
			}
		}
	}
	for name, one := range d.Duties {
		if one == nil || one.Name != name || one.Fence > version || one.Holder != "" && (d.Sessions[one.Holder] == nil || one.Fence == 0) {
			return fmt.Errorf("duty %s has a holder or a fence that can't be", name)
		}
		for _, c := range one.Queue {
			if d.Sessions[c.Session] == nil {
				return fmt.Errorf("a candidate of %s has no session", name)
			}
		}
	}
	return nil
}

package registry

// What becomes of sessions, duties and their queues.

import (
	"fmt"
	"maps"
	"slices"
)

func (s *State) openSession(c Command) Result {
	in := c.Session
	h, there := s.duties.Sessions[in.ID]
	if !there && len(s.duties.Sessions) >= MaxSessions {
		return Result{Code: Full, Why: fmt.Sprintf("there are %d sessions already", len(s.duties.Sessions))}
	}
	if !there {
		h = &held{In: map[string]bool{}}
		s.duties.Sessions[in.ID] = h
	}
	h.Session = *in
	return Result{}
}

// closeSession ends a session, and with it all that it holds.
func (s *State) closeSession(id string, grant []string) {
	h, ok := s.duties.Sessions[id]
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(h.In)) {
		s.leaveDuty(h, name, slices.Contains(grant, name))
	}
	delete(s.duties.Sessions, id)
}

// leaveDuty takes a session out of a duty and its queue.
func (s *State) leaveDuty(h *held, name string, grant bool) {
	d := s.duties.Duties[name]
	delete(h.In, name)
	d.Queue = slices.DeleteFunc(d.Queue, func(c Candidate) bool { return c.Session == h.ID })
	if d.Holder == h.ID {
		d.Holder, d.Process, d.Word, d.Priority, d.Asked = "", "", nil, 0, false
		s.dutyChanged()
		if grant {
			s.grant(d)
		}
	}
	s.tidy(d)
}

// tidy forgets a duty that nobody holds, wants or is kept from. Its name may be
// used again: fences are versions, so a later grant has a higher one all the same.
func (s *State) tidy(d *Duty) {
	if d.Holder == "" && len(d.Queue) == 0 && len(d.Blocked) == 0 {
		delete(s.duties.Duties, d.Name)
	}
}

func (s *State) dutyChanged() {
	s.version++
	s.duties.Changed = s.version
}

// next is the candidate that has a duty next, or -1.
func (d *Duty) next() int {
	best := -1
	better := func(a, b Candidate) bool {
		if (a.Process == d.To) != (b.Process == d.To) {
			return a.Process == d.To
		}
		return a.Priority > b.Priority // of those alike the first that came
	}
	for i, c := range d.Queue {
		if !slices.Contains(d.Blocked, c.Process) && (best < 0 || better(c, d.Queue[best])) {
			best = i
		}
	}
	return best
}

// grant gives a free duty to the next in its queue.
func (s *State) grant(d *Duty) {
	i := d.next()
	if d.Holder != "" || i < 0 {
		return
	}
	c := d.Queue[i]
	d.Queue = slices.Delete(d.Queue, i, i+1)
	s.dutyChanged()
	word := s.duties.Sessions[c.Session].Word
	d.Holder, d.Process, d.Word, d.Priority, d.Fence, d.To = c.Session, c.Process, &word, c.Priority, s.version, ""
	s.outdo(d)
}

// outdo asks the holder to hand on if somebody waits who goes before it.
func (s *State) outdo(d *Duty) {
	if d.Holder == "" || d.Asked {
		return
	}
	if i := d.next(); i >= 0 && d.Queue[i].Over && d.Queue[i].Priority > d.Priority {
		d.Asked = true
		s.dutyChanged()
	}
}

func (s *State) campaign(c Command) Result {
	h, ok := s.duties.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: Absent, Why: "there is no session " + c.Session.ID}
	}
	for _, w := range c.Wishes {
		d := s.duties.Duties[w.Duty]
		switch {
		case d == nil && len(s.duties.Duties) >= MaxDuties:
			return Result{Code: Full, Why: fmt.Sprintf("there are %d duties already", len(s.duties.Duties))}
		case d == nil:
			d = &Duty{Name: w.Duty}
			s.duties.Duties[w.Duty] = d
		case h.In[w.Duty]:
			continue // it waits for it or has it already
		case len(d.Queue) >= MaxCandidates:
			return Result{Code: Full, Why: fmt.Sprintf("%d wait for %s already", len(d.Queue), w.Duty)}
		}
		h.In[w.Duty] = true
		s.dutyChanged()
		d.Queue = append(d.Queue, Candidate{Session: h.ID, Process: h.Process, Priority: w.Priority, Over: w.Over, Since: s.version})
		if slices.Contains(c.Grant, w.Duty) {
			s.grant(d)
		}
		s.outdo(d)
	}
	return Result{}
}

func (s *State) giveUp(c Command) Result {
	h, ok := s.duties.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: Absent, Why: "there is no session " + c.Session.ID}
	}
	for _, w := range c.Wishes {
		if h.In[w.Duty] {
			s.leaveDuty(h, w.Duty, slices.Contains(c.Grant, w.Duty))
		}
	}
	return Result{}
}

// yield asks a holder to hand on, to a certain process if one is named.
func (s *State) yield(c Command) Result {
	d, ok := s.duties.Duties[c.Name]
	if !ok || d.Holder == "" {
		return Result{Code: Absent, Why: "nobody holds " + c.Name}
	}
	if c.To != "" && !slices.ContainsFunc(d.Queue, func(k Candidate) bool { return k.Process == c.To }) {
		return Result{Code: Absent, Why: fmt.Sprintf("%s does not wait for %s", c.To, c.Name)}
	}
	if !d.Asked || d.To != c.To {
		d.Asked, d.To = true, c.To
		s.dutyChanged()
	}
	return Result{Entry: d.Fence}
}

// block keeps a process from a duty, or lets it again.
func (s *State) block(c Command) Result {
	d, ok := s.duties.Duties[c.Name]
	if !ok {
		if len(s.duties.Duties) >= MaxDuties {
			return Result{Code: Full, Why: fmt.Sprintf("there are %d duties already", len(s.duties.Duties))}
		}
		d = &Duty{Name: c.Name}
		s.duties.Duties[c.Name] = d
	}
	is := slices.Contains(d.Blocked, c.To)
	switch {
	case c.On && !is && len(d.Blocked) >= MaxCandidates:
		return Result{Code: Full, Why: fmt.Sprintf("%d processes are blocked already", len(d.Blocked))}
	case c.On && !is:
		d.Blocked = append(d.Blocked, c.To)
		s.dutyChanged()
		if d.Process == c.To && d.Holder != "" && !d.Asked {
			d.Asked = true
			s.dutyChanged()
		}
	case !c.On && is:
		d.Blocked = slices.DeleteFunc(d.Blocked, func(p string) bool { return p == c.To })
		s.dutyChanged()
	}
	s.tidy(d)
	return Result{}
}

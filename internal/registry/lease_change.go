package registry

// Changes of sessions, leases and their queues.

import (
	"fmt"
	"maps"
	"slices"
)

func (s *State) openSession(c Command) Result {
	in := c.Session
	h, there := s.leases.Sessions[in.ID]
	if !there && len(s.leases.Sessions) >= MaxSessions {
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("there are %d sessions already", len(s.leases.Sessions)),
		}
	}
	if !there {
		h = &openSession{Leases: map[string]bool{}}
		s.leases.Sessions[in.ID] = h
	}
	h.Session = *in
	return Result{}
}

// closeSession ends a session, and with it all that it holds.
func (s *State) closeSession(id string, grant []string) {
	h, ok := s.leases.Sessions[id]
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(h.Leases)) {
		s.leaveLease(h, name, slices.Contains(grant, name))
	}
	delete(s.leases.Sessions, id)
}

// leaveLease takes a session out of a lease and its queue.
func (s *State) leaveLease(h *openSession, name string, grant bool) {
	d := s.leases.Leases[name]
	delete(h.Leases, name)
	d.Queue = slices.DeleteFunc(d.Queue, func(c Candidate) bool { return c.Session == h.ID })
	if d.Holder == h.ID {
		d.Holder, d.Process, d.HolderInfo, d.Priority, d.TransferRequested = "", "", nil, 0, false
		s.leaseChanged()
		if grant {
			s.grant(d)
		}
	}
	s.removeIfUnused(d)
}

// removeIfUnused forgets a lease that nobody holds, wants or is kept from. Its name may be
// used again: fencing tokens are versions, so a later grant has a higher one all the same.
func (s *State) removeIfUnused(d *Lease) {
	if d.Holder == "" && len(d.Queue) == 0 && len(d.Blocked) == 0 {
		delete(s.leases.Leases, d.Name)
	}
}

func (s *State) leaseChanged() {
	s.version++
	s.leases.Changed = s.version
}

// next is the candidate that has a lease next, or -1.
func (d *Lease) next() int {
	best := -1
	better := func(a, b Candidate) bool {
		if (a.Process == d.Successor) != (b.Process == d.Successor) {
			return a.Process == d.Successor
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

// grant gives a free lease to the next in its queue.
func (s *State) grant(d *Lease) {
	i := d.next()
	if d.Holder != "" || i < 0 {
		return
	}
	c := d.Queue[i]
	d.Queue = slices.Delete(d.Queue, i, i+1)
	s.leaseChanged()
	word := s.leases.Sessions[c.Session].Info
	d.Holder = c.Session
	d.Process = c.Process
	d.HolderInfo = &word
	d.Priority = c.Priority
	d.Token = s.version
	d.Successor = ""
	s.preempt(d)
}

// preempt asks the holder to transfer if somebody waits who goes before it.
func (s *State) preempt(d *Lease) {
	if d.Holder == "" || d.TransferRequested {
		return
	}
	if i := d.next(); i >= 0 && d.Queue[i].Preempt && d.Queue[i].Priority > d.Priority {
		d.TransferRequested = true
		s.leaseChanged()
	}
}

func (s *State) campaign(c Command) Result {
	h, ok := s.leases.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: NotFound, Reason: "there is no session " + c.Session.ID}
	}
	for _, w := range c.Candidacies {
		d := s.leases.Leases[w.Lease]
		switch {
		case d == nil && len(s.leases.Leases) >= MaxLeases:
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("there are %d duties already", len(s.leases.Leases)),
			}
		case d == nil:
			d = &Lease{Name: w.Lease}
			s.leases.Leases[w.Lease] = d
		case h.Leases[w.Lease]:
			continue // it waits for it or has it already
		case len(d.Queue) >= MaxCandidates:
			return Result{Code: CapacityExceeded, Reason: fmt.Sprintf("%d wait for %s already", len(d.Queue), w.Lease)}
		}
		h.Leases[w.Lease] = true
		s.leaseChanged()
		d.Queue = append(
			d.Queue,
			Candidate{Session: h.ID, Process: h.Process, Priority: w.Priority, Preempt: w.Preempt, Since: s.version},
		)
		if slices.Contains(c.Grant, w.Lease) {
			s.grant(d)
		}
		s.preempt(d)
	}
	return Result{}
}

func (s *State) releaseLeases(c Command) Result {
	h, ok := s.leases.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: NotFound, Reason: "there is no session " + c.Session.ID}
	}
	for _, w := range c.Candidacies {
		if h.Leases[w.Lease] {
			s.leaveLease(h, w.Lease, slices.Contains(c.Grant, w.Lease))
		}
	}
	return Result{}
}

// transferLease asks a holder to transfer, to a certain process if one is named.
func (s *State) transferLease(c Command) Result {
	d, ok := s.leases.Leases[c.Name]
	if !ok || d.Holder == "" {
		return Result{Code: NotFound, Reason: "nobody holds " + c.Name}
	}
	if c.Process != "" &&
		!slices.ContainsFunc(d.Queue, func(k Candidate) bool { return k.Process == c.Process }) {
		return Result{Code: NotFound, Reason: fmt.Sprintf("%s does not wait for %s", c.Process, c.Name)}
	}
	if !d.TransferRequested || d.Successor != c.Process {
		d.TransferRequested, d.Successor = true, c.Process
		s.leaseChanged()
	}
	return Result{EntryVersion: d.Token}
}

// block keeps a process from a lease, or lets it again.
func (s *State) block(c Command) Result {
	d, ok := s.leases.Leases[c.Name]
	if !ok {
		if len(s.leases.Leases) >= MaxLeases {
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("there are %d duties already", len(s.leases.Leases)),
			}
		}
		d = &Lease{Name: c.Name}
		s.leases.Leases[c.Name] = d
	}
	is := slices.Contains(d.Blocked, c.Process)
	switch {
	case c.Enable && !is && len(d.Blocked) >= MaxCandidates:
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("%d processes are blocked already", len(d.Blocked)),
		}
	case c.Enable && !is:
		d.Blocked = append(d.Blocked, c.Process)
		s.leaseChanged()
		if d.Process == c.Process && d.Holder != "" && !d.TransferRequested {
			d.TransferRequested = true
			s.leaseChanged()
		}
	case !c.Enable && is:
		d.Blocked = slices.DeleteFunc(d.Blocked, func(p string) bool { return p == c.Process })
		s.leaseChanged()
	}
	s.removeIfUnused(d)
	return Result{}
}

package registry

// Commands that change sessions, leases and their queues.

import (
	"fmt"
	"maps"
	"slices"
)

// openSession opens a session, or changes the session if it is open.
func (s *State) openSession(c Command) Result {
	session := c.Session
	h, exists := s.leases.Sessions[session.ID]
	if !exists && len(s.leases.Sessions) >= MaxSessions {
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("there are %d sessions already", len(s.leases.Sessions)),
		}
	}
	if !exists {
		h = &openSession{Leases: map[string]bool{}}
		s.leases.Sessions[session.ID] = h
	}
	h.Session = *session
	return Result{}
}

// closeSession ends a session, releases its leases and removes it from all queues. Of the released leases,
// those in grant are granted to their next candidates.
func (s *State) closeSession(id string, grant []string) {
	h, ok := s.leases.Sessions[id]
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(h.Leases)) {
		s.removeFromLease(h, name, slices.Contains(grant, name))
	}
	delete(s.leases.Sessions, id)
}

// removeFromLease removes a session from a lease, as the holder or from the queue. If the session was the
// holder and grant is set, the lease is granted to the next candidate.
func (s *State) removeFromLease(h *openSession, name string, grant bool) {
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

// removeIfUnused deletes a lease that has no holder, no candidates and no blocked processes. The name can be
// used again: fencing tokens are versions, so a later grant still gets a higher token.
func (s *State) removeIfUnused(d *Lease) {
	if d.Holder == "" && len(d.Queue) == 0 && len(d.Blocked) == 0 {
		delete(s.leases.Leases, d.Name)
	}
}

// leaseChanged counts a change of a lease as a new version.
func (s *State) leaseChanged() {
	s.version++
	s.leases.Changed = s.version
}

// next returns the index in the queue of the candidate that is granted the lease next, or -1. The chosen
// successor comes first, then the highest priority, then the order of arrival; blocked processes are passed
// over.
func (d *Lease) next() int {
	best := -1
	better := func(a, b Candidate) bool {
		if (a.Process == d.Successor) != (b.Process == d.Successor) {
			return a.Process == d.Successor
		}
		return a.Priority > b.Priority // equal priorities stay in the order of arrival
	}
	for i, c := range d.Queue {
		if !slices.Contains(d.Blocked, c.Process) && (best < 0 || better(c, d.Queue[best])) {
			best = i
		}
	}
	return best
}

// grant gives a free lease to the next candidate in its queue, if there is one.
func (s *State) grant(d *Lease) {
	i := d.next()
	if d.Holder != "" || i < 0 {
		return
	}
	c := d.Queue[i]
	d.Queue = slices.Delete(d.Queue, i, i+1)
	s.leaseChanged()
	info := s.leases.Sessions[c.Session].Info
	d.Holder = c.Session
	d.Process = c.Process
	d.HolderInfo = &info
	d.Priority = c.Priority
	d.Token = s.version
	d.Successor = ""
	s.preempt(d)
}

// preempt asks the holder to transfer the lease if the next candidate has a higher priority and may preempt.
func (s *State) preempt(d *Lease) {
	if d.Holder == "" || d.TransferRequested {
		return
	}
	if i := d.next(); i >= 0 && d.Queue[i].Preempt && d.Queue[i].Priority > d.Priority {
		d.TransferRequested = true
		s.leaseChanged()
	}
}

// campaign adds a session to the queues of leases.
func (s *State) campaign(c Command) Result {
	h, ok := s.leases.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: NotFound, Reason: "there is no session " + c.Session.ID}
	}
	for _, candidacy := range c.Candidacies {
		d := s.leases.Leases[candidacy.Lease]
		switch {
		case d == nil && len(s.leases.Leases) >= MaxLeases:
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("there are %d duties already", len(s.leases.Leases)),
			}
		case d == nil:
			d = &Lease{Name: candidacy.Lease}
			s.leases.Leases[candidacy.Lease] = d
		case h.Leases[candidacy.Lease]:
			continue // the session waits for the lease or holds it already
		case len(d.Queue) >= MaxCandidates:
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("%d wait for %s already", len(d.Queue), candidacy.Lease),
			}
		}
		h.Leases[candidacy.Lease] = true
		s.leaseChanged()
		d.Queue = append(
			d.Queue,
			Candidate{
				Session:  h.ID,
				Process:  h.Process,
				Priority: candidacy.Priority,
				Preempt:  candidacy.Preempt,
				Since:    s.version,
			},
		)
		if slices.Contains(c.Grant, candidacy.Lease) {
			s.grant(d)
		}
		s.preempt(d)
	}
	return Result{}
}

// releaseLeases removes a session from leases that it holds or waits for.
func (s *State) releaseLeases(c Command) Result {
	h, ok := s.leases.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: NotFound, Reason: "there is no session " + c.Session.ID}
	}
	for _, candidacy := range c.Candidacies {
		if h.Leases[candidacy.Lease] {
			s.removeFromLease(h, candidacy.Lease, slices.Contains(c.Grant, candidacy.Lease))
		}
	}
	return Result{}
}

// transferLease asks the holder to transfer a lease, to the command's process if one is named.
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

// block forbids a process to hold a lease, or allows it again. If the process holds the lease it is asked to
// transfer it.
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
	blocked := slices.Contains(d.Blocked, c.Process)
	switch {
	case c.Enable && !blocked && len(d.Blocked) >= MaxCandidates:
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("%d processes are blocked already", len(d.Blocked)),
		}
	case c.Enable && !blocked:
		d.Blocked = append(d.Blocked, c.Process)
		s.leaseChanged()
		if d.Process == c.Process && d.Holder != "" && !d.TransferRequested {
			d.TransferRequested = true
			s.leaseChanged()
		}
	case !c.Enable && blocked:
		d.Blocked = slices.DeleteFunc(d.Blocked, func(p string) bool { return p == c.Process })
		s.leaseChanged()
	}
	s.removeIfUnused(d)
	return Result{}
}

package registry

// Commands that change sessions, leases and their queues.

import (
	"fmt"
	"maps"
	"slices"
)

// openSession opens a session or, if the session is open, replaces its process, TTL and process info.
func (s *State) openSession(c Command) Result {
	session := c.Session
	opened, exists := s.leases.Sessions[session.ID]
	if !exists && len(s.leases.Sessions) >= MaxSessions {
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("there are %d sessions already", len(s.leases.Sessions)),
		}
	}
	if !exists {
		opened = &openSession{Leases: map[string]bool{}}
		s.leases.Sessions[session.ID] = opened
	}
	opened.Session = *session
	return Result{}
}

// closeSession ends a session, releases its leases and removes it from all queues. It grants a released lease
// to the next candidate if the lease's name is in grant.
func (s *State) closeSession(id string, grant []string) {
	closed, ok := s.leases.Sessions[id]
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(closed.Leases)) {
		s.removeFromLease(closed, name, slices.Contains(grant, name))
	}
	delete(s.leases.Sessions, id)
}

// removeFromLease removes a session from a lease, as the holder or from the queue. If the session was the
// holder and grant is set, the lease is granted to the next candidate.
func (s *State) removeFromLease(session *openSession, name string, grant bool) {
	lease := s.leases.Leases[name]
	delete(session.Leases, name)
	lease.Queue = slices.DeleteFunc(lease.Queue, func(c Candidate) bool { return c.Session == session.ID })
	if lease.Holder == session.ID {
		lease.Holder, lease.Process, lease.HolderInfo, lease.Priority, lease.TransferRequested =
			"", "", nil, 0, false
		s.leaseChanged()
		if grant {
			s.grant(lease)
		}
	}
	s.removeIfUnused(lease)
}

// removeIfUnused deletes a lease that has no holder, no candidates and no blocked processes. A lease of the
// same name can be created later: fencing tokens are versions, so its grants get higher tokens.
func (s *State) removeIfUnused(lease *Lease) {
	if lease.Holder == "" && len(lease.Queue) == 0 && len(lease.Blocked) == 0 {
		delete(s.leases.Leases, lease.Name)
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
func (s *State) grant(lease *Lease) {
	i := lease.next()
	if lease.Holder != "" || i < 0 {
		return
	}
	candidate := lease.Queue[i]
	lease.Queue = slices.Delete(lease.Queue, i, i+1)
	s.leaseChanged()
	info := s.leases.Sessions[candidate.Session].Info
	lease.Holder = candidate.Session
	lease.Process = candidate.Process
	lease.HolderInfo = &info
	lease.Priority = candidate.Priority
	lease.Token = s.version
	lease.Successor = ""
	s.preempt(lease)
}

// preempt asks the holder to transfer the lease if the next candidate has a higher priority and may preempt.
func (s *State) preempt(lease *Lease) {
	if lease.Holder == "" || lease.TransferRequested {
		return
	}
	if i := lease.next(); i >= 0 && lease.Queue[i].Preempt && lease.Queue[i].Priority > lease.Priority {
		lease.TransferRequested = true
		s.leaseChanged()
	}
}

// campaign adds a session to the queues of leases.
func (s *State) campaign(c Command) Result {
	session, ok := s.leases.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: NotFound, Reason: "there is no session " + c.Session.ID}
	}
	for _, candidacy := range c.Candidacies {
		lease := s.leases.Leases[candidacy.Lease]
		switch {
		case lease == nil && len(s.leases.Leases) >= MaxLeases:
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("there are %d duties already", len(s.leases.Leases)),
			}
		case lease == nil:
			lease = &Lease{Name: candidacy.Lease}
			s.leases.Leases[candidacy.Lease] = lease
		case session.Leases[candidacy.Lease]:
			continue // the session waits for the lease or holds it already
		case len(lease.Queue) >= MaxCandidates:
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("%d wait for %s already", len(lease.Queue), candidacy.Lease),
			}
		}
		session.Leases[candidacy.Lease] = true
		s.leaseChanged()
		lease.Queue = append(
			lease.Queue,
			Candidate{
				Session:  session.ID,
				Process:  session.Process,
				Priority: candidacy.Priority,
				Preempt:  candidacy.Preempt,
				Since:    s.version,
			},
		)
		if slices.Contains(c.Grant, candidacy.Lease) {
			s.grant(lease)
		}
		s.preempt(lease)
	}
	return Result{}
}

// releaseLeases removes a session from leases that it holds or waits for.
func (s *State) releaseLeases(c Command) Result {
	session, ok := s.leases.Sessions[c.Session.ID]
	if !ok {
		return Result{Code: NotFound, Reason: "there is no session " + c.Session.ID}
	}
	for _, candidacy := range c.Candidacies {
		if session.Leases[candidacy.Lease] {
			s.removeFromLease(session, candidacy.Lease, slices.Contains(c.Grant, candidacy.Lease))
		}
	}
	return Result{}
}

// transferLease asks the holder to transfer a lease, and makes the command's process the successor if the
// command names one.
func (s *State) transferLease(c Command) Result {
	lease, ok := s.leases.Leases[c.Name]
	if !ok || lease.Holder == "" {
		return Result{Code: NotFound, Reason: "nobody holds " + c.Name}
	}
	if c.Process != "" &&
		!slices.ContainsFunc(
			lease.Queue, func(candidate Candidate) bool { return candidate.Process == c.Process }) {
		return Result{Code: NotFound, Reason: fmt.Sprintf("%s does not wait for %s", c.Process, c.Name)}
	}
	if !lease.TransferRequested || lease.Successor != c.Process {
		lease.TransferRequested, lease.Successor = true, c.Process
		s.leaseChanged()
	}
	return Result{EntryVersion: lease.Token}
}

// block forbids a process to hold a lease, or allows it again. A blocked process that holds the lease is
// asked to transfer it.
func (s *State) block(c Command) Result {
	lease, ok := s.leases.Leases[c.Name]
	if !ok {
		if len(s.leases.Leases) >= MaxLeases {
			return Result{
				Code:   CapacityExceeded,
				Reason: fmt.Sprintf("there are %d duties already", len(s.leases.Leases)),
			}
		}
		lease = &Lease{Name: c.Name}
		s.leases.Leases[c.Name] = lease
	}
	blocked := slices.Contains(lease.Blocked, c.Process)
	switch {
	case c.Enable && !blocked && len(lease.Blocked) >= MaxCandidates:
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("%d processes are blocked already", len(lease.Blocked)),
		}
	case c.Enable && !blocked:
		lease.Blocked = append(lease.Blocked, c.Process)
		s.leaseChanged()
		if lease.Process == c.Process && lease.Holder != "" && !lease.TransferRequested {
			lease.TransferRequested = true
			s.leaseChanged()
		}
	case !c.Enable && blocked:
		lease.Blocked = slices.DeleteFunc(lease.Blocked, func(p string) bool { return p == c.Process })
		s.leaseChanged()
	}
	s.removeIfUnused(lease)
	return Result{}
}

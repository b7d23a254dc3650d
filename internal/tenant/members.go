package tenant

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// updateMembers updates the member record: it adds proxies that have opened a session, and removes members
// that have left or must have stopped. A proxy serves nothing before the member record has it with its
// current generation and maximal staleness.
func (m *StateMachine) updateMembers(r *round) {
	m.members.Members = slices.DeleteFunc(slices.Clone(m.members.Members), func(member Member) bool {
		statuses := r.sessions[member.Name]
		if len(statuses) > 0 {
			delete(m.absentSince, member.Name)
			hasLeft := !slices.ContainsFunc(statuses, func(status Status) bool { return !status.Left })
			m.membersDirty = m.membersDirty || hasLeft
			return hasLeft
		}
		if _, known := m.absentSince[member.Name]; !known {
			m.absentSince[member.Name] = r.now
		}
		// a stopped member serves no tenant and has no requests in flight
		stopped := member.MaxStalenessMS > 0 &&
			m.absentFor(r, member) >= lengthened(member.MaxStaleness()+MaxDrain)+drainSlack
		m.membersDirty = m.membersDirty || stopped
		return stopped
	})
	for _, s := range r.Sessions {
		if s.Status.Left {
			continue
		}
		current := Member{s.Proxy, s.Status.Generation, s.Status.MaxStaleness.Milliseconds()}
		i, known := slices.BinarySearchFunc(
			m.members.Members,
			current,
			func(a, b Member) int { return cmp.Compare(a.Name, b.Name) },
		)
		switch {
		case !known && len(m.members.Members) < maxMembers:
			m.members.Members = slices.Insert(m.members.Members, i, current)
			m.membersDirty = true
		case known && m.members.Members[i].Generation < current.Generation:
			m.members.Members[i] = current
			m.membersDirty = true
		}
	}
	for _, t := range m.unsettled {
		m.membersDirty = m.membersDirty || t.ExpiresAt > 0 && m.clockAt(r.now)-m.members.Clock >= clockWriteInterval
	}
}

// absentFor returns for how long this controller has seen a member without a session.
func (m *StateMachine) absentFor(r *round, member Member) time.Duration {
	since, absent := m.absentSince[member.Name]
	if !absent {
		return 0
	}
	return r.now - since
}

// waitScope is the set of members that a tenant's step has to wait for.
type waitScope int

const (
	// waitAuthoritative waits for the members with a session. A member without a session has lost the authority
	// to decide that a tenant does not exist.
	waitAuthoritative waitScope = iota
	// waitAllMembers waits for all members. A member without a session is waited for until its maximal staleness
	// must have stopped it.
	waitAllMembers
	// waitDrained waits for the end of requests in flight at all members. A member without a session is waited
	// for until it must have cut them.
	waitDrained
)

// waitScope returns the set of members that a tenant in a state waits for.
func (s State) waitScope() waitScope {
	switch s {
	case Reserved:
		return waitAuthoritative
	case Draining:
		return waitDrained
	}
	return waitAllMembers
}

// membersBehind returns the members in a scope that have not yet reached a catalogue number. drain is the
// time that requests in flight have to end, for waitDrained.
func (m *StateMachine) membersBehind(
	r *round,
	number uint64,
	scope waitScope,
	drain time.Duration,
) (behind []string) {
	for _, member := range m.members.Members {
		statuses := r.sessions[member.Name]
		done := len(statuses) > 0 || scope == waitAuthoritative || m.hasStopped(r, member, scope, drain)
		for _, status := range statuses {
			reached := status.Prepared
			if scope == waitDrained {
				reached = status.DrainedUpTo
			}
			done = done && (reached >= number || status.Left)
		}
		if !done {
			behind = append(behind, member.Name)
		}
	}
	return behind
}

// hasStopped reports whether a member without a session must have stopped serving tenants or, for
// waitDrained, must have cut its requests in flight. It does not depend on the membership's view of the
// member.
func (m *StateMachine) hasStopped(r *round, member Member, scope waitScope, drain time.Duration) bool {
	absent := m.absentFor(r, member)
	if scope == waitDrained {
		return absent >= lengthened(member.MaxStaleness()+drain)+drainSlack
	}
	return member.MaxStalenessMS > 0 && absent >= lengthened(member.MaxStaleness())+drainSlack
}

// prepareTimeout returns how long an order may wait for proxies to prepare it: at least until all members
// without a session that have a maximal staleness must have stopped.
func (m *StateMachine) prepareTimeout() time.Duration {
	timeout := m.times.Prepare
	for _, member := range m.members.Members {
		if _, absent := m.absentSince[member.Name]; absent && member.MaxStalenessMS > 0 {
			timeout = max(timeout, lengthened(member.MaxStaleness())+drainSlack+m.times.Prepare)
		}
	}
	return timeout
}

// forgetMember removes a member from the member record by an operator's order.
func (m *StateMachine) forgetMember(r *round, order PendingOrder) {
	m.members.Members = slices.DeleteFunc(m.members.Members, func(member Member) bool {
		if member.Name != order.Name || len(r.sessions[member.Name]) > 0 { // a member with a session stays
			return false
		}
		m.membersDirty = true
		delete(m.absentSince, order.Name)
		return true
	})
	r.writes = append(r.writes, RecordWrite{Stage: stageCleanup, Key: order.Key, Version: order.Version})
}

// summarizeNames returns the first three names of a longer list and the number of the others, as text.
func summarizeNames(names []string) string {
	if len(names) > 3 {
		return fmt.Sprintf("%s, %s, %s and %d more", names[0], names[1], names[2], len(names)-3)
	}
	return fmt.Sprint(names)
}

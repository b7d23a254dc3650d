package tenant

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// updateMembers keeps the member record: who comes, who has left, who must have stopped. A proxy serves
// nothing before the member record has it in its present generation and hold.
func (m *StateMachine) updateMembers(r *round) {
	m.members.Members = slices.DeleteFunc(slices.Clone(m.members.Members), func(member Member) bool {
		words := r.sessions[member.Name]
		if len(words) > 0 {
			delete(m.absentSince, member.Name)
			left := !slices.ContainsFunc(words, func(w Status) bool { return !w.Left })
			m.membersDirty = m.membersDirty || left
			return left
		}
		if _, known := m.absentSince[member.Name]; !known {
			m.absentSince[member.Name] = r.now
		}
		// it serves nothing, and nothing is open there
		over := member.MaxStalenessMS > 0 &&
			m.absentFor(r, member) >= lengthened(member.MaxStaleness()+MaxDrain)+drainSlack
		m.membersDirty = m.membersDirty || over
		return over
	})
	for _, s := range r.Sessions {
		if s.Status.Left {
			continue
		}
		now := Member{s.Proxy, s.Status.Generation, s.Status.MaxStaleness.Milliseconds()}
		i, known := slices.BinarySearchFunc(
			m.members.Members,
			now,
			func(a, b Member) int { return cmp.Compare(a.Name, b.Name) },
		)
		switch {
		case !known && len(m.members.Members) < maxMembers:
			m.members.Members = slices.Insert(m.members.Members, i, now)
			m.membersDirty = true
		case known && m.members.Members[i].Generation < now.Generation:
			m.members.Members[i] = now
			m.membersDirty = true
		}
	}
	for _, t := range m.unsettled {
		m.membersDirty = m.membersDirty || t.ExpiresAt > 0 && m.clockAt(r.now)-m.members.Clock >= clockInterval
	}
}

// absentFor is how long a member has had no session, as this controller saw it.
func (m *StateMachine) absentFor(r *round, member Member) time.Duration {
	since, absent := m.absentSince[member.Name]
	if !absent {
		return 0
	}
	return r.now - since
}

// waitScope is who has to be waited for.
type waitScope int

const (
	// those that may say a definite no: members with a session; without one their right has run out
	waitAuthoritative waitScope = iota
	// all members; one without a session counts once its hold must have stopped it
	waitAllMembers
	// all members' requests in flight; one without a session counts once it must have cut them
	waitDrained
)

// waitScope is who a tenant in a state waits for.
func (s State) waitScope() waitScope {
	switch s {
	case Reserved:
		return waitAuthoritative
	case Draining:
		return waitDrained
	}
	return waitAllMembers
}

// membersBehind returns the members that are not yet at a number of the catalogue.
func (m *StateMachine) membersBehind(
	r *round,
	number uint64,
	n waitScope,
	drain time.Duration,
) (wait []string) {
	for _, member := range m.members.Members {
		words := r.sessions[member.Name]
		done := len(words) > 0 || n == waitAuthoritative || m.hasStopped(r, member, n, drain)
		for _, w := range words {
			at := w.Prepared
			if n == waitDrained {
				at = w.DrainedUpTo
			}
			done = done && (at >= number || w.Left)
		}
		if !done {
			wait = append(wait, member.Name)
		}
	}
	return wait
}

// hasStopped reports whether a member without a session must have stopped serving tenants, or have ended what
// it had open. Neither rests on membership.
func (m *StateMachine) hasStopped(r *round, member Member, n waitScope, drain time.Duration) bool {
	away := m.absentFor(r, member)
	if n == waitDrained {
		return away >= lengthened(member.MaxStaleness()+drain)+drainSlack
	}
	return member.MaxStalenessMS > 0 && away >= lengthened(member.MaxStaleness())+drainSlack
}

// prepareTimeout is how long an order may wait for proxies to prepare: at least until those
// that are away must have stopped, where they ever do.
func (m *StateMachine) prepareTimeout() time.Duration {
	most := m.times.Prepare
	for _, member := range m.members.Members {
		if _, absent := m.absentSince[member.Name]; absent && member.MaxStalenessMS > 0 {
			most = max(most, lengthened(member.MaxStaleness())+drainSlack+m.times.Prepare)
		}
	}
	return most
}

// forgetMember takes a member off the member record by an operator's order.
func (m *StateMachine) forgetMember(r *round, a PendingOrder) {
	m.members.Members = slices.DeleteFunc(m.members.Members, func(member Member) bool {
		if member.Name != a.Name || len(r.sessions[member.Name]) > 0 { // one that is there can't be forgotten
			return false
		}
		m.membersDirty = true
		delete(m.absentSince, a.Name)
		return true
	})
	r.writes = append(r.writes, RecordWrite{Stage: stageAfter, Key: a.Key, Version: a.Version})
}

// joinNames shortens a list of members for a line of text.
func joinNames(all []string) string {
	if len(all) > 3 {
		return fmt.Sprintf("%s, %s, %s and %d more", all[0], all[1], all[2], len(all)-3)
	}
	return fmt.Sprint(all)
}

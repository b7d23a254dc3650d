package tenant

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// enrol keeps the book: who comes, who has left, who must have stopped. A node serves
// nothing before the book has it in its present life and hold.
func (m *Machine) enrol(r *round) {
	m.book.Members = slices.DeleteFunc(slices.Clone(m.book.Members), func(member Member) bool {
		words := r.sessions[member.Name]
		if len(words) > 0 {
			delete(m.absent, member.Name)
			left := !slices.ContainsFunc(words, func(w Word) bool { return !w.Left })
			m.dirty = m.dirty || left
			return left
		}
		if _, known := m.absent[member.Name]; !known {
			m.absent[member.Name] = r.now
		}
		over := member.HoldMS > 0 && m.away(r, member) >= late(member.Hold()+MaxDrain)+cutSlack // it serves nothing, and nothing is open there
		m.dirty = m.dirty || over
		return over
	})
	for _, s := range r.Sessions {
		if s.Word.Left {
			continue
		}
		now := Member{s.Node, s.Word.Life, s.Word.Hold.Milliseconds()}
		i, known := slices.BinarySearchFunc(m.book.Members, now, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
		switch {
		case !known && len(m.book.Members) < enrolMost:
			m.book.Members = slices.Insert(m.book.Members, i, now)
			m.dirty = true
		case known && m.book.Members[i].Life < now.Life:
			m.book.Members[i] = now
			m.dirty = true
		}
	}
	for _, t := range m.live {
		m.dirty = m.dirty || t.Until > 0 && m.clockAt(r.now)-m.book.Clock >= clockEvery
	}
}

// away is how long a member has had no session, as this conductor saw it.
func (m *Machine) away(r *round, member Member) time.Duration {
	since, absent := m.absent[member.Name]
	if !absent {
		return 0
	}
	return r.now - since
}

// need is who has to be waited for.
type need int

const (
	needSure  need = iota // those that may say a definite no: members with a session; without one their right has run out
	needAll               // all members; one without a session counts once its hold must have stopped it
	needEnded             // all members' open requests; one without a session counts once it must have cut them
)

// need is who a tenant in a state waits for.
func (s State) need() need {
	switch s {
	case Reserved:
		return needSure
	case Draining:
		return needEnded
	}
	return needAll
}

// behind gives the members that are not yet at a number of the catalogue.
func (m *Machine) behind(r *round, number uint64, n need, drain time.Duration) (wait []string) {
	for _, member := range m.book.Members {
		words := r.sessions[member.Name]
		done := len(words) > 0 || n == needSure || m.stopped(r, member, n, drain)
		for _, w := range words {
			at := w.Prepared
			if n == needEnded {
				at = w.Ended
			}
			done = done && (at >= number || w.Left)
		}
		if !done {
			wait = append(wait, member.Name)
		}
	}
	return wait
}

// stopped tells whether a member without a session must have stopped serving tenants,
// or have ended what it had open. Neither rests on the view.
func (m *Machine) stopped(r *round, member Member, n need, drain time.Duration) bool {
	away := m.away(r, member)
	if n == needEnded {
		return away >= late(member.Hold()+drain)+cutSlack
	}
	return member.HoldMS > 0 && away >= late(member.Hold())+cutSlack
}

// patience is how long an order may wait for nodes to prepare: at least until those
// that are away must have stopped, where they ever do.
func (m *Machine) patience() time.Duration {
	most := m.times.Prepare
	for _, member := range m.book.Members {
		if _, absent := m.absent[member.Name]; absent && member.HoldMS > 0 {
			most = max(most, late(member.Hold())+cutSlack+m.times.Prepare)
		}
	}
	return most
}

// forget takes a member off the book by an operator's word.
func (m *Machine) forget(r *round, a Ask) {
	m.book.Members = slices.DeleteFunc(m.book.Members, func(member Member) bool {
		if member.Name != a.Name || len(r.sessions[member.Name]) > 0 { // one that is there can't be forgotten
			return false
		}
		m.dirty = true
		delete(m.absent, a.Name)
		return true
	})
	r.puts = append(r.puts, Put{Stage: stageAfter, Key: a.Key, Version: a.Version})
}

// names shortens a list of members for a line of text.
func names(all []string) string {
	if len(all) > 3 {
		return fmt.Sprintf("%s, %s, %s and %d more", all[0], all[1], all[2], len(all)-3)
	}
	return fmt.Sprint(all)
}

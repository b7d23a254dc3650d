package quota

import (
	"slices"
	"time"
)

// member is a node as the holder knows it: enrolled, or heard of.
type member struct {
	name    string
	life    uint64
	table   uint64
	entries map[int32]*entry // by the limit's index

	seat      Seat // its safe share is counted by
	seated    bool
	confirmed bool          // the record holds it, or one around it
	since     time.Duration // its safe share has been counted, in its present life
	first     time.Duration // and in any
	smaller   bool          // it is being told a seat of half the size
	smallerAt uint32        // in the grant that told it first

	number    uint32 // of the last grant
	grants    [32]told
	voidUntil time.Duration // its safe share is at rest at least so long
}

// told is a grant as the holder remembers it.
type told struct {
	number uint32
	at     time.Duration // when it was sent
	base   time.Duration // its claim was sent after this
	void   bool
}

func (m *member) told(number uint32) (told, bool) {
	t := m.grants[number%uint32(len(m.grants))]
	return t, number > 0 && t.number == number
}

// member gives the one that a claim comes from. A new life starts with nothing told: its safe share counts from now
// on, beside what is left of the former life's leases.
func (a *Apportioner) member(c claim) *member {
	at, m := a.find(c.name)
	if m == nil {
		if len(a.members) >= MostNodes || slices.Contains(a.gone, leave{c.life, c.name}) {
			return nil
		}
		m = &member{name: c.name, life: c.life, entries: map[int32]*entry{}, since: a.now, first: a.now}
		a.members = slices.Insert(a.members, at, m)
	}
	switch {
	case c.life < m.life:
		return nil
	case c.life > m.life && m.life != 0:
		m.voidUntil, m.since, m.smaller = 0, a.now, false
		m.grants = [32]told{}
		a.stamp++
		for i, e := range m.entries {
			if a.limits.all[i].open { // its requests ended with it
				e.cur, e.out = lease{}, 0
				e.old = lease{}
			}
			e.old, e.cur, e.kept, e.claimed, e.number = e.envelope(a.now), lease{}, false, 0, 0
		}
	}
	m.life = c.life
	return m
}

// heard takes what a claim's echo proves: the node has taken that grant, and so no older one, and has its safe share
// at rest for a while after that grant's claim, which it sent after the grant that the claim echoed.
func (a *Apportioner) heard(m *member, c claim) (base time.Duration) {
	m.table = max(m.table, c.table)
	t, known := m.told(c.echo)
	if !known {
		return 0
	}
	if t.void && t.base > 0 {
		m.voidUntil = max(m.voidUntil, t.base+a.t.under(a.t.void))
	}
	if m.smaller && c.echo >= m.smallerAt {
		m.seat, m.smaller, a.dirty = m.seat.halved(), false, true // the record's covers it
		a.stamp++
	}
	return t.at
}

// safe is what the node may have of a limit without any lease, by the larger of the two tables that it may know.
func (a *Apportioner) safe(m *member, i int32) size {
	if !m.seated {
		return size{}
	}
	l := &a.limits.all[i]
	s := l.safe(m.seat, true)
	if m.table < a.limits.version {
		if was, there := a.before.byHash[l.hash]; there {
			s = s.most(a.before.all[was].safe(m.seat, true))
		}
	}
	return s
}

// resting says whether the node's safe share may be lent: it stays at rest for longer than any lease can live that
// is granted now.
func (a *Apportioner) resting(m *member) bool { return a.now+a.t.settled()+2*sumEvery <= m.voidUntil }

// count is the most that the member may have of a limit: what any grant gave that it may still live by, and its
// safe share unless that is at rest. The room of the safe share's bucket always counts.
func (a *Apportioner) count(m *member, i int32) size {
	e := m.entries[i]
	safe := a.safe(m, i)
	if !a.limits.all[i].open && a.resting(m) && (e == nil || !e.kept) {
		safe.rate = 0
	}
	if e == nil {
		return safe
	}
	held := e.envelope(a.now)
	if a.now < e.seen+a.t.leased()+a.t.longer {
		held.rate = max(held.rate, e.out)
	}
	return size{max(held.rate, safe.rate), max(held.burst, safe.burst)}
}

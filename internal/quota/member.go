package quota

import (
	"slices"
	"time"
)

// member is a proxy as the allocator knows it: enrolled, or heard of.
type member struct {
	name         string
	generation   uint64
	tableVersion uint64
	shares       map[int32]*memberShare // by the limit's index

	slot                Slot // its fallback share is counted by
	hasSlot             bool
	confirmed           bool          // the record holds it, or one around it
	fallbackSince       time.Duration // its fallback share has been counted, in its present generation
	firstFallbackAt     time.Duration // and in any
	shrinking           bool          // it is being notified of a slot of half the size
	shrinkingSinceGrant uint32        // in the grant that notified it first

	number                 uint32 // of the last grant
	grants                 [32]sentGrant
	fallbackSuspendedUntil time.Duration // its fallback share is suspended at least so long
}

// sentGrant is a grant as the allocator remembers it.
type sentGrant struct {
	number            uint32
	at                time.Duration // when it was sent
	base              time.Duration // its claim was sent after this
	fallbackSuspended bool
}

func (m *member) sentGrant(number uint32) (sentGrant, bool) {
	t := m.grants[number%uint32(len(m.grants))]
	return t, number > 0 && t.number == number
}

// member returns the one that a claim comes from. A new generation starts without grants: its fallback share
// counts from now on, beside what is left of the previous generation's leases.
func (a *Allocator) member(c claim) *member {
	at, m := a.find(c.name)
	if m == nil {
		if len(a.members) >= MaxProxies || slices.Contains(a.departed, leave{c.generation, c.name}) {
			return nil
		}
		m = &member{
			name:            c.name,
			generation:      c.generation,
			shares:          map[int32]*memberShare{},
			fallbackSince:   a.now,
			firstFallbackAt: a.now,
		}
		a.members = slices.Insert(a.members, at, m)
	}
	switch {
	case c.generation < m.generation:
		return nil
	case c.generation > m.generation && m.generation != 0:
		m.fallbackSuspendedUntil, m.fallbackSince, m.shrinking = 0, a.now, false
		m.grants = [32]sentGrant{}
		a.revision++
		for i, e := range m.shares {
			if a.limits.all[i].concurrency { // its requests ended with it
				e.current, e.inFlight = shareLease{}, 0
				e.older = shareLease{}
			}
			e.older, e.current, e.fallbackAtOnce, e.claimed, e.number = e.envelope(a.now), shareLease{}, false, 0, 0
		}
	}
	m.generation = c.generation
	return m
}

// grantConfirmed takes what a claim's echo proves: the proxy has taken that grant, and so no older one, and
// has its fallback share suspended for a while after that grant's claim, which it sent after the grant that
// the claim echoed.
func (a *Allocator) grantConfirmed(m *member, c claim) (base time.Duration) {
	m.tableVersion = max(m.tableVersion, c.table)
	t, known := m.sentGrant(c.lastGrant)
	if !known {
		return 0
	}
	if t.fallbackSuspended && t.base > 0 {
		m.fallbackSuspendedUntil = max(m.fallbackSuspendedUntil, t.base+a.times.atLeast(a.times.fallbackSuspension))
	}
	if m.shrinking && c.lastGrant >= m.shrinkingSinceGrant {
		m.slot, m.shrinking, a.recordDirty = m.slot.halved(), false, true // the record's covers it
		a.revision++
	}
	return t.at
}

// fallback is what the proxy may have of a limit without any lease, by the larger of the two tables that it
// may know.
func (a *Allocator) fallback(m *member, i int32) size {
	if !m.hasSlot {
		return size{}
	}
	l := &a.limits.all[i]
	s := l.fallback(m.slot, true)
	if m.tableVersion < a.limits.version {
		if was, there := a.previousLimits.byHash[l.hash]; there {
			s = s.max(a.previousLimits.all[was].fallback(m.slot, true))
		}
	}
	return s
}

// fallbackSuspended reports whether the proxy's fallback share may be lent: it stays suspended for longer
// than any lease can live that is granted now.
func (a *Allocator) fallbackSuspended(m *member) bool {
	return a.now+a.times.settleTime()+2*sumInterval <= m.fallbackSuspendedUntil
}

// maxShare is the most that the member may have of a limit: what any grant gave that it may still live by,
// and its fallback share unless that is suspended. The capacity of the fallback share's bucket always counts.
func (a *Allocator) maxShare(m *member, i int32) size {
	e := m.shares[i]
	safe := a.fallback(m, i)
	if !a.limits.all[i].concurrency && a.fallbackSuspended(m) && (e == nil || !e.fallbackAtOnce) {
		safe.rate = 0
	}
	if e == nil {
		return safe
	}
	held := e.envelope(a.now)
	if a.now < e.claimedAt+a.times.countedLease()+a.times.maxRequestTime {
		held.rate = max(held.rate, e.inFlight)
	}
	return size{max(held.rate, safe.rate), max(held.burst, safe.burst)}
}

package quota

import "time"

// sumInterval is how long a limit's sum is used before it is made anew. In between only what is granted
// changes it: shares that run out make it smaller, which may wait, and fallback shares that wake are counted
// for twice as long before they do (fallbackSuspended).
const sumInterval = 50 * time.Millisecond

// sum is what all members may have of a limit together.
type sum struct {
	all      size
	at       time.Duration
	revision int // of the members and the table that it was made of
}

// othersShare is what all members but one may have of a limit, which has a share in it.
func (a *Allocator) othersShare(i int32, e *memberShare) size {
	all := a.withSum(i).sum.all
	return size{max(all.rate-e.counted.rate, 0), max(all.burst-e.counted.burst, 0)}
}

func (a *Allocator) withSum(i int32) *allocation {
	s := a.allocation(i)
	if s.sum.revision != a.revision || a.now-s.sum.at > sumInterval {
		a.renewSum(i, s)
	}
	return s
}

// renewSum goes through all members. Room for all tokens of the fallback shares is set aside, whoever has
// them.
func (a *Allocator) renewSum(i int32, s *allocation) {
	l := &a.limits.all[i]
	all := size{burst: max(l.burst-a.unclaimed(i).burst, 0)}
	for _, m := range a.members {
		if m.hasSlot && (l.concurrency || !a.fallbackSuspended(m)) {
			all.rate += a.fallback(m, i).rate
		}
	}
	for _, e := range s.shares {
		e.counted = a.maxShare(e.member, i)
		all = all.plus(a.beyondFallback(e, i))
	}
	s.sum = sum{all, a.now, a.revision}
}

// updateCounted brings one member's part up to date.
func (a *Allocator) updateCounted(i int32, e *memberShare) {
	s := a.withSum(i)
	now := a.maxShare(e.member, i)
	s.sum.all = s.sum.all.plus(size{now.rate - e.counted.rate, now.burst - e.counted.burst})
	e.counted = now
}

// beyondFallback is what the member may have on top of what counts for it without any grant.
func (a *Allocator) beyondFallback(e *memberShare, i int32) size {
	safe, all := a.fallback(e.member, i), a.maxShare(e.member, i)
	if !a.limits.all[i].concurrency && a.fallbackSuspended(e.member) {
		safe.rate = 0
	}
	return size{max(all.rate-safe.rate, 0), max(all.burst-safe.burst, 0)}
}

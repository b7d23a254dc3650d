package quota

import "time"

// sumEvery is how long a limit's sum is used before it is made anew. In between only what is granted changes it:
// shares that run out make it smaller, which may wait, and safe shares that wake are counted for twice as long
// before they do (resting).
const sumEvery = 50 * time.Millisecond

// sum is what all members may have of a limit together.
type sum struct {
	all   size
	at    time.Duration
	stamp int // of the members and the table that it was made of
}

// others is what all members but one may have of a limit, which has a share in it.
func (a *Apportioner) others(i int32, e *entry) size {
	all := a.summed(i).sum.all
	return size{max(all.rate-e.counted.rate, 0), max(all.burst-e.counted.burst, 0)}
}

func (a *Apportioner) summed(i int32) *stock {
	s := a.stock(i)
	if s.sum.stamp != a.stamp || a.now-s.sum.at > sumEvery {
		a.resum(i, s)
	}
	return s
}

// resum goes through all members. Room for all tokens of the safe shares is set aside, whoever has them.
func (a *Apportioner) resum(i int32, s *stock) {
	l := &a.limits.all[i]
	all := size{burst: max(l.burst-a.idle(i).burst, 0)}
	for _, m := range a.members {
		if m.seated && (l.open || !a.resting(m)) {
			all.rate += a.safe(m, i).rate
		}
	}
	for _, e := range s.entries {
		e.counted = a.count(e.of, i)
		all = all.plus(a.beyond(e, i))
	}
	s.sum = sum{all, a.now, a.stamp}
}

// recount brings one member's part up to date.
func (a *Apportioner) recount(i int32, e *entry) {
	s := a.summed(i)
	now := a.count(e.of, i)
	s.sum.all = s.sum.all.plus(size{now.rate - e.counted.rate, now.burst - e.counted.burst})
	e.counted = now
}

// beyond is what the member may have on top of what counts for it without any grant.
func (a *Apportioner) beyond(e *entry, i int32) size {
	safe, all := a.safe(e.of, i), a.count(e.of, i)
	if !a.limits.all[i].open && a.resting(e.of) {
		safe.rate = 0
	}
	return size{max(all.rate-safe.rate, 0), max(all.burst-safe.burst, 0)}
}

package quota

import (
	"cmp"
	"slices"
	"time"
)

// entry is what a member has of one limit, by grants.
type entry struct {
	of      *member
	cur     lease // by the last grant
	old     lease // the most by all earlier ones that the node may still live by
	number  uint32
	kept    bool   // without a lease it may have its safe share at once, by any grant that may be the last taken
	curKept bool   // by the last
	claimed uint32 // the number of the newest claim
	seen    time.Duration
	demand  float64
	out     float64 // open requests, as claimed
	goal    size
	counted size // in the limit's sum
}

type lease struct {
	size
	until time.Duration
}

func (l lease) most(o lease) lease { return lease{l.size.most(o.size), max(l.until, o.until)} }

// envelope is the most of the leases that may be alive.
func (e *entry) envelope(now time.Duration) lease {
	var most lease
	for _, l := range [...]lease{e.cur, e.old} {
		if now < l.until {
			most = most.most(l)
		}
	}
	return most
}

// granted notes a new lease. The node may live by an older one until it says that it has taken this one.
func (e *entry) granted(now time.Duration, number uint32, s lease, kept bool) {
	e.old, e.cur, e.number = e.envelope(now), s, number
	e.curKept, e.kept = kept, e.kept || kept
}

// taken notes that the node has taken the last grant: it lives by no older one.
func (e *entry) taken(number uint32) {
	if number == e.number && number > 0 {
		e.old, e.kept = lease{}, e.curKept
	}
}

// stock is one limit as the holder keeps it: who has a share, and what nobody has, in a bucket of its own. Tokens go
// from there with the room that a grant adds to a node's bucket.
type stock struct {
	entries []*entry // by the members' names
	tokens  float64
	at      time.Duration // as of
	spare   size          // that nobody had since then
	sum     sum
}

// stock gives a limit's, which has been idle if there is none yet.
func (a *Apportioner) stock(i int32) *stock {
	s := a.stocks[i]
	if s == nil {
		s = &stock{at: max(a.freeAt, a.tableAt), spare: a.idle(i)}
		a.stocks[i] = s
	}
	return s
}

// idle is what nobody can have of a limit in which no member has a share.
func (a *Apportioner) idle(i int32) size {
	l := &a.limits.all[i]
	rate, pool := l.safeRate, l.safeTokens
	if was, there := a.before.byHash[l.hash]; there {
		rate, pool = max(rate, a.before.all[was].safeRate), max(pool, a.before.all[was].safeTokens)
	}
	return size{max(l.rate-rate, 0), max(l.burst-float64(pool), 0)}
}

func (s *stock) place(name string) (int, bool) {
	return slices.BinarySearchFunc(s.entries, name, func(e *entry, n string) int { return cmp.Compare(e.of.name, n) })
}

func (s *stock) add(e *entry) {
	if at, there := s.place(e.of.name); !there {
		s.entries = slices.Insert(s.entries, at, e)
		s.sum.stamp = 0
	}
}

func (a *Apportioner) drop(i int32, e *entry) {
	s := a.stock(i)
	if at, there := s.place(e.of.name); there {
		s.fill(a.now, a.t.lease)
		s.entries = slices.Delete(s.entries, at, at+1)
		s.sum.stamp = 0
		if len(s.entries) == 0 {
			s.spare = a.idle(i)
		}
	}
	delete(e.of.entries, i)
}

// fill brings the stock's bucket up to now. While members have shares, what was spare is so for a lease at most.
func (s *stock) fill(now time.Duration, lease time.Duration) {
	if now <= s.at {
		return
	}
	since := now - s.at
	if len(s.entries) > 0 {
		since = min(since, lease)
	}
	s.tokens = min(s.tokens+s.spare.rate*since.Seconds(), s.spare.burst)
	s.at = now
}

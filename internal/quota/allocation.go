package quota

import (
	"cmp"
	"slices"
	"time"
)

// memberShare is what a member has of one limit, by grants.
type memberShare struct {
	member  *member
	current shareLease // by the last grant
	older   shareLease // the most by all earlier ones that the proxy may still live by
	number  uint32
	// without a lease it may have its fallback share at once, by any grant that may be the last taken
	fallbackAtOnce        bool
	currentFallbackAtOnce bool   // by the last
	claimed               uint32 // the number of the newest claim
	claimedAt             time.Duration
	demand                float64
	inFlight              float64 // requests in flight, as claimed
	goal                  size
	counted               size // in the limit's sum
}

type shareLease struct {
	size
	until time.Duration
}

func (l shareLease) max(o shareLease) shareLease {
	return shareLease{l.size.max(o.size), max(l.until, o.until)}
}

// envelope is the most of the leases that may be alive.
func (e *memberShare) envelope(now time.Duration) shareLease {
	var most shareLease
	for _, l := range [...]shareLease{e.current, e.older} {
		if now < l.until {
			most = most.max(l)
		}
	}
	return most
}

// grant notes a new lease. The proxy may live by an older one until it says that it has taken this one.
func (e *memberShare) grant(now time.Duration, number uint32, s shareLease, kept bool) {
	e.older, e.current, e.number = e.envelope(now), s, number
	e.currentFallbackAtOnce, e.fallbackAtOnce = kept, e.fallbackAtOnce || kept
}

// confirm notes that the proxy has taken the last grant: it lives by no older one.
func (e *memberShare) confirm(number uint32) {
	if number == e.number && number > 0 {
		e.older, e.fallbackAtOnce = shareLease{}, e.currentFallbackAtOnce
	}
}

// allocation is one limit as the allocator keeps it: who has a share, and what nobody has, in a bucket of its
// own. Tokens go from there with the capacity that a grant adds to a proxy's bucket.
type allocation struct {
	shares   []*memberShare // by the members' names
	tokens   float64
	filledAt time.Duration // as of
	spare    size          // that nobody had since then
	sum      sum
}

// allocation returns a limit's, which has been idle if there is none yet.
func (a *Allocator) allocation(i int32) *allocation {
	s := a.allocations[i]
	if s == nil {
		s = &allocation{filledAt: max(a.formerLeasesEnd, a.tableSince), spare: a.unclaimed(i)}
		a.allocations[i] = s
	}
	return s
}

// unclaimed is what nobody can have of a limit in which no member has a share.
func (a *Allocator) unclaimed(i int32) size {
	l := &a.limits.all[i]
	rate, pool := l.fallbackRate, l.fallbackTokens
	if was, there := a.previousLimits.byHash[l.hash]; there {
		rate, pool = max(
			rate,
			a.previousLimits.all[was].fallbackRate,
		), max(
			pool,
			a.previousLimits.all[was].fallbackTokens,
		)
	}
	return size{max(l.rate-rate, 0), max(l.burst-float64(pool), 0)}
}

func (s *allocation) find(name string) (int, bool) {
	return slices.BinarySearchFunc(
		s.shares,
		name,
		func(e *memberShare, n string) int { return cmp.Compare(e.member.name, n) },
	)
}

func (s *allocation) add(e *memberShare) {
	if at, there := s.find(e.member.name); !there {
		s.shares = slices.Insert(s.shares, at, e)
		s.sum.revision = 0
	}
}

func (a *Allocator) dropShare(i int32, e *memberShare) {
	s := a.allocation(i)
	if at, there := s.find(e.member.name); there {
		s.refill(a.now, a.times.lease)
		s.shares = slices.Delete(s.shares, at, at+1)
		s.sum.revision = 0
		if len(s.shares) == 0 {
			s.spare = a.unclaimed(i)
		}
	}
	delete(e.member.shares, i)
}

// refill brings the allocation's bucket up to now. While members have shares, what was spare is so for a
// lease at most.
func (s *allocation) refill(now time.Duration, lease time.Duration) {
	if now <= s.filledAt {
		return
	}
	since := now - s.filledAt
	if len(s.shares) > 0 {
		since = min(since, lease)
	}
	s.tokens = min(s.tokens+s.spare.rate*since.Seconds(), s.spare.burst)
	s.filledAt = now
}

package lease

import (
	"math"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Times of a session. If clock rates are off by maxClockDrift at most, a session that was renewed can't
// expire by the registry's clock before TTL/(1+drift) of true time has passed. On this process's clock that
// is TTL*(1-drift)/(1+drift) at least, of which TTL/stopFraction is left for work to stop in.
const (
	// DefaultTTL is the time after which others get the leases of a process that does not renew its session.
	DefaultTTL    = 4 * time.Second
	maxClockDrift = 0.01
	stopFraction  = 8
)

// safeDuration is how long after a renewal was sent work may go on.
func safeDuration(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)*(1-maxClockDrift)/(1+maxClockDrift)) - ttl/stopFraction
}

const (
	minBackoff = time.Second // before a campaign after work that failed; doubles
	maxBackoff = time.Minute // the longest such wait; work that ran for longer resets it
	// before a process that may preempt others campaigns after it was asked to transfer
	transferBackoff = 10 * time.Second
)

// core decides what a process's session does. It is pure: times are of the process's own monotonic clock.
// Methods tell it what has happened, and step returns what is to be done. It is not safe for concurrent use.
type core struct {
	ttl           time.Duration
	open          bool          // the session exists, as far as is known
	renewalSentAt time.Duration // of the last renewal that was answered
	safeUntil     time.Duration // work may go on until then
	index         uint64        // of the last answer on leases
	epoch         string        // the same
	candidacies   []*candidacy  // in the order in which they were added
	closing       bool          // leases are to be released, by their release order
}

// candidacy is one lease that this process wants to hold.
type candidacy struct {
	spec         registry.Candidacy
	releaseOrder int // when the process closes, those of a higher order are released first

	registered        bool          // the registry has it: it waits for the lease or holds it
	token             uint64        // fencing token under which it holds the lease; 0: it does not
	grantedAt         time.Duration // when that was learned
	releasedToken     uint64        // the highest token that was released
	transferRequested bool

	releasing bool // the lease is to be released before anything else
	cancelled bool // nobody wants the lease any more

	runningToken    uint64        // of the work that runs; 0: none does
	stopRequestedAt time.Duration // when its context was cancelled; 0: it was not
	startedAt       time.Duration // when it was started

	callPending    bool // a campaign or a release is under way
	backoff        time.Duration
	nextCampaignAt time.Duration // no campaign before
}

// actionKind is what an action does.
type actionKind int

const (
	startWork actionKind = iota
	stopWork
	campaign
	releaseLease
)

// action is one thing to be done for a candidacy.
type action struct {
	kind      actionKind
	candidacy *candidacy
	token     uint64 // that it is about; 0 for a campaign
}

// add begins to want a lease.
func (c *core) add(spec registry.Candidacy, releaseOrder int) *candidacy {
	added := &candidacy{spec: spec, releaseOrder: releaseOrder, backoff: minBackoff}
	c.candidacies = append(c.candidacies, added)
	return added
}

// remove forgets a candidacy that is over.
func (c *core) remove(over *candidacy) {
	c.candidacies = slices.DeleteFunc(c.candidacies, func(other *candidacy) bool { return other == over })
}

// isOver reports whether a candidacy has ended and nothing is left of it to be stopped or released.
func (c *core) isOver(one *candidacy) bool {
	ended := one.cancelled || c.closing
	return ended && one.runningToken == 0 && !one.callPending && (!one.registered || !c.open)
}

// holds reports whether the lease is held now, beyond doubt: a renewal that was sent after the grant was
// learned has been answered, and its time is not up.
func (c *core) holds(one *candidacy, now time.Duration) bool {
	return c.open && one.token > one.releasedToken && c.renewalSentAt >= one.grantedAt && now < c.safeUntil
}

// needsRenewal reports whether a renewal now would confirm a grant.
func (c *core) needsRenewal() bool {
	return slices.ContainsFunc(c.candidacies, func(one *candidacy) bool {
		return c.open && one.token > one.releasedToken && c.renewalSentAt < one.grantedAt
	})
}

// step returns what is to be done now.
func (c *core) step(now time.Duration) (actions []action) {
	order := c.highestReleaseOrder()
	for _, one := range c.candidacies {
		if next, ok := c.stepOne(now, one, order); ok {
			actions = append(actions, next)
		}
	}
	return actions
}

// stepOne returns what is to be done for one candidacy, if anything. releaseOrder is the one whose turn it is
// while the process closes.
func (c *core) stepOne(now time.Duration, one *candidacy, releaseOrder int) (next action, ok bool) {
	leaves := one.cancelled || one.releasing || one.transferRequested ||
		c.closing && one.releaseOrder >= releaseOrder
	switch {
	case one.runningToken != 0:
		mustStop := leaves || one.token != one.runningToken || !c.holds(one, now)
		if one.stopRequestedAt != 0 || !mustStop {
			return action{}, false
		}
		one.stopRequestedAt = max(now, 1) // 0 stands for never
		return action{stopWork, one, one.runningToken}, true
	case !c.open || one.callPending:
		return action{}, false
	case leaves && one.registered:
		one.callPending = true
		return action{releaseLease, one, one.token}, true
	case leaves:
		one.releasing = false // there is nothing to release
		return action{}, false
	case c.closing: // its turn to be released has not come
		return action{}, false
	case c.holds(one, now):
		one.runningToken = one.token
		one.startedAt = now
		return action{startWork, one, one.token}, true
	case !one.registered && now >= one.nextCampaignAt:
		one.callPending = true
		return action{campaign, one, 0}, true
	}
	return action{}, false
}

// highestReleaseOrder is that of the candidacies of which something is left to be stopped or released.
func (c *core) highestReleaseOrder() int {
	highest := math.MinInt
	for _, one := range c.candidacies {
		if !c.isOver(one) {
			highest = max(highest, one.releaseOrder)
		}
	}
	return highest
}

// nextStepAt is the time at which step may have something to do without anything having happened.
func (c *core) nextStepAt(now time.Duration) time.Duration {
	at := now + c.ttl
	if c.safeUntil > now {
		at = min(at, c.safeUntil)
	}
	for _, one := range c.candidacies {
		if one.nextCampaignAt > now {
			at = min(at, one.nextCampaignAt)
		}
	}
	return at
}

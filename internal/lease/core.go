package lease

import (
	"math"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Times of a session. Clock rates are assumed to be off by at most maxClockDrift. A renewed session then
// can't expire by the registry's clock before TTL/(1+drift) of true time has passed, which is at least
// TTL*(1-drift)/(1+drift) on this process's clock. Work is cancelled TTL/stopFraction before the end of that
// time, so that it can stop.
const (
	// DefaultTTL is the time after which the leases of a process that does not renew its session are granted to
	// other processes.
	DefaultTTL    = 4 * time.Second
	maxClockDrift = 0.01
	stopFraction  = 8
)

// safeDuration returns how long work may continue after a renewal was sent.
func safeDuration(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)*(1-maxClockDrift)/(1+maxClockDrift)) - ttl/stopFraction
}

const (
	minBackoff = time.Second // wait after the first failure of work, before the next campaign; doubles
	maxBackoff = time.Minute // the longest such wait; work that ran for longer resets the wait
	// transferBackoff is the wait of a process that may preempt others, between a requested transfer and its
	// next campaign.
	transferBackoff = 10 * time.Second
)

// core decides what a process's session does. It does no I/O; times are of the process's own monotonic clock.
// Its methods record events, and step returns the actions to carry out. It is not safe for concurrent use.
type core struct {
	ttl           time.Duration
	open          bool          // the session exists, as far as is known
	renewalSentAt time.Duration // when the last renewal that was answered had been sent
	safeUntil     time.Duration // until when work may continue
	index         uint64        // index of the last accepted response on leases
	epoch         string        // epoch of the last accepted response on leases
	candidacies   []*candidacy  // in the order in which they were added
	closing       bool          // leases are to be released, by their release order
}

// candidacy is a lease that this process wants to hold, and its state.
type candidacy struct {
	spec         registry.Candidacy
	releaseOrder int // when the session closes, leases of a higher order are released first

	registered        bool          // the session waits for the lease or holds it, according to the registry
	token             uint64        // fencing token under which the session holds the lease; 0: not held
	grantedAt         time.Duration // when this process learned of the grant
	releasedToken     uint64        // the highest token that was released
	transferRequested bool          // the registry asks this process to transfer the lease

	releasing bool // the lease is to be released before anything else
	cancelled bool // the lease is not wanted any more

	runningToken    uint64        // token of the running work; 0: no work runs
	stopRequestedAt time.Duration // when the context of the work was cancelled; 0: not cancelled
	startedAt       time.Duration // when the work was started

	callPending    bool          // a call that campaigns for the lease or releases it is in progress
	backoff        time.Duration // wait after the next failure of the work
	nextCampaignAt time.Duration // earliest time of the next campaign
}

// actionKind is the kind of an action.
type actionKind int

const (
	startWork actionKind = iota
	stopWork
	campaign
	releaseLease
)

// action is an action to carry out for a candidacy.
type action struct {
	kind      actionKind
	candidacy *candidacy
	token     uint64 // token of the lease to be worked under or released; 0 for a campaign
}

// add adds a candidacy.
func (c *core) add(spec registry.Candidacy, releaseOrder int) *candidacy {
	added := &candidacy{spec: spec, releaseOrder: releaseOrder, backoff: minBackoff}
	c.candidacies = append(c.candidacies, added)
	return added
}

// remove removes a candidacy that is over.
func (c *core) remove(cand *candidacy) {
	c.candidacies = slices.DeleteFunc(c.candidacies, func(other *candidacy) bool { return other == cand })
}

// isOver reports whether a candidacy has ended, its work has stopped and its lease is released.
func (c *core) isOver(cand *candidacy) bool {
	ended := cand.cancelled || c.closing
	return ended && cand.runningToken == 0 && !cand.callPending && (!cand.registered || !c.open)
}

// holds reports whether the session certainly holds the lease now: a renewal that was sent after this process
// learned of the grant has been answered, and its safe duration is not over.
func (c *core) holds(cand *candidacy, now time.Duration) bool {
	return c.open && cand.token > cand.releasedToken && c.renewalSentAt >= cand.grantedAt && now < c.safeUntil
}

// needsRenewal reports whether there is a grant that a renewal has yet to confirm.
func (c *core) needsRenewal() bool {
	return slices.ContainsFunc(c.candidacies, func(cand *candidacy) bool {
		return c.open && cand.token > cand.releasedToken && c.renewalSentAt < cand.grantedAt
	})
}

// step returns the actions to carry out now, and records them as started.
func (c *core) step(now time.Duration) (actions []action) {
	order := c.highestReleaseOrder()
	for _, cand := range c.candidacies {
		if next, ok := c.startNextAction(now, cand, order); ok {
			actions = append(actions, next)
		}
	}
	return actions
}

// startNextAction returns the next action for a candidacy, if there is one, and marks it as started, so the
// caller has to carry it out. If the lease has to be released, the action first stops the running work, and a
// later one releases the lease. While the session closes, leases have to be released whose release order is
// at least minOrder, and nothing is started for the others.
func (c *core) startNextAction(now time.Duration, cand *candidacy, minOrder int) (next action, ok bool) {
	mustRelease := cand.cancelled || cand.releasing || cand.transferRequested ||
		c.closing && cand.releaseOrder >= minOrder
	switch {
	case cand.runningToken != 0:
		mustStop := mustRelease || cand.token != cand.runningToken || !c.holds(cand, now)
		if cand.stopRequestedAt != 0 || !mustStop {
			return action{}, false
		}
		cand.stopRequestedAt = max(now, 1) // 0 would mean that no stop was requested
		return action{stopWork, cand, cand.runningToken}, true
	case !c.open || cand.callPending:
		return action{}, false
	case mustRelease && cand.registered:
		cand.callPending = true
		return action{releaseLease, cand, cand.token}, true
	case mustRelease:
		cand.releasing = false // there is nothing to release
		return action{}, false
	case c.closing: // leases of a higher release order come first
		return action{}, false
	case c.holds(cand, now):
		cand.runningToken = cand.token
		cand.startedAt = now
		return action{startWork, cand, cand.token}, true
	case !cand.registered && now >= cand.nextCampaignAt:
		cand.callPending = true
		return action{campaign, cand, 0}, true
	}
	return action{}, false
}

// highestReleaseOrder returns the highest release order of the candidacies that are not over.
func (c *core) highestReleaseOrder() int {
	highest := math.MinInt
	for _, cand := range c.candidacies {
		if !c.isOver(cand) {
			highest = max(highest, cand.releaseOrder)
		}
	}
	return highest
}

// nextStepAt returns the time at which step may return an action even if no event is recorded before.
func (c *core) nextStepAt(now time.Duration) time.Duration {
	next := now + c.ttl
	if c.safeUntil > now {
		next = min(next, c.safeUntil)
	}
	for _, cand := range c.candidacies {
		if cand.nextCampaignAt > now {
			next = min(next, cand.nextCampaignAt)
		}
	}
	return next
}

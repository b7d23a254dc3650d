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
	stopRequestedAt time.Duration // when that was told to stop; 0: it was not
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

// sessionOpened records that a session was opened.
func (c *core) sessionOpened() {
	c.open = true
	c.index = 0
}

// sessionLost records that the session has expired.
func (c *core) sessionLost() {
	c.open = false
	c.safeUntil = 0
	c.renewalSentAt = 0
	for _, one := range c.candidacies {
		one.registered = false
		one.token = 0
		one.transferRequested = false
		one.releasing = false
		one.callPending = false
	}
}

// renewed records the answer to a renewal that was sent at a time.
func (c *core) renewed(sent time.Duration) {
	if !c.open {
		return
	}
	c.renewalSentAt = max(c.renewalSentAt, sent)
	c.safeUntil = max(c.safeUntil, sent+safeDuration(c.ttl))
}

// leasesReported takes an answer on the session's leases. One that is older than another is ignored.
func (c *core) leasesReported(now time.Duration, session string, answer registry.LeasesResponse) {
	if !c.open || answer.Epoch == c.epoch && answer.Index < c.index {
		return
	}
	c.index = answer.Index
	c.epoch = answer.Epoch
	for _, one := range c.candidacies {
		i := slices.IndexFunc(answer.Leases, func(l registry.Lease) bool { return l.Name == one.spec.Lease })
		one.registered = i >= 0
		if !one.registered || answer.Leases[i].Holder != session {
			one.token = 0
			one.transferRequested = false
			continue
		}
		one.granted(now, answer.Leases[i].Token)
		one.transferRequested = answer.Leases[i].TransferRequested
	}
	for _, l := range answer.Leases {
		c.adoptUnwanted(now, session, l)
	}
}

// adoptUnwanted takes up a lease that nobody here wants, after a campaign whose result was not known, so that
// it is released.
func (c *core) adoptUnwanted(now time.Duration, session string, l registry.Lease) {
	if slices.ContainsFunc(c.candidacies, func(one *candidacy) bool { return one.spec.Lease == l.Name }) {
		return
	}
	unwanted := c.add(registry.Candidacy{Lease: l.Name}, 0)
	unwanted.registered = true
	unwanted.cancelled = true
	if l.Holder == session {
		unwanted.token = l.Token
		unwanted.grantedAt = now
	}
}

func (one *candidacy) granted(now time.Duration, token uint64) {
	if token != one.token {
		one.token = token
		one.grantedAt = now
	}
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

// workEnded records the end of work. Work that ends by itself without an error is done for good; after an
// error the lease is released and wanted again later.
func (c *core) workEnded(now time.Duration, one *candidacy, err error) {
	switch {
	case one.stopRequestedAt != 0:
		if one.transferRequested {
			one.releasing = true
			if one.spec.Preempt { // else it would preempt the successor at once
				one.nextCampaignAt = now + transferBackoff
			}
		}
	case err == nil:
		one.cancelled = true
	default:
		one.releasing = true
		if now-one.startedAt > maxBackoff {
			one.backoff = minBackoff
		}
		one.nextCampaignAt = now + one.backoff
		one.backoff = min(2*one.backoff, maxBackoff)
	}
	one.runningToken = 0
	one.stopRequestedAt = 0
}

// callEnded records the end of a campaign or a release, and whether the registry has done it.
func (c *core) callEnded(kind actionKind, one *candidacy, ok bool) {
	if kind == releaseLease {
		c.releaseEnded(one, ok)
	} else {
		c.campaignEnded(one, ok)
	}
}

func (c *core) campaignEnded(one *candidacy, ok bool) {
	one.callPending = false
	if ok {
		one.registered = true
	}
}

func (c *core) releaseEnded(one *candidacy, ok bool) {
	one.callPending = false
	if !ok {
		return
	}
	one.releasedToken = max(one.releasedToken, one.token)
	one.registered = false
	one.token = 0
	one.transferRequested = false
	one.releasing = false
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

// Package duty lets a process hold duties: jobs that one process holds at a time,
// which the list service gives to the next when it fails.
package lease

import (
	"math"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Times of a session. With drift as the most by which a clock's rate is off, a
// session that was renewed can't lapse by the service's clock before TTL/(1+drift)
// has passed, which this process may read as TTL x (1-drift)/(1+drift). stopPart of
// the TTL is left for work to stop in.
const (
	DefaultTTL    = 4 * time.Second
	maxClockDrift = 0.01
	stopFraction  = 8
)

// safeDuration is how long after a renewal was sent work may go on.
func safeDuration(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)*(1-maxClockDrift)/(1+maxClockDrift)) - ttl/stopFraction
}

// Work that fails at once is begun again only after a wait that doubles.
const (
	minBackoff      = time.Second
	maxBackoff      = time.Minute
	transferBackoff = 10 * time.Second // after one that goes over others was asked to hand on
)

// core decides what a process's session does. It is pure; times are of the
// process's own monotonic clock. What comes from outside is noted by its methods,
// and step gives what is to be done about it all.
type core struct {
	ttl           time.Duration
	open          bool          // the session is there, as far as is known
	renewalSentAt time.Duration // when the last renewal that was answered was sent
	safeUntil     time.Duration // work may go on until then
	index         uint64        // of the last answer
	epoch         string
	candidacies   []*candidacy // in the order in which they came
	closing       bool
}

// candidacy is one duty that this process wants.
type candidacy struct {
	spec              registry.Candidacy
	releaseOrder      int           // at the end those of higher rank are handed on first
	registered        bool          // it waits for it or holds it
	token             uint64        // the fence under which it holds it; 0: it does not
	grantedAt         time.Duration // when that was heard of
	releasedToken     uint64        // the highest fence that was given up
	transferRequested bool          // to hand on
	releasing         bool          // it is to be given up before anything else
	cancelled         bool          // nobody wants it any more

	runningToken    uint64        // the fence of the work under way; 0: there is none
	stopRequestedAt time.Duration // when that was told to stop; 0: it was not
	startedAt       time.Duration
	callPending     bool // a campaign or a giving up is under way
	backoff         time.Duration
	nextCampaignAt  time.Duration // no campaign before
}

// action is one thing to be done.
type action struct {
	kind      string // start, stop, campaign or give-up
	candidacy *candidacy
	token     uint64
}

// add begins to want a duty.
func (c *core) add(wish registry.Candidacy, rank int) *candidacy {
	w := &candidacy{spec: wish, releaseOrder: rank, backoff: minBackoff}
	c.candidacies = append(c.candidacies, w)
	return w
}

// remove forgets a want that is over and has been left.
func (c *core) remove(w *candidacy) {
	c.candidacies = slices.DeleteFunc(c.candidacies, func(o *candidacy) bool { return o == w })
}

// sessionOpened notes a session that was opened.
func (c *core) sessionOpened() { c.open, c.index = true, 0 }

// sessionLost notes that the session has ended.
func (c *core) sessionLost() {
	c.open, c.safeUntil, c.renewalSentAt = false, 0, 0
	for _, w := range c.candidacies {
		w.registered, w.token, w.transferRequested, w.releasing, w.callPending = false, 0, false, false, false
	}
}

// renewed notes the answer to a renewal that was sent at a time.
func (c *core) renewed(sent time.Duration) {
	if !c.open {
		return
	}
	c.renewalSentAt = max(c.renewalSentAt, sent)
	c.safeUntil = max(c.safeUntil, sent+safeDuration(c.ttl))
}

// leasesReported takes an answer on the session's duties. One older than another is passed over.
func (c *core) leasesReported(now time.Duration, session string, a registry.LeasesResponse) {
	if !c.open || a.Epoch == c.epoch && a.Index < c.index {
		return
	}
	c.index, c.epoch = a.Index, a.Epoch
	for _, w := range c.candidacies {
		i := slices.IndexFunc(a.Leases, func(d registry.Lease) bool { return d.Name == w.spec.Lease })
		if w.registered = i >= 0; !w.registered || a.Leases[i].Holder != session {
			w.token, w.transferRequested = 0, false
			continue
		}
		if d := a.Leases[i]; d.Token != w.token {
			w.token, w.grantedAt = d.Token, now
		}
		w.transferRequested = a.Leases[i].TransferRequested
	}
	for _, d := range a.Leases { // of a campaign whose end was not known, and that nobody waits for
		if !slices.ContainsFunc(c.candidacies, func(w *candidacy) bool { return w.spec.Lease == d.Name }) {
			w := c.add(registry.Candidacy{Lease: d.Name}, 0)
			w.registered, w.cancelled = true, true
			if d.Holder == session {
				w.token, w.grantedAt = d.Token, now
			}
		}
	}
}

// isOver tells whether a want is over, and nothing is left of it to be ended.
func (c *core) isOver(w *candidacy) bool {
	return (w.cancelled || c.closing) && w.runningToken == 0 && !w.callPending && (!w.registered || !c.open)
}

// holds tells whether a want's duty is held now, beyond doubt.
func (c *core) holds(w *candidacy, now time.Duration) bool {
	return c.open && w.token > w.releasedToken && c.renewalSentAt >= w.grantedAt && now < c.safeUntil
}

// needsRenewal tells whether a renewal now would settle a grant that was heard of.
func (c *core) needsRenewal() bool {
	return slices.ContainsFunc(c.candidacies, func(w *candidacy) bool { return c.open && w.token > w.releasedToken && c.renewalSentAt < w.grantedAt })
}

// workEnded notes the end of work. Work that ends by itself without an error is done
// for good; after an error the duty is given up and wanted again later.
func (c *core) workEnded(now time.Duration, w *candidacy, err error) {
	switch {
	case w.stopRequestedAt != 0:
		if w.transferRequested {
			w.releasing = true
			if w.spec.Preempt { // else it would ask for it back at once
				w.nextCampaignAt = now + transferBackoff
			}
		}
	case err == nil:
		w.cancelled = true
	default:
		w.releasing = true
		if now-w.startedAt > maxBackoff {
			w.backoff = minBackoff
		}
		w.nextCampaignAt, w.backoff = now+w.backoff, min(2*w.backoff, maxBackoff)
	}
	w.runningToken, w.stopRequestedAt = 0, 0
}

// callEnded notes the end of a campaign or a giving up.
func (c *core) callEnded(w *candidacy, gave bool, ok bool) {
	w.callPending = false
	switch {
	case gave && ok:
		w.releasedToken, w.registered, w.token, w.transferRequested, w.releasing = max(w.releasedToken, w.token), false, 0, false, false
	case ok:
		w.registered = true
	}
}

// step gives what is to be done now.
func (c *core) step(now time.Duration) (all []action) {
	first := c.highestOrder()
	for _, w := range c.candidacies {
		leave := w.cancelled || w.releasing || w.transferRequested || c.closing && w.releaseOrder >= first
		switch {
		case w.runningToken != 0:
			if w.stopRequestedAt == 0 && (leave || w.token != w.runningToken || !c.holds(w, now)) {
				w.stopRequestedAt = max(now, 1)
				all = append(all, action{"stop", w, w.runningToken})
			}
		case !c.open || w.callPending:
		case leave && w.registered:
			w.callPending = true
			all = append(all, action{"give-up", w, w.token})
		case leave:
			w.releasing = false // there is nothing to give up
		case c.closing: // its turn to be handed on has not come
		case c.holds(w, now):
			w.runningToken, w.startedAt = w.token, now
			all = append(all, action{"start", w, w.token})
		case !w.registered && now >= w.nextCampaignAt:
			w.callPending = true
			all = append(all, action{"campaign", w, 0})
		}
	}
	return all
}

// highestOrder is the highest rank of which something is left to be handed on.
func (c *core) highestOrder() (rank int) {
	rank = math.MinInt
	for _, w := range c.candidacies {
		if !c.isOver(w) {
			rank = max(rank, w.releaseOrder)
		}
	}
	return rank
}

// nextStepAt is the time at which step may have something to do by itself.
func (c *core) nextStepAt(now time.Duration) time.Duration {
	at := now + c.ttl
	if c.safeUntil > now {
		at = min(at, c.safeUntil)
	}
	for _, w := range c.candidacies {
		if w.nextCampaignAt > now {
			at = min(at, w.nextCampaignAt)
		}
	}
	return at
}

package lease

import (
	"slices"
	"time"

	"wrenspread/internal/registry"
)

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

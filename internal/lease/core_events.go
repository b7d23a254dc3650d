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
	for _, cand := range c.candidacies {
		cand.registered = false
		cand.token = 0
		cand.transferRequested = false
		cand.releasing = false
		cand.callPending = false
	}
}

// renewed records that a renewal was answered. sent is when it was sent.
func (c *core) renewed(sent time.Duration) {
	if !c.open {
		return
	}
	c.renewalSentAt = max(c.renewalSentAt, sent)
	c.safeUntil = max(c.safeUntil, sent+safeDuration(c.ttl))
}

// leasesReported records a response on the session's leases. A response that is older than an earlier one is
// ignored.
func (c *core) leasesReported(now time.Duration, session string, response registry.LeasesResponse) {
	if !c.open || response.Epoch == c.epoch && response.Index < c.index {
		return
	}
	c.index = response.Index
	c.epoch = response.Epoch
	for _, cand := range c.candidacies {
		i := slices.IndexFunc(response.Leases, func(l registry.Lease) bool { return l.Name == cand.spec.Lease })
		cand.registered = i >= 0
		if !cand.registered || response.Leases[i].Holder != session {
			cand.token = 0
			cand.transferRequested = false
			continue
		}
		cand.granted(now, response.Leases[i].Token)
		cand.transferRequested = response.Leases[i].TransferRequested
	}
	for _, l := range response.Leases {
		c.addUnwanted(now, session, l)
	}
}

// addUnwanted adds a cancelled candidacy for a lease that this process does not want, so that the lease is
// released. There is such a lease after a campaign whose outcome was unknown.
func (c *core) addUnwanted(now time.Duration, session string, l registry.Lease) {
	if slices.ContainsFunc(c.candidacies, func(cand *candidacy) bool { return cand.spec.Lease == l.Name }) {
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

// granted records the token of a grant, and when this process learned of it.
func (cand *candidacy) granted(now time.Duration, token uint64) {
	if token != cand.token {
		cand.token = token
		cand.grantedAt = now
	}
}

// workEnded records the end of work. If the work ends by itself without an error, the candidacy is cancelled;
// after an error the lease is released, and the session campaigns for it again after a backoff.
func (c *core) workEnded(now time.Duration, cand *candidacy, err error) {
	switch {
	case cand.stopRequestedAt != 0:
		if cand.transferRequested {
			cand.releasing = true
			if cand.spec.Preempt { // without a wait it would preempt the successor at once
				cand.nextCampaignAt = now + transferBackoff
			}
		}
	case err == nil:
		cand.cancelled = true
	default:
		cand.releasing = true
		if now-cand.startedAt > maxBackoff {
			cand.backoff = minBackoff
		}
		cand.nextCampaignAt = now + cand.backoff
		cand.backoff = min(2*cand.backoff, maxBackoff)
	}
	cand.runningToken = 0
	cand.stopRequestedAt = 0
}

// callEnded records the end of a campaign or a release, and whether it succeeded.
func (c *core) callEnded(kind actionKind, cand *candidacy, ok bool) {
	if kind == releaseLease {
		c.releaseEnded(cand, ok)
	} else {
		c.campaignEnded(cand, ok)
	}
}

func (c *core) campaignEnded(cand *candidacy, ok bool) {
	cand.callPending = false
	if ok {
		cand.registered = true
	}
}

func (c *core) releaseEnded(cand *candidacy, ok bool) {
	cand.callPending = false
	if !ok {
		return
	}
	cand.releasedToken = max(cand.releasedToken, cand.token)
	cand.registered = false
	cand.token = 0
	cand.transferRequested = false
	cand.releasing = false
}

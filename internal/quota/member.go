package quota

import (
	"slices"
	"time"
)

// member is a proxy that the allocator knows: by the record of enrolled proxies or by a claim.
type member struct {
	name         string
	generation   uint64
	tableVersion uint64
	shares       map[int32]*memberShare // by the limit's index

	slot                   Slot // by which the fallback share is counted
	hasSlot                bool
	slotRecorded           bool          // the record holds the slot, or a larger slot that contains it
	fallbackCountedSince   time.Duration // since when the fallback share is counted for the present generation
	fallbackFirstCountedAt time.Duration // since when the fallback share is counted for any generation
	shrinking              bool          // grants carry a halved slot, which the proxy has not applied yet
	shrinkingSinceGrant    uint32        // number of the first grant with the slot of half the size

	lastGrantNumber        uint32
	sentGrants             [32]sentGrant // the last grants, by number modulo their count
	fallbackSuspendedUntil time.Duration // until when the proxy suspends its fallback share at least
}

// sentGrant is a grant that the allocator has sent.
type sentGrant struct {
	number            uint32
	sentAt            time.Duration
	claimSentAfter    time.Duration // the grant's claim was sent after this time; 0 means not known
	fallbackSuspended bool          // the grant suspended the proxy's fallback share
}

// sentGrant returns the grant with the number, if it is still remembered.
func (m *member) sentGrant(number uint32) (sentGrant, bool) {
	sent := m.sentGrants[number%uint32(len(m.sentGrants))]
	return sent, number > 0 && sent.number == number
}

// memberForClaim returns the member that a claim comes from, and adds it if it is new. It returns nil if
// there are too many members, or the claim is of an older generation or of a process that has left. A new
// generation starts without grants: its fallback share counts from now on, in addition to the live leases of
// the previous generation.
func (a *Allocator) memberForClaim(claim claimMessage) *member {
	at, m := a.find(claim.name)
	if m == nil {
		if len(a.members) >= MaxProxies || slices.Contains(a.departed, leaveMessage{claim.generation, claim.name}) {
			return nil
		}
		m = &member{
			name:                   claim.name,
			generation:             claim.generation,
			shares:                 map[int32]*memberShare{},
			fallbackCountedSince:   a.now,
			fallbackFirstCountedAt: a.now,
		}
		a.members = slices.Insert(a.members, at, m)
	}
	switch {
	case claim.generation < m.generation:
		return nil
	case claim.generation > m.generation && m.generation != 0:
		m.fallbackSuspendedUntil, m.fallbackCountedSince, m.shrinking = 0, a.now, false
		m.sentGrants = [32]sentGrant{}
		a.revision++
		for i, share := range m.shares {
			if a.limits.all[i].concurrency { // the requests in flight ended with the previous process
				share.currentLease, share.inFlight = shareLease{}, 0
				share.olderLease = shareLease{}
			}
			share.olderLease, share.currentLease, share.fallbackAtOnce, share.claimNumber,
				share.grantNumber = share.maxLiveLease(a.now), shareLease{}, false, 0, 0
		}
	}
	m.generation = claim.generation
	return m
}

// grantConfirmed handles the number of the last applied grant in a claim. It proves that the proxy will apply
// no older grant and, if that grant suspended the fallback share, that the proxy suspends it for
// fallbackSuspension after the grant's claim was sent; that claim was sent after sentGrant.claimSentAfter.
// grantConfirmed returns the time at which the applied grant was sent, as the present claim was sent later,
// or 0 if the grant is not remembered.
func (a *Allocator) grantConfirmed(m *member, claim claimMessage) (claimSentAfter time.Duration) {
	m.tableVersion = max(m.tableVersion, claim.table)
	sent, known := m.sentGrant(claim.lastGrant)
	if !known {
		return 0
	}
	if sent.fallbackSuspended && sent.claimSentAfter > 0 {
		m.fallbackSuspendedUntil = max(
			m.fallbackSuspendedUntil,
			sent.claimSentAfter+a.times.shortestElapsed(a.times.fallbackSuspension),
		)
	}
	if m.shrinking && claim.lastGrant >= m.shrinkingSinceGrant {
		m.slot, m.shrinking, a.recordDirty = m.slot.halved(), false, true // the recorded slot contains the half
		a.revision++
	}
	return sent.sentAt
}

// fallback returns the share that the proxy may have of the limit with index i without any lease. Until the
// proxy has claimed under the current table, it is the larger share by the current and the previous table.
func (a *Allocator) fallback(m *member, i int32) shareSize {
	if !m.hasSlot {
		return shareSize{}
	}
	limit := &a.limits.all[i]
	fallback := limit.fallback(m.slot, true)
	if m.tableVersion < a.limits.version {
		if previous, found := a.previousLimits.byHash[limit.hash]; found {
			fallback = fallback.max(a.previousLimits.all[previous].fallback(m.slot, true))
		}
	}
	return fallback
}

// fallbackSuspended reports whether the proxy's fallback share may be lent to other proxies: it stays
// suspended for longer than any lease that is granted now can stay alive.
func (a *Allocator) fallbackSuspended(m *member) bool {
	return a.now+a.times.settleTime()+2*sumInterval <= m.fallbackSuspendedUntil
}

// maxShare returns the largest share that the member may have of the limit with index i: the maximum of its
// live leases and of its fallback share. A suspended fallback share counts with its bucket's capacity only.
func (a *Allocator) maxShare(m *member, i int32) shareSize {
	share := m.shares[i]
	fallback := a.fallback(m, i)
	if !a.limits.all[i].concurrency && a.fallbackSuspended(m) && (share == nil || !share.fallbackAtOnce) {
		fallback.rate = 0
	}
	if share == nil {
		return fallback
	}
	largest := share.maxLiveLease(a.now)
	if a.now < share.claimedAt+a.times.countedLease()+a.times.maxRequestTime {
		largest.rate = max(largest.rate, share.inFlight)
	}
	return shareSize{max(largest.rate, fallback.rate), max(largest.burst, fallback.burst)}
}

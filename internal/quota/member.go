package quota

import (
	"slices"
	"time"
)

// member is a proxy that the allocator knows from the record of enrolled proxies or from a claim.
type member struct {
	name         string
	generation   uint64
	tableVersion uint64
	shares       map[int32]*memberShare // by the limit's index

	slot                   Slot // determines the fallback share
	hasSlot                bool
	slotRecorded           bool          // the record holds the slot, or a larger slot that contains it
	fallbackCountedSince   time.Duration // since when the fallback share is counted for the present generation
	fallbackFirstCountedAt time.Duration // since when the fallback share is counted for any generation
	shrinking              bool          // grants carry a halved slot, which the proxy has not applied yet
	shrinkingSinceGrant    uint32        // number of the first grant with the slot of half the size

	lastGrantNumber        uint32
	sentGrants             [32]sentGrant // the last 32 grants; a grant's index is its number modulo 32
	fallbackSuspendedUntil time.Duration // the proxy keeps its fallback share suspended at least until then
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

// memberForClaim returns the member that a claim comes from, and adds the member if it is new. It returns nil
// if there are too many members, or if the claim is from an older generation or from a process that has left.
// A new generation starts without grants: from now on, the allocator counts its fallback share in addition to
// the live leases of the previous generation.
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
			if a.limits.byIndex[i].concurrency { // the requests in flight ended with the previous process
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

// grantConfirmed handles the number of the last applied grant, which each claim carries. The number proves
// that the proxy will apply no older grant. If the applied grant suspended the fallback share, the number
// also proves that the share stays suspended until fallbackSuspension after the proxy sent the claim that the
// grant answered; the proxy sent that claim after sentGrant.claimSentAfter. grantConfirmed returns the time
// at which the applied grant was sent, or 0 if the allocator no longer remembers the grant. The proxy sent
// the present claim after the returned time.
func (a *Allocator) grantConfirmed(m *member, claim claimMessage) (claimSentAfter time.Duration) {
	m.tableVersion = max(m.tableVersion, claim.tableVersion)
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
// proxy has sent a claim under the current table, the result is the larger of its shares by the current and
// by the previous table.
func (a *Allocator) fallback(m *member, i int32) shareSize {
	if !m.hasSlot {
		return shareSize{}
	}
	limit := &a.limits.byIndex[i]
	fallback := limit.fallback(m.slot, true)
	if m.tableVersion < a.limits.version {
		if previous, found := a.previousLimits.byHash[limit.hash]; found {
			fallback = fallback.max(a.previousLimits.byIndex[previous].fallback(m.slot, true))
		}
	}
	return fallback
}

// fallbackSuspended reports whether the proxy's fallback share may be granted to other proxies, because the
// share stays suspended for longer than any lease that is granted now can stay alive.
func (a *Allocator) fallbackSuspended(m *member) bool {
	return a.now+a.times.settleTime()+2*sumInterval <= m.fallbackSuspendedUntil
}

// maxShare returns the largest share that the member may have of the limit with index i: the maximum of its
// live leases and of its fallback share. A suspended fallback share counts with its bucket's capacity only.
func (a *Allocator) maxShare(m *member, i int32) shareSize {
	share := m.shares[i]
	fallback := a.fallback(m, i)
	if !a.limits.byIndex[i].concurrency && a.fallbackSuspended(m) && (share == nil || !share.fallbackAtOnce) {
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

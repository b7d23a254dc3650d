package tenant

import (
	"maps"
	"slices"
	"time"
)

// Cache holds a proxy's copy of the catalogue, or of some leaves, and decides whether the proxy may act on it
// with authority. A proxy has authority once it has read the catalogue in its present session, until this
// session may have expired. Without authority it may not decide that a tenant does not exist. The cache does
// no I/O and reads no clock. Only the session and reads of the records give authority. The membership's
// reports of newer catalogues (PeerHasCatalogue) can only suspend it, and make the proxy read the catalogue
// sooner.
type Cache struct {
	generation   uint64
	maxStaleness time.Duration

	snapshot      *Snapshot
	enrolled      bool
	leaving       bool
	policy        PolicyTable
	policyChanges int               // number of PolicyChanged events so far
	entries       map[string]*Entry // entries of snapshot, by tenant
	inTransition  map[string]*Entry // entries of snapshot in other phases than PhaseServe

	onDemand        bool                // of a hash tree, only leaves that requests use are read
	leaves          map[int]*cachedLeaf // leaves of snapshot, by number
	requestedLeaves map[int]bool        // missing leaves that requests have asked for
	readBudget      tokenBucket         // limits the reads of missing leaves
	idleTimeout     time.Duration       // time after which unused leaves are evicted
	idleCheckedAt   time.Duration       // time at which evictIdle last searched for idle leaves

	sessionOpen    bool
	sessionTTL     time.Duration
	authoritySince time.Duration // start of the session's unbroken authority; earlier reads have no authority
	authorityUntil time.Duration // end of the session's authority
	renewalSentAt  time.Duration // time at which the last answered renewal was sent
	authoritative  bool          // snapshot was read since authoritySince
	confirmedAt    time.Duration // renewalSentAt of the last renewal while the cache was authoritative

	peerNumber    uint64        // highest catalogue number that a peer has reported
	peerNumberAt  time.Duration // time of this report
	refutedNumber uint64        // number that a peer has reported and a later read has not confirmed

	openRequests   map[string]int           // requests in flight by tenant
	departingSince map[string]time.Duration // time since which a tenant is known to be departing
	reportedStatus Status
	statusReported bool // reportedStatus has been reported in this session
	reportedAt     time.Duration
}

// NewCache returns an empty cache. generation is the generation of this process, higher than that of the
// previous process with its name. If maxStaleness is above 0, the proxy serves no tenant after this time
// without contact with the registry; it should be several session TTLs. With onDemand, the proxy reads only
// the leaves of a hash tree that its requests use.
func NewCache(generation uint64, maxStaleness time.Duration, onDemand bool) *Cache {
	return &Cache{
		generation:      generation,
		maxStaleness:    min(maxStaleness, maxStalenessLimit).Truncate(time.Millisecond),
		onDemand:        onDemand,
		readBudget:      tokenBucket{tokens: readBurst},
		idleTimeout:     defaultIdleTimeout,
		entries:         map[string]*Entry{},
		inTransition:    map[string]*Entry{},
		requestedLeaves: map[int]bool{},
		openRequests:    map[string]int{},
		departingSince:  map[string]time.Duration{},
	}
}

// Member returns the entry for this proxy in the member record when the proxy is enrolled.
func (c *Cache) Member(name string) Member {
	return Member{name, c.generation, c.maxStaleness.Milliseconds()}
}

// Handle handles an event (events.go) and returns the actions to carry out, in order.
func (c *Cache) Handle(now time.Duration, event any) (actions []any) {
	swap := true
	switch e := event.(type) {
	case SessionOpened:
		c.sessionOpen = true
		c.sessionTTL = e.TTL
		c.authoritySince = now
		c.renewalSentAt = e.Sent
		c.authoritative = false
		c.statusReported = false
		c.authorityUntil = e.Sent + shortened(e.TTL)
		actions = append(actions, ReadCatalogue{})
	case SessionRenewed:
		actions = append(actions, c.sessionRenewed(now, e)...)
	case CatalogueRead:
		actions = append(actions, c.catalogueRead(now, e)...)
	case LeafMissing:
		return c.requestLeaf(now, e.Name)
	case PeerHasCatalogue:
		if e.Number <= max(c.number(), c.peerNumber) || e.Number == c.refutedNumber {
			return nil
		}
		c.peerNumber, c.peerNumberAt = e.Number, now
		actions = append(actions, ReadCatalogue{})
	case PolicyChanged:
		c.policy, c.policyChanges = e.PolicyTable, c.policyChanges+1
		c.applySnapshot(now, c.snapshot)
	case RequestStarted:
		c.openRequests[e.Tenant]++
		return nil
	case RequestEnded:
		if c.openRequests[e.Tenant]--; c.openRequests[e.Tenant] > 0 {
			return nil
		}
		delete(c.openRequests, e.Tenant)
		if _, departing := c.departingSince[e.Tenant]; !departing && !c.leaving {
			return nil
		}
		swap = false
	case Leave:
		c.leaving = true
	default:
		swap = c.evictIdle(now)
	}
	if swap {
		actions = append(actions, SwapCatalogue{c.buildCatalogue()})
	}
	actions = append(actions, c.cutExpiredRequests(now)...)
	return append(actions, c.reportStatus(now)...)
}

// sessionRenewed extends the authority. If the authority had expired before the response came, the session
// may have ended and begun again meanwhile, so that the last read has no authority any more.
func (c *Cache) sessionRenewed(now time.Duration, e SessionRenewed) []any {
	if !e.Known || !c.sessionOpen {
		c.sessionOpen, c.authoritative = false, false
		return nil
	}
	expired := now >= c.authorityUntil
	c.authorityUntil, c.renewalSentAt = max(
		c.authorityUntil,
		e.Sent+shortened(c.sessionTTL),
	), max(
		c.renewalSentAt,
		e.Sent,
	)
	if expired {
		c.authoritative, c.authoritySince = false, now
		return []any{ReadCatalogue{}}
	}
	if c.authoritative {
		c.confirmedAt = c.renewalSentAt
	}
	return nil
}

// catalogueRead applies a catalogue as a unit, unless it is older than the cached one.
func (c *Cache) catalogueRead(now time.Duration, e CatalogueRead) []any {
	if e.Snapshot == nil {
		return nil
	}
	c.enrolled = e.Enrolled
	if !e.Snapshot.canReplace(c.snapshot, c.neededLeaves()) {
		return []any{ReadCatalogue{}}
	}
	// An older catalogue means that the registry was restored from a backup. Reading it gives no authority, and
	// the proxy keeps its own catalogue until the controller publishes a newer one.
	older := e.Snapshot.Number < c.number()
	if c.snapshot == nil || e.Snapshot.Number > c.snapshot.Number ||
		e.Snapshot.Number == c.snapshot.Number && e.Snapshot.levels > 0 {
		c.applySnapshot(now, e.Snapshot)
	}
	if c.sessionOpen && e.StartedAt >= c.authoritySince && !older {
		c.authoritative, c.confirmedAt = true, c.renewalSentAt
	}
	if c.peerNumber > e.Snapshot.Number && e.StartedAt >= c.peerNumberAt {
		c.refutedNumber, c.peerNumber = c.peerNumber, e.Snapshot.Number
	}
	return nil
}

// number returns the number of the cached catalogue; 0: none.
func (c *Cache) number() uint64 {
	if c.snapshot == nil {
		return 0
	}
	return c.snapshot.Number
}

// stopServingAt returns the time at which the proxy stops serving tenants if it has no further contact with
// the registry; 0: never.
func (c *Cache) stopServingAt() time.Duration {
	if c.maxStaleness == 0 {
		return 0
	}
	return c.confirmedAt + c.maxStaleness
}

// buildCatalogue returns the catalogue by which the proxy decides on requests from now on.
func (c *Cache) buildCatalogue() *Catalogue {
	catalogue := &Catalogue{
		number:         c.number(),
		leaves:         c.leaves,
		ready:          c.enrolled && c.snapshot != nil && !c.leaving,
		authoritative:  c.authoritative,
		authorityUntil: c.authorityUntil,
		stopServingAt:  c.stopServingAt(),
		behind:         c.peerNumber > c.number(),
	}
	if c.snapshot != nil {
		catalogue.levels, catalogue.complete = c.snapshot.levels, c.snapshot.complete
	}
	return catalogue
}

// OpenTenants returns the names of the tenants with requests in flight, sorted.
func (c *Cache) OpenTenants() []string { return slices.Sorted(maps.Keys(c.openRequests)) }

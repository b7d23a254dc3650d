package tenant

import (
	"maps"
	"slices"
	"time"
)

// Cache decides what a proxy knows of tenants, and how authoritative it may be. It is pure. Its safety rests
// on the session and on reads of the records; membership (PeerHasCatalogue) only makes it more careful, and
// quicker.
type Cache struct {
	generation   uint64
	maxStaleness time.Duration

	snapshot      *Snapshot
	enrolled      bool
	leaving       bool
	policy        PolicyTable
	policyChanges int               // that it has had
	entries       map[string]*Entry // those of snapshot, by tenant
	inTransition  map[string]*Entry // those of them that are not simply served

	onDemand        bool                // it reads the leaves that requests name, where the catalogue has leaves
	leaves          map[int]*cachedLeaf // the leaves of snapshot, ready for requests
	requestedLeaves map[int]bool        // leaves that are to be read, too
	readBudget      tokenBucket         // of leaves that may be read now
	idleTimeout     time.Duration       // leaves that have not been asked for so long are evicted
	evictedAt       time.Duration       // when idle leaves were last looked for

	sessionOpen    bool          // there is a session
	sessionTTL     time.Duration // of it
	authoritySince time.Duration // its unbroken authority began: only what was read since is authoritative
	authorityUntil time.Duration // its authority ends
	renewalSentAt  time.Duration // of the last renewal that was answered
	authoritative  bool
	confirmedAt    time.Duration // of the last renewal while it was authoritative

	peerNumber    uint64
	peerNumberAt  time.Duration
	refutedNumber uint64 // a number that was heard of, and that a later read did not bear out

	openRequests   map[string]int           // requests in flight by tenant
	departingSince map[string]time.Duration // since when a tenant is known to go
	toldStatus     Status
	hasTold        bool // toldStatus was reported
	toldAt         time.Duration
}

// NewCache makes the cache of a proxy that knows nothing yet. generation is of this process, higher than of
// the one before under its name. With a maximal staleness above 0 it serves no tenant after so long without
// contact with the registry; it should be several TTLs. On demand it reads of a catalogue with leaves only
// those that its requests name.
func NewCache(life uint64, hold time.Duration, onDemand bool) *Cache {
	return &Cache{
		generation:      life,
		maxStaleness:    min(hold, maxMaxStaleness).Truncate(time.Millisecond),
		onDemand:        onDemand,
		readBudget:      tokenBucket{left: readBurst},
		idleTimeout:     idleTime,
		entries:         map[string]*Entry{},
		inTransition:    map[string]*Entry{},
		requestedLeaves: map[int]bool{},
		openRequests:    map[string]int{},
		departingSince:  map[string]time.Duration{},
	}
}

// Member is how the member record has this proxy when it is enrolled.
func (d *Cache) Member(name string) Member {
	return Member{name, d.generation, d.maxStaleness.Milliseconds()}
}

// Handle takes an event and gives what is to be done about it.
func (d *Cache) Handle(now time.Duration, event any) (do []any) {
	swap := true
	switch e := event.(type) {
	case SessionOpened:
		d.sessionOpen = true
		d.sessionTTL = e.TTL
		d.authoritySince = now
		d.renewalSentAt = e.Sent
		d.authoritative = false
		d.hasTold = false
		d.authorityUntil = e.Sent + shortened(e.TTL)
		do = append(do, ReadCatalogue{})
	case SessionRenewed:
		do = append(do, d.sessionRenewed(now, e)...)
	case CatalogueRead:
		do = append(do, d.catalogueRead(now, e)...)
	case LeafMissing:
		return d.requestLeaf(now, e.Name)
	case PeerHasCatalogue:
		if e.Number <= max(d.number(), d.peerNumber) || e.Number == d.refutedNumber {
			return nil
		}
		d.peerNumber, d.peerNumberAt = e.Number, now
		do = append(do, ReadCatalogue{})
	case PolicyChanged:
		d.policy, d.policyChanges = e.PolicyTable, d.policyChanges+1
		d.applySnapshot(now, d.snapshot)
	case RequestStarted:
		d.openRequests[e.Tenant]++
		return nil
	case RequestEnded:
		if d.openRequests[e.Tenant]--; d.openRequests[e.Tenant] > 0 {
			return nil
		}
		delete(d.openRequests, e.Tenant)
		if _, going := d.departingSince[e.Tenant]; !going && !d.leaving {
			return nil
		}
		swap = false
	case Leave:
		d.leaving = true
	default:
		swap = d.evictIdle(now)
	}
	if swap {
		do = append(do, SwapCatalogue{d.buildCatalogue()})
	}
	do = append(do, d.cutDeparting(now)...)
	return append(do, d.tellStatus(now)...)
}

// sessionRenewed prolongs the authority. Where it had run out before the answer came, the session may have
// ended and begun again in between: what was read before is not authoritative any more.
func (d *Cache) sessionRenewed(now time.Duration, e SessionRenewed) []any {
	if !e.Known || !d.sessionOpen {
		d.sessionOpen, d.authoritative = false, false
		return nil
	}
	broken := now >= d.authorityUntil
	d.authorityUntil, d.renewalSentAt = max(
		d.authorityUntil,
		e.Sent+shortened(d.sessionTTL),
	), max(
		d.renewalSentAt,
		e.Sent,
	)
	if broken {
		d.authoritative, d.authoritySince = false, now
		return []any{ReadCatalogue{}}
	}
	if d.authoritative {
		d.confirmedAt = d.renewalSentAt
	}
	return nil
}

// catalogueRead takes a catalogue up: as one, and never one before that which it has.
func (d *Cache) catalogueRead(now time.Duration, e CatalogueRead) []any {
	if e.Snapshot == nil {
		return nil
	}
	d.enrolled = e.Enrolled
	if !e.Snapshot.covers(d.snapshot, d.neededLeaves()) {
		return []any{ReadCatalogue{}}
	}
	// the registry's state is from a copy: the controller makes a new one
	older := e.Snapshot.Number < d.number()
	if d.snapshot == nil || e.Snapshot.Number > d.snapshot.Number ||
		e.Snapshot.Number == d.snapshot.Number && e.Snapshot.levels > 0 {
		d.applySnapshot(now, e.Snapshot)
	}
	if d.sessionOpen && e.StartedAt >= d.authoritySince && !older {
		d.authoritative, d.confirmedAt = true, d.renewalSentAt
	}
	if d.peerNumber > e.Snapshot.Number && e.StartedAt >= d.peerNumberAt {
		d.refutedNumber, d.peerNumber = d.peerNumber, e.Snapshot.Number
	}
	return nil
}

func (d *Cache) number() uint64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Number
}

// stopServingAt is when the proxy stops serving tenants for want of contact with the registry; 0: never.
func (d *Cache) stopServingAt() time.Duration {
	if d.maxStaleness == 0 {
		return 0
	}
	return d.confirmedAt + d.maxStaleness
}

func (d *Cache) buildCatalogue() *Catalogue {
	c := &Catalogue{
		number:         d.number(),
		leaves:         d.leaves,
		ready:          d.enrolled && d.snapshot != nil && !d.leaving,
		authoritative:  d.authoritative,
		authorityUntil: d.authorityUntil,
		stopServingAt:  d.stopServingAt(),
		behind:         d.peerNumber > d.number(),
	}
	if d.snapshot != nil {
		c.levels, c.complete = d.snapshot.levels, d.snapshot.complete
	}
	return c
}

// OpenTenants returns the tenants with requests in flight, by name.
func (d *Cache) OpenTenants() []string { return slices.Sorted(maps.Keys(d.openRequests)) }

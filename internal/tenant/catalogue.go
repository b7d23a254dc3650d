package tenant

import (
	"fmt"
	"strings"
	"time"
)

// DecisionKind is what a proxy does with a request of a tenant.
type DecisionKind uint8

// The kinds of decisions, with the response that the client gets.
const (
	Unavailable DecisionKind = iota // 503 with Retry-After: this proxy lacks the authority or the data to decide
	Routed                          // the request is served by its route and within its limit
	Forbidden                       // 403: the tenant is known, and the request may not be served
	NotFound                        // 404: the tenant definitely does not exist
)

// Decision is the decision on one request.
type Decision struct {
	Kind            DecisionKind
	Reason          string        // one of the Reason constants; for Unavailable and Forbidden
	RetryAfter      time.Duration // for Unavailable
	CatalogueNumber uint64        // number of the catalogue that the decision is based on
	Tenant          string        // the tenant's name in the catalogue; "": unknown
	Route           *Route        // for Routed, always together with Limit
	Limit           string
}

// The reasons of Forbidden and Unavailable, which are sent to the client.
const (
	ReasonSuspended    = "the tenant is suspended"
	ReasonClass        = "the class is not open to the tenant"
	ReasonKey          = "the key is outside the tenant's part of the key space"
	ReasonLeaving      = "the tenant is leaving"
	ReasonNotReady     = "this node has no catalogue yet"
	ReasonStale        = "this node has had no word of the catalogue for too long"
	ReasonBehind       = "this node is behind the catalogue"
	ReasonPreparing    = "the tenant is being brought in"
	ReasonChanging     = "the tenant is being changed"
	ReasonLimitMissing = "the tenant's limit is not in this node's policy yet"
	ReasonLeafMissing  = "the tenant's part of the catalogue is being read"
	ReasonUnknownPhase = "this node is older than the tenant's state"
)

// The values of Decision.RetryAfter: retrySoon if a step of the controller has to be awaited, retryLater if
// the proxy first has to reach the registry again.
const (
	retrySoon  = time.Second
	retryLater = 3 * time.Second
)

// Catalogue is the state by which a proxy decides on requests. It never changes, except for the times at
// which leaves were last used: the proxy swaps a pointer, so that each request sees one consistent catalogue.
// A decision costs one hash of the name, one lookup in a map of leaves, one in a map of names, two in maps of
// classes and at most 2 x MaxKeyPrefixes comparisons of a prefix, and allocates no memory.
type Catalogue struct {
	number         uint64
	levels         int                 // of the hash tree; 0: leaf 0 has all entries
	complete       bool                // all leaves are known: a leaf that is not in leaves has no tenants
	leaves         map[int]*cachedLeaf // by number of the leaf
	ready          bool                // the proxy is enrolled and has read a catalogue
	authoritative  bool                // the catalogue was read since the session's authority began
	authorityUntil time.Duration       // time at which the session's authority ends
	// stopServingAt is the time from which the proxy serves no tenant because of its maximal staleness; 0:
	// never.
	stopServingAt time.Duration
	behind        bool // a peer has reported a newer catalogue
}

// Ready reports whether the proxy may serve tenants at all.
func (c *Catalogue) Ready() bool { return c.ready }

// isAuthoritative reports whether the proxy may decide that a tenant does not exist.
func (c *Catalogue) isAuthoritative(now time.Duration) bool {
	return c.authoritative && now < c.authorityUntil && !c.behind
}

// HasLeaf reports whether the proxy has the leaf of a name that a request uses.
func (c *Catalogue) HasLeaf(tenant string) bool {
	return c.complete || c.leaves[leafOf(tenant, c.levels)] != nil
}

// Decide returns the decision on a request. tenant is the name in X-Tenant.
func (c *Catalogue) Decide(now time.Duration, tenant, class, key string) Decision {
	unavailable := func(reason string, retry time.Duration) Decision {
		return Decision{Reason: reason, RetryAfter: retry, CatalogueNumber: c.number}
	}
	switch {
	case !c.ready:
		return unavailable(ReasonNotReady, retrySoon)
	case c.stopServingAt > 0 && now >= c.stopServingAt:
		return unavailable(ReasonStale, retryLater)
	}
	leaf := c.leaves[leafOf(tenant, c.levels)]
	var entry *compiledEntry
	if leaf != nil {
		leaf.usedAt.Store(int64(now))
		entry = leaf.names[tenant]
	}
	switch {
	case leaf == nil && !c.complete && now < c.authorityUntil:
		return unavailable(ReasonLeafMissing, retrySoon)
	case leaf == nil && !c.complete: // the leaf can't be read now
		return unavailable(ReasonStale, retryLater)
	case entry == nil && c.isAuthoritative(now):
		return Decision{Kind: NotFound, CatalogueNumber: c.number}
	case entry == nil && c.behind:
		return unavailable(ReasonBehind, retrySoon)
	case entry == nil:
		return unavailable(ReasonStale, retryLater)
	}
	decision := entry.decide(class, key, c.behind)
	if entry.phase == PhaseDrain && !c.isAuthoritative(now) { // the name may belong to another tenant by now
		decision = unavailable(ReasonStale, retryLater)
	}
	decision.CatalogueNumber, decision.Tenant = c.number, entry.name
	return decision
}

// decide returns the decision by an entry. If the proxy is behind the catalogue, it treats PhasePrepare like
// PhaseHold, because a newer catalogue may have moved the entry to PhaseHold.
func (e *compiledEntry) decide(class, key string, behind bool) Decision {
	switch e.phase {
	case PhaseServe:
		return e.current.decide(class, key)
	case PhaseDrain:
		return Decision{Kind: Forbidden, Reason: ReasonLeaving}
	case PhasePrepare, PhaseHold:
	default:
		return Decision{Reason: ReasonUnknownPhase, RetryAfter: retryLater}
	}
	if e.phase == PhasePrepare && !behind {
		if e.current == nil {
			return Decision{Reason: ReasonPreparing, RetryAfter: retrySoon}
		}
		return e.current.decide(class, key)
	}
	if e.current == nil || e.next == nil {
		return Decision{Reason: ReasonChanging, RetryAfter: retrySoon}
	}
	current, next := e.current.decide(class, key), e.next.decide(class, key)
	if current.Kind == next.Kind && current.Reason == next.Reason &&
		(current.Kind != Routed || e.current.classes[class].unchanged) {
		return current
	}
	return Decision{Reason: ReasonChanging, RetryAfter: retrySoon}
}

// decide returns the decision by a spec.
func (c *compiledSpec) decide(class, key string) Decision {
	if c == nil {
		return Decision{Reason: ReasonUnknownPhase, RetryAfter: retryLater}
	}
	switch route, open := c.classes[class]; {
	case c.suspended:
		return Decision{Kind: Forbidden, Reason: ReasonSuspended}
	case !open:
		return Decision{Kind: Forbidden, Reason: ReasonClass}
	case !c.ownsKey(key):
		return Decision{Kind: Forbidden, Reason: ReasonKey}
	case !c.limitsKnown:
		return Decision{Reason: ReasonLimitMissing, RetryAfter: retrySoon}
	default:
		return Decision{Kind: Routed, Route: route.route, Limit: route.limit}
	}
}

// ownsKey reports whether a key is in the tenant's part of the key space.
func (c *compiledSpec) ownsKey(key string) bool {
	for _, prefix := range c.keys {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return len(c.keys) == 0
}

// String returns the name of the kind for logs.
func (k DecisionKind) String() string {
	if int(k) < len(decisionKindNames) {
		return decisionKindNames[k]
	}
	return fmt.Sprint(uint8(k))
}

// decisionKindNames has the names of the kinds in the order of their values.
var decisionKindNames = [...]string{"unsure", "served", "declined", "unknown"}

package tenant

import (
	"fmt"
	"strings"
	"time"
)

// DecisionKind is what a proxy does with a request of a tenant.
type DecisionKind uint8

// The verdicts, with what a client is answered.
const (
	Unavailable DecisionKind = iota // 503 with Retry-After: this proxy lacks the authority to decide
	Routed                          // on its route, within its limit
	Forbidden                       // 403: known, and not to be served
	NotFound                        // 404: a definite no
)

// Decision is the verdict on one request.
type Decision struct {
	Kind            DecisionKind
	Reason          string        // a constant: of Unavailable and Forbidden
	RetryAfter      time.Duration // of Unavailable
	CatalogueNumber uint64        // of the catalogue it comes from
	Tenant          string        // by its name in the catalogue, where it is known
	Route           *Route        // of Routed, as is Limit; never the one without the other
	Limit           string
}

// Why a proxy answers Forbidden or Unavailable.
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

// The Retry-After of a client: once for a step of the controller, longer where the proxy has to find the
// registry first.
const (
	retrySoon  = time.Second
	retryLater = 3 * time.Second
)

// Catalogue is what a proxy answers from at one time. It never changes: the proxy's shell swaps a pointer, so
// that a request sees one consistent catalogue. A request costs one hash of the name, one look into a table
// of leaves, one into a table of names, two into tables of classes and at most 2 x MaxKeys comparisons of a
// prefix; nothing is allocated. One thing is noted: when a leaf was last asked for.
type Catalogue struct {
	number         uint64
	levels         int                 // of the hash tree that it is of; 0: one leaf has all
	complete       bool                // a leaf that is not held has no tenants
	leaves         map[int]*cachedLeaf // leaves, by number
	ready          bool                // the proxy is on the member record, and has read a catalogue since
	authoritative  bool                // read since the present session began
	authorityUntil time.Duration       // the session's authority ends then
	// by its maximal staleness it serves no tenant from then on; 0: there is none
	stopServingAt time.Duration
	behind        bool // there is a newer catalogue, by what a peer said
}

// Ready reports whether the proxy may take requests of tenants at all.
func (c *Catalogue) Ready() bool { return c.ready }

// isAuthoritative reports whether the proxy may say a definite no.
func (c *Catalogue) isAuthoritative(now time.Duration) bool {
	return c.authoritative && now < c.authorityUntil && !c.behind
}

// HasLeaf reports whether the proxy holds the leaf of a name.
func (c *Catalogue) HasLeaf(tenant string) bool {
	return c.complete || c.leaves[leafOf(tenant, c.levels)] != nil
}

// Decide returns the verdict on a request. tenant is as in X-Tenant.
func (c *Catalogue) Decide(now time.Duration, tenant, class, key string) Decision {
	unsure := func(why string, retry time.Duration) Decision {
		return Decision{Reason: why, RetryAfter: retry, CatalogueNumber: c.number}
	}
	switch {
	case !c.ready:
		return unsure(ReasonNotReady, retrySoon)
	case c.stopServingAt > 0 && now >= c.stopServingAt:
		return unsure(ReasonStale, retryLater)
	}
	part := c.leaves[leafOf(tenant, c.levels)]
	var p *compiledEntry
	if part != nil {
		part.usedAt.Store(int64(now))
		p = part.names[tenant]
	}
	switch {
	case part == nil && !c.complete && now < c.authorityUntil:
		return unsure(ReasonLeafMissing, retrySoon)
	case part == nil && !c.complete: // it can't be read for now
		return unsure(ReasonStale, retryLater)
	case p == nil && c.isAuthoritative(now):
		return Decision{Kind: NotFound, CatalogueNumber: c.number}
	case p == nil && c.behind:
		return unsure(ReasonBehind, retrySoon)
	case p == nil:
		return unsure(ReasonStale, retryLater)
	}
	a := p.decide(class, key, c.behind)
	if p.phase == PhaseDrain && !c.isAuthoritative(now) { // the name may be another tenant's by now
		a = unsure(ReasonStale, retryLater)
	}
	a.CatalogueNumber, a.Tenant = c.number, p.name
	return a
}

// decide returns the verdict of an entry.
func (p *compiledEntry) decide(class, key string, behind bool) Decision {
	switch p.phase {
	case PhaseServe:
		return p.current.decide(class, key)
	case PhaseDrain:
		return Decision{Kind: Forbidden, Reason: ReasonLeaving}
	case PhasePrepare, PhaseHold:
	default:
		return Decision{Reason: ReasonUnknownPhase, RetryAfter: retryLater}
	}
	if p.phase == PhasePrepare && !behind {
		if p.current == nil {
			return Decision{Reason: ReasonPreparing, RetryAfter: retrySoon}
		}
		return p.current.decide(class, key)
	}
	if p.current == nil || p.next == nil {
		return Decision{Reason: ReasonChanging, RetryAfter: retrySoon}
	}
	a, b := p.current.decide(class, key), p.next.decide(class, key)
	if a.Kind == b.Kind && a.Reason == b.Reason && (a.Kind != Routed || p.current.classes[class].unchanged) {
		return a
	}
	return Decision{Reason: ReasonChanging, RetryAfter: retrySoon}
}

// decide returns the verdict of a spec.
func (c *compiledSpec) decide(class, key string) Decision {
	if c == nil {
		return Decision{Reason: ReasonUnknownPhase, RetryAfter: retryLater}
	}
	switch l, open := c.classes[class]; {
	case c.suspended:
		return Decision{Kind: Forbidden, Reason: ReasonSuspended}
	case !open:
		return Decision{Kind: Forbidden, Reason: ReasonClass}
	case !c.ownsKey(key):
		return Decision{Kind: Forbidden, Reason: ReasonKey}
	case !c.limitsKnown:
		return Decision{Reason: ReasonLimitMissing, RetryAfter: retrySoon}
	default:
		return Decision{Kind: Routed, Route: l.route, Limit: l.limit}
	}
}

func (c *compiledSpec) ownsKey(key string) bool {
	for _, prefix := range c.keys {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return len(c.keys) == 0
}

// String is for logs.
func (v DecisionKind) String() string {
	if int(v) < len(verdicts) {
		return verdicts[v]
	}
	return fmt.Sprint(uint8(v))
}

var verdicts = [...]string{"unsure", "served", "declined", "unknown"}

package tenant

import (
	"fmt"
	"strings"
	"time"
)

// Verdict is what a node does with a request of a tenant.
type Verdict uint8

// The verdicts, with what a client is told.
const (
	Unsure   Verdict = iota // 503 with Retry-After: this node can't be sure
	Served                  // on its route, within its limit
	Declined                // 403: known, and not to be served
	Unknown                 // 404: a definite no
)

// Answer is the verdict on one request.
type Answer struct {
	Verdict Verdict
	Why     string        // a constant: of Unsure and Declined
	Retry   time.Duration // of Unsure
	Number  uint64        // of the catalogue it comes from
	Tenant  string        // by its name in the catalogue, where it is known
	Route   *Route        // of Served, as is Limit; never the one without the other
	Limit   string
}

// Why a node declines, or is not sure.
const (
	WhySuspended = "the tenant is suspended"
	WhyClass     = "the class is not open to the tenant"
	WhyKey       = "the key is outside the tenant's part of the key space"
	WhyLeaving   = "the tenant is leaving"
	WhyNotReady  = "this node has no catalogue yet"
	WhyNoWord    = "this node has had no word of the catalogue for too long"
	WhyBehind    = "this node is behind the catalogue"
	WhyComing    = "the tenant is being brought in"
	WhyChanging  = "the tenant is being changed"
	WhyQuota     = "the tenant's limit is not in this node's policy yet"
	WhyUnread    = "the tenant's part of the catalogue is being read"
	WhyPhase     = "this node is older than the tenant's state"
)

// What a client is told to wait: once for a step of the conductor, longer where the
// node has to find the list service first.
const (
	retrySoon  = time.Second
	retryLater = 3 * time.Second
)

// Catalogue is what a node answers from at one time. It never changes: the node's
// shell swaps a pointer, so that a request sees one catalogue, whole. A request costs
// one hash of the name, one look into a table of parts, one into a table of names, two
// into tables of classes and at most 2 x MaxKeys comparisons of a prefix; nothing is
// allocated. One thing is noted: when a part was last asked for.
type Catalogue struct {
	number uint64
	levels int           // of the tree whose leaves the parts are; 0: one part has all
	whole  bool          // a part that is not held has no tenants
	held   map[int]*held // parts, by number
	ready  bool          // the node is on the book, and has read a catalogue since
	sure   bool          // read since the present session began
	until  time.Duration // the session's right ends then
	stop   time.Duration // by its hold it serves no tenant from then on; 0: there is none
	behind bool          // there is a newer catalogue, by what a peer said
}

// Ready tells whether the node may take requests of tenants at all.
func (c *Catalogue) Ready() bool { return c.ready }

// right tells whether the node may say a definite no.
func (c *Catalogue) right(now time.Duration) bool { return c.sure && now < c.until && !c.behind }

// Holds tells whether the node holds the part of a name.
func (c *Catalogue) Holds(tenant string) bool {
	return c.whole || c.held[leafOf(tenant, c.levels)] != nil
}

// Answer gives the verdict on a request. tenant is as in X-Tenant.
func (c *Catalogue) Answer(now time.Duration, tenant, class, key string) Answer {
	unsure := func(why string, retry time.Duration) Answer {
		return Answer{Why: why, Retry: retry, Number: c.number}
	}
	switch {
	case !c.ready:
		return unsure(WhyNotReady, retrySoon)
	case c.stop > 0 && now >= c.stop:
		return unsure(WhyNoWord, retryLater)
	}
	part := c.held[leafOf(tenant, c.levels)]
	var p *place
	if part != nil {
		part.used.Store(int64(now))
		p = part.names[tenant]
	}
	switch {
	case part == nil && !c.whole && now < c.until:
		return unsure(WhyUnread, retrySoon)
	case part == nil && !c.whole: // it can't be read for now
		return unsure(WhyNoWord, retryLater)
	case p == nil && c.right(now):
		return Answer{Verdict: Unknown, Number: c.number}
	case p == nil && c.behind:
		return unsure(WhyBehind, retrySoon)
	case p == nil:
		return unsure(WhyNoWord, retryLater)
	}
	a := p.answer(class, key, c.behind)
	if p.phase == Drain && !c.right(now) { // the name may be another tenant's by now
		a = unsure(WhyNoWord, retryLater)
	}
	a.Number, a.Tenant = c.number, p.name
	return a
}

// answer gives the verdict of an entry.
func (p *place) answer(class, key string, behind bool) Answer {
	switch p.phase {
	case Serve:
		return p.now.answer(class, key)
	case Drain:
		return Answer{Verdict: Declined, Why: WhyLeaving}
	case Prepare, Hold:
	default:
		return Answer{Why: WhyPhase, Retry: retryLater}
	}
	if p.phase == Prepare && !behind {
		if p.now == nil {
			return Answer{Why: WhyComing, Retry: retrySoon}
		}
		return p.now.answer(class, key)
	}
	if p.now == nil || p.next == nil {
		return Answer{Why: WhyChanging, Retry: retrySoon}
	}
	a, b := p.now.answer(class, key), p.next.answer(class, key)
	if a.Verdict == b.Verdict && a.Why == b.Why && (a.Verdict != Served || p.now.lanes[class].same) {
		return a
	}
	return Answer{Why: WhyChanging, Retry: retrySoon}
}

// answer gives the verdict of a form.
func (c *compiled) answer(class, key string) Answer {
	if c == nil {
		return Answer{Why: WhyPhase, Retry: retryLater}
	}
	switch l, open := c.lanes[class]; {
	case c.suspended:
		return Answer{Verdict: Declined, Why: WhySuspended}
	case !open:
		return Answer{Verdict: Declined, Why: WhyClass}
	case !c.inside(key):
		return Answer{Verdict: Declined, Why: WhyKey}
	case !c.quota:
		return Answer{Why: WhyQuota, Retry: retrySoon}
	default:
		return Answer{Verdict: Served, Route: l.route, Limit: l.limit}
	}
}

func (c *compiled) inside(key string) bool {
	for _, prefix := range c.keys {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return len(c.keys) == 0
}

// String is for logs.
func (v Verdict) String() string {
	if int(v) < len(verdicts) {
		return verdicts[v]
	}
	return fmt.Sprint(uint8(v))
}

var verdicts = [...]string{"unsure", "served", "declined", "unknown"}

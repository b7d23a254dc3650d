package node

import (
	"cmp"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/list/client"
	"indigotack/internal/tenant"
)

// Bounds of govern.hold_ms: below a few of the session's times a service that is a little late would stop the tenants.
const (
	leastHold = 2 * sessionTTL
	mostHold  = 24 * time.Hour
)

// TenantsConfig says what the node has to do with tenants.
type TenantsConfig struct {
	Known bool          // requests are answered by the catalogue of tenants
	Hold  time.Duration // it serves none after so long without word of the catalogue; 0: it serves on
}

// tenants gives what the key govern says of tenants. g may be nil.
func (g *governForm) tenants() (c TenantsConfig) {
	if g != nil && g.Tenants {
		c = TenantsConfig{Known: true, Hold: time.Duration(g.HoldMS) * time.Millisecond}
	}
	return c
}

func (g *governForm) checkTenants(c Config) (problems []error) {
	if !g.Tenants {
		return nil
	}
	if !g.Policy {
		problems = append(problems, fmt.Errorf("govern: tenants need the policy that has their limits: policy must be true"))
	}
	if g.HoldMS != 0 && (g.HoldMS < leastHold.Milliseconds() || g.HoldMS > mostHold.Milliseconds()) {
		problems = append(problems, fmt.Errorf("govern: hold_ms: %d: want 0, or %d to %d", g.HoldMS, leastHold.Milliseconds(), mostHold.Milliseconds()))
	}
	if err := tenant.CheckName(c.Name); err != nil {
		problems = append(problems, fmt.Errorf("govern: tenants: the node's %w", err))
	}
	return problems
}

// tenants is a node's part in the catalogue of tenants. It is the loop's but for the client, the session and the figures.
type tenants struct {
	k       *client.Client // for the catalogue and the session alone
	desk    *tenant.Desk
	as      tenant.Member     // how the book is to have this node
	now     *tenant.Catalogue // that requests are answered from
	queue   []any             // events for the desk, the first of which is being handled
	table   tenant.Table      // the policy's, as the desk has it
	books   map[string]string // by limit of the policy's table: the name under which that knows its tenant
	lanes   lanes
	session *session
	ready   chan struct{} // closed when it has the catalogue and is on the book, for the first time
	off     chan struct{} // closed when it leaves and the book does not have it any more

	number, known             atomic.Uint64 // of the catalogue; tenants in it
	unsure, declined, unknown atomic.Uint64 // requests
}

// newTenants gives nil where tenants are not told apart.
func newTenants(cfg Config) (*tenants, error) {
	if !cfg.Tenants.Known {
		return nil, nil
	}
	k, err := client.New(client.Config{Addresses: cfg.List, Hold: listHold})
	if err != nil {
		return nil, err
	}
	t := &tenants{k: k, now: &tenant.Catalogue{}, lanes: newLanes(), session: newSession(cfg.Name), ready: make(chan struct{}), off: make(chan struct{})}
	t.begin(cfg, uint64(time.Now().UnixMilli()))
	return t, nil
}

// begin makes the desk of a life in which nothing has been heard or said yet.
func (t *tenants) begin(cfg Config, life uint64) {
	t.desk = tenant.NewDesk(life, cfg.Tenants.Hold)
	t.as = t.desk.Member(cfg.Name)
}

// succeed goes on in the life of the process before, so that the book has both while both serve. One with another hold
// is another member: it begins a later life.
func (n *Node) succeedTenants(before *tenant.Member) {
	t := n.tenants
	if t == nil || before == nil {
		return
	}
	if before.HoldMS == t.as.HoldMS {
		t.begin(n.cfg, before.Life)
	} else {
		t.begin(n.cfg, max(t.as.Life, before.Life+1))
	}
	n.desk(tenant.Tables{Table: t.table})
}

// member is what the next process of this node is told; nil where tenants are not told apart.
func (t *tenants) member() *tenant.Member {
	if t == nil {
		return nil
	}
	return &t.as
}

// isReady is closed once tenants can be served.
func (t *tenants) isReady() <-chan struct{} {
	if t == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	return t.ready
}

// clock is that of the desk: it never steps.
func (n *Node) clock() time.Duration { return time.Since(n.start) }

// desk gives an event to the desk and carries out what it says, before whatever event comes of that.
func (n *Node) desk(event any) {
	t := n.tenants
	t.queue = append(t.queue, event)
	if len(t.queue) > 1 {
		return // the call further up gets to it
	}
	for len(t.queue) > 0 {
		for _, a := range t.desk.Handle(n.clock(), t.queue[0]) {
			switch a := a.(type) {
			case tenant.Swap:
				t.now = a.Catalogue
				n.swapped()
			case tenant.Tell:
				t.session.tell(a.Word)
			case tenant.Fetch:
				t.session.ask()
			case tenant.Cut:
				n.cutTenant(a.Tenant)
			}
		}
		t.queue = t.queue[1:]
	}
	t.queue = nil
}

// swapped follows a new catalogue up.
func (n *Node) swapped() {
	t := n.tenants
	if number := t.desk.Number(); number != t.number.Load() {
		t.number.Store(number)
		t.known.Store(uint64(t.desk.Known()))
		n.tellVersions()
		n.log.Info("tenants", "catalogue", number, "known", t.desk.Known())
	}
	if t.now.Ready() {
		select {
		case <-t.ready:
		default:
			close(t.ready)
		}
	}
	n.settleReady()
}

// tellVersions tells other nodes which policy and which catalogue this one has.
func (n *Node) tellVersions() {
	catalogue := uint64(0)
	if n.tenants != nil {
		catalogue = n.tenants.number.Load()
	}
	if shell := n.view.Load(); shell != nil {
		shell.SetVersions(catalogue, n.governed.version.Load())
	}
}

// tenantTable tells the desk of the policy's table that is evaluated; nil for none.
func (n *Node) tenantTable(table *decide.Table) {
	t := n.tenants
	if t == nil {
		return
	}
	t.books = map[string]string{}
	t.table = tenant.Table{Has: func(limit string) bool { _, ok := t.books[limit]; return ok }}
	if table != nil {
		t.table.Version = table.Version
		for _, l := range table.Limits {
			t.books[l.Name] = bookOf(table, l)
		}
	}
	n.desk(tenant.Tables{Table: t.table})
}

// bookOf is the name by which a table knows the requests that touch a limit; empty: any.
func bookOf(t *decide.Table, l decide.Limit) string {
	for at := l.Part; at >= 0 && at < len(t.Parts); at = t.Parts[at].Within {
		if p := t.Parts[at]; p.Axis == decide.OfBook && p.Word != decide.Others {
			return p.Word
		}
	}
	return ""
}

// judge answers a request by the catalogue, unless that has it served: then it says to the module which class, variant
// and tenant it is of. All of it is one step of the loop, as is a new catalogue: no request is judged by one and counted
// by the next.
func (n *Node) judge(r *request, e *decide.RequestArrived) (serve bool) {
	t := n.tenants
	if t == nil {
		return true
	}
	v := t.now.Answer(n.clock(), e.Tenant, e.Class, e.Key)
	lane := ""
	if v.Verdict == tenant.Served {
		if lane = t.lanes.of(v.Route, e.Class); lane == "" {
			v = tenant.Answer{Verdict: tenant.Unsure, Retry: laneRetry}
		}
	}
	a := answer{}
	switch v.Verdict {
	case tenant.Served:
		e.Tenant, e.Class = cmp.Or(t.books[v.Limit], v.Tenant), lane
		r.tenant = v.Tenant
		n.desk(tenant.Begun{Tenant: v.Tenant})
		return true
	case tenant.Declined:
		a.status = http.StatusForbidden
		t.declined.Add(1)
	case tenant.Unknown:
		a.status = http.StatusNotFound
		t.unknown.Add(1)
	default:
		a.status, a.holdOff = http.StatusServiceUnavailable, v.Retry
		t.unsure.Add(1)
	}
	r.done = true
	r.answer <- a
	return false
}

// overTenant counts a request out of its tenant's, once nothing of it is under way.
func (n *Node) overTenant(r *request) {
	if name := r.tenant; name != "" {
		r.tenant = ""
		n.desk(tenant.Over{Tenant: name})
	}
}

// cutTenant ends what is open of a tenant. What has been sent may have run, and is not refused; what has begun at the
// client breaks off.
func (n *Node) cutTenant(name string) {
	cut := 0
	for _, r := range n.requests {
		if r.tenant != name {
			continue
		}
		cut++
		if !r.done {
			status := http.StatusServiceUnavailable
			if len(r.attempts) > 0 {
				status = http.StatusBadGateway
			}
			n.finish(r.id, answer{status: status})
			n.handle(decide.RequestAbandoned{ID: r.id})
		}
		for _, cancel := range r.attempts {
			cancel() // the module may not be allowed to
		}
		if r.stream != nil {
			r.stream.pull()
		}
	}
	n.log.Info("a tenant's requests are cut off", "tenant", name, "open", cut)
}

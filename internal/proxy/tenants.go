package proxy

import (
	"sync/atomic"
	"time"

	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
	"wrenspread/ratelimit"
)

// tenants is a node's part in the catalogue of tenants. It is the loop's but for the client, the session and the figures.
type tenants struct {
	k       *client.Client // for the catalogue and the session alone
	desk    *tenant.Cache
	as      tenant.Member      // how the book is to have this node
	now     *tenant.Catalogue  // that requests are answered from
	queue   []any              // events for the desk, the first of which is being handled
	table   tenant.PolicyTable // the policy's, as the desk has it
	books   map[string]string  // by limit of the policy's table: the name under which that knows its tenant
	lanes   lanes
	session *session
	parked  []parked
	look    bool          // there is another catalogue: some of parked may go on
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
	t.desk = tenant.NewCache(life, cfg.Tenants.Hold, cfg.Tenants.OnDemand)
	t.as = t.desk.Member(cfg.Name)
}

// succeed goes on in the life of the process before, so that the book has both while both serve. One with another hold
// is another member: it begins a later life.
func (n *Node) succeedTenants(before *tenant.Member) {
	t := n.tenants
	if t == nil || before == nil {
		return
	}
	if before.MaxStalenessMS == t.as.MaxStalenessMS {
		t.begin(n.cfg, before.Generation)
	} else {
		t.begin(n.cfg, max(t.as.Generation, before.Generation+1))
	}
	n.desk(tenant.PolicyChanged{PolicyTable: t.table})
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
			case tenant.SwapCatalogue:
				t.now, t.look = a.Catalogue, true
				n.swapped()
			case tenant.TellStatus:
				t.session.tell(a.Status)
			case tenant.ReadCatalogue:
				t.session.ask()
			case tenant.CutRequests:
				n.cutTenant(a.Tenant)
			}
		}
		t.queue = t.queue[1:]
	}
	t.queue = nil
	if t.look {
		t.look = false
		n.unpark()
	}
}

// swapped follows a new catalogue up.
func (n *Node) swapped() {
	t := n.tenants
	if number := t.desk.Number(); number != t.number.Load() {
		t.number.Store(number)
		t.known.Store(uint64(t.desk.TenantCount()))
		n.tellVersions()
		n.log.Info("tenants", "catalogue", number, "known", t.desk.TenantCount())
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
func (n *Node) tenantTable(table *ratelimit.Table) {
	t := n.tenants
	if t == nil {
		return
	}
	t.books = map[string]string{}
	t.table = tenant.PolicyTable{HasLimit: func(limit string) bool { _, ok := t.books[limit]; return ok }}
	if table != nil {
		t.table.Version = table.Version
		for _, l := range table.Limits {
			t.books[l.Name] = bookOf(table, l)
		}
	}
	n.desk(tenant.PolicyChanged{PolicyTable: t.table})
}

// bookOf is the name by which a table knows the requests that touch a limit; empty: any.
func bookOf(t *ratelimit.Table, l ratelimit.Limit) string {
	for at := l.Scope; at >= 0 && at < len(t.Scopes); at = t.Scopes[at].Parent {
		if p := t.Scopes[at]; p.Attribute == ratelimit.AttributeTenant && p.Value != ratelimit.AnyOther {
			return p.Value
		}
	}
	return ""
}

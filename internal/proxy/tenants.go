package proxy

import (
	"sync/atomic"
	"time"

	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
	"wrenspread/ratelimit"
)

// tenantService is a proxy's part in the catalogue of tenants. It is the loop's but for the client, the
// session and the figures.
type tenantService struct {
	client        *client.Client // for the catalogue and the session alone
	cache         *tenant.Cache
	self          tenant.Member      // how the member record is to have this proxy
	catalogue     *tenant.Catalogue  // that requests are answered from
	pendingEvents []any              // events for the cache, the first of which is being handled
	policy        tenant.PolicyTable // the policy's, as the cache has it
	// by limit of the policy's table: the name under which that knows its tenant
	tenantByLimit    map[string]string
	routes           routeVariants
	session          *registrySession
	parked           []parkedRequest
	catalogueChanged bool // there is another catalogue: some of parked may go on
	// closed when it has the catalogue and is on the member record, for the first time
	ready chan struct{}
	left  chan struct{} // closed when it leaves and the member record does not have it any more

	number, tenantCount              atomic.Uint64 // of the catalogue; tenants in it
	unavailable, forbidden, notFound atomic.Uint64 // requests
}

// newTenantService gives nil where tenants are not distinguished.
func newTenantService(cfg Config) (*tenantService, error) {
	if !cfg.Tenants.Enabled {
		return nil, nil
	}
	k, err := client.New(client.Config{Addresses: cfg.Registry, Hold: listHold})
	if err != nil {
		return nil, err
	}
	t := &tenantService{
		client:    k,
		catalogue: &tenant.Catalogue{},
		routes:    newRouteVariants(),
		session:   newRegistrySession(cfg.Name),
		ready:     make(chan struct{}),
		left:      make(chan struct{}),
	}
	t.startGeneration(cfg, uint64(time.Now().UnixMilli()))
	return t, nil
}

// startGeneration makes the cache of a generation in which nothing has been heard or said yet.
func (t *tenantService) startGeneration(cfg Config, life uint64) {
	t.cache = tenant.NewCache(life, cfg.Tenants.MaxStaleness, cfg.Tenants.OnDemand)
	t.self = t.cache.Member(cfg.Name)
}

// succeed goes on in the generation of the previous process, so that the member record has both while both
// serve. One with another hold is another member: it begins a later generation.
func (srv *Server) continueGeneration(before *tenant.Member) {
	t := srv.tenants
	if t == nil || before == nil {
		return
	}
	if before.MaxStalenessMS == t.self.MaxStalenessMS {
		t.startGeneration(srv.config, before.Generation)
	} else {
		t.startGeneration(srv.config, max(t.self.Generation, before.Generation+1))
	}
	srv.handleTenantEvent(tenant.PolicyChanged{PolicyTable: t.policy})
}

// member is what the next process of this proxy receives; nil where tenants are not distinguished.
func (t *tenantService) member() *tenant.Member {
	if t == nil {
		return nil
	}
	return &t.self
}

// isReady is closed once tenants can be served.
func (t *tenantService) isReady() <-chan struct{} {
	if t == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	return t.ready
}

// tenantClock is that of the cache: it never steps.
func (srv *Server) tenantClock() time.Duration { return time.Since(srv.start) }

// handleTenantEvent gives an event to the cache and carries out what it says, before whatever event comes of
// that.
func (srv *Server) handleTenantEvent(event any) {
	t := srv.tenants
	t.pendingEvents = append(t.pendingEvents, event)
	if len(t.pendingEvents) > 1 {
		return // the call further up gets to it
	}
	for len(t.pendingEvents) > 0 {
		for _, a := range t.cache.Handle(srv.tenantClock(), t.pendingEvents[0]) {
			switch a := a.(type) {
			case tenant.SwapCatalogue:
				t.catalogue, t.catalogueChanged = a.Catalogue, true
				srv.catalogueSwapped()
			case tenant.TellStatus:
				t.session.setStatus(a.Status)
			case tenant.ReadCatalogue:
				t.session.requestRead()
			case tenant.CutRequests:
				srv.cutTenantRequests(a.Tenant)
			}
		}
		t.pendingEvents = t.pendingEvents[1:]
	}
	t.pendingEvents = nil
	if t.catalogueChanged {
		t.catalogueChanged = false
		srv.resumeParked()
	}
}

// catalogueSwapped follows a new catalogue up.
func (srv *Server) catalogueSwapped() {
	t := srv.tenants
	if number := t.cache.Number(); number != t.number.Load() {
		t.number.Store(number)
		t.tenantCount.Store(uint64(t.cache.TenantCount()))
		srv.announceVersions()
		srv.log.Info("tenants", "catalogue", number, "known", t.cache.TenantCount())
	}
	if t.catalogue.Ready() {
		select {
		case <-t.ready:
		default:
			close(t.ready)
		}
	}
	srv.updateReady()
}

// announceVersions tells other proxies which policy and which catalogue this one has.
func (srv *Server) announceVersions() {
	catalogue := uint64(0)
	if srv.tenants != nil {
		catalogue = srv.tenants.number.Load()
	}
	if shell := srv.membership.Load(); shell != nil {
		shell.SetVersions(catalogue, srv.policy.version.Load())
	}
}

// setTenantPolicy tells the cache of the policy's table that is evaluated; nil for none.
func (srv *Server) setTenantPolicy(table *ratelimit.Table) {
	t := srv.tenants
	if t == nil {
		return
	}
	t.tenantByLimit = map[string]string{}
	t.policy = tenant.PolicyTable{
		HasLimit: func(limit string) bool { _, ok := t.tenantByLimit[limit]; return ok },
	}
	if table != nil {
		t.policy.Version = table.Version
		for _, l := range table.Limits {
			t.tenantByLimit[l.Name] = tenantOf(table, l)
		}
	}
	srv.handleTenantEvent(tenant.PolicyChanged{PolicyTable: t.policy})
}

// tenantOf is the name by which a table knows the requests that touch a limit; empty: any.
func tenantOf(t *ratelimit.Table, l ratelimit.Limit) string {
	for at := l.Scope; at >= 0 && at < len(t.Scopes); at = t.Scopes[at].Parent {
		if p := t.Scopes[at]; p.Attribute == ratelimit.AttributeTenant && p.Value != ratelimit.AnyOther {
			return p.Value
		}
	}
	return ""
}

package proxy

import (
	"sync/atomic"
	"time"

	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
	"wrenspread/ratelimit"
)

// The log message of an applied catalogue of tenants and the key of its number. The lab's measurements read
// both.
const (
	CatalogueMessage   = "tenants"
	CatalogueNumberKey = "catalogue"
)

// tenantService follows the catalogue of tenants and decides requests by it. Its fields belong to the loop,
// except the client, the session, the channels and the atomic counters, which /stats reads.
type tenantService struct {
	client        *client.Client // for the catalogue and the session only
	cache         *tenant.Cache
	self          tenant.Member      // the entry that this proxy should have in the member record
	catalogue     *tenant.Catalogue  // the catalogue by which requests are decided
	pendingEvents []any              // events for the cache; the first one is being handled
	policy        tenant.PolicyTable // the table that the cache was given last
	// tenantByLimit has, for each limit of the policy's table, the tenant's name in that table.
	tenantByLimit    map[string]string
	routes           routeVariants
	session          *registrySession
	parked           []parkedRequest
	catalogueChanged bool // set when parked requests have to be checked again
	// ready is closed when the proxy first has the catalogue and is in the member record.
	ready             chan struct{}
	removedFromRecord chan struct{} // closed when the proxy leaves and is no longer in the member record

	catalogueNumber, tenantCount     atomic.Uint64 // number of the catalogue; tenants in it
	unavailable, forbidden, notFound atomic.Uint64 // requests answered 503, 403, 404
}

// newTenantService returns the service, or nil where tenants are not distinguished.
func newTenantService(cfg Config) (*tenantService, error) {
	if !cfg.Tenants.Enabled {
		return nil, nil
	}
	registryClient, err := client.New(client.Config{Addresses: cfg.Registry, Hold: registryWatchHold})
	if err != nil {
		return nil, err
	}
	t := &tenantService{
		client:            registryClient,
		catalogue:         &tenant.Catalogue{},
		routes:            newRouteVariants(),
		session:           newRegistrySession(cfg.Name),
		ready:             make(chan struct{}),
		removedFromRecord: make(chan struct{}),
	}
	t.startGeneration(cfg, uint64(time.Now().UnixMilli()))
	return t, nil
}

// startGeneration makes an empty cache for a generation, and sets the proxy's entry in the member record.
func (t *tenantService) startGeneration(cfg Config, generation uint64) {
	t.cache = tenant.NewCache(generation, cfg.Tenants.MaxStaleness, cfg.Tenants.OnDemand)
	t.self = t.cache.Member(cfg.Name)
}

// continueGeneration continues the generation of the previous process, so that one entry in the member record
// covers both processes while both serve. If MaxStaleness has changed, the entry has to change too, so a
// later generation begins.
func (srv *Server) continueGeneration(previous *tenant.Member) {
	t := srv.tenants
	if t == nil || previous == nil {
		return
	}
	if previous.MaxStalenessMS == t.self.MaxStalenessMS {
		t.startGeneration(srv.config, previous.Generation)
	} else {
		t.startGeneration(srv.config, max(t.self.Generation, previous.Generation+1))
	}
	srv.handleTenantEvent(tenant.PolicyChanged{PolicyTable: t.policy})
}

// member returns the proxy's entry in the member record for the next process; nil where tenants are not
// distinguished.
func (t *tenantService) member() *tenant.Member {
	if t == nil {
		return nil
	}
	return &t.self
}

// readyChannel returns a channel that is closed once tenants can be served.
func (t *tenantService) readyChannel() <-chan struct{} {
	if t == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	return t.ready
}

// tenantClock is the cache's clock: the time since the start of the process, which changes of the system's
// clock do not affect.
func (srv *Server) tenantClock() time.Duration { return time.Since(srv.start) }

// handleTenantEvent gives an event to the cache and carries out the actions that it returns. Events that
// these actions cause are queued and handled afterwards.
func (srv *Server) handleTenantEvent(event any) {
	t := srv.tenants
	t.pendingEvents = append(t.pendingEvents, event)
	if len(t.pendingEvents) > 1 {
		return // the call that handles the first event handles this one too
	}
	for len(t.pendingEvents) > 0 {
		for _, a := range t.cache.Handle(srv.tenantClock(), t.pendingEvents[0]) {
			switch a := a.(type) {
			case tenant.SwapCatalogue:
				t.catalogue, t.catalogueChanged = a.Catalogue, true
				srv.catalogueSwapped()
			case tenant.ReportStatus:
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

// catalogueSwapped updates the counters, the announced versions and the readiness after a change of
// catalogue.
func (srv *Server) catalogueSwapped() {
	t := srv.tenants
	if number := t.cache.Number(); number != t.catalogueNumber.Load() {
		t.catalogueNumber.Store(number)
		t.tenantCount.Store(uint64(t.cache.TenantCount()))
		srv.announceVersions()
		srv.log.Info(CatalogueMessage, CatalogueNumberKey, number, "known", t.cache.TenantCount())
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

// announceVersions publishes the versions of this proxy's policy and catalogue to the other members.
func (srv *Server) announceVersions() {
	catalogue := uint64(0)
	if srv.tenants != nil {
		catalogue = srv.tenants.catalogueNumber.Load()
	}
	if gossipServer := srv.membership.Load(); gossipServer != nil {
		gossipServer.SetVersions(catalogue, srv.policy.version.Load())
	}
}

// setTenantPolicy gives the cache the policy table that the proxy applies; table is nil if there is none.
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
		for _, limit := range table.Limits {
			t.tenantByLimit[limit.Name] = tenantOfLimit(table, limit)
		}
	}
	srv.handleTenantEvent(tenant.PolicyChanged{PolicyTable: t.policy})
}

// tenantOfLimit returns the tenant that a limit is for: the one named in the innermost of the limit's scopes
// that name a tenant; empty if none of them does.
func tenantOfLimit(table *ratelimit.Table, limit ratelimit.Limit) string {
	for scope := limit.Scope; scope >= 0 && scope < len(table.Scopes); scope = table.Scopes[scope].Parent {
		if condition := table.Scopes[scope]; condition.Attribute == ratelimit.AttributeTenant &&
			condition.Value != ratelimit.AnyOther {
			return condition.Value
		}
	}
	return ""
}

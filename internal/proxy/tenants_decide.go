package proxy

import (
	"cmp"
	"net/http"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

// decideTenant answers a request by the catalogue, unless that has it served: then it says to the balancer
// which class, variant and tenant it is of. All of it is one step of the loop, as is a new catalogue: no
// request is judged by one and counted by the next.
func (srv *Server) decideTenant(r *request, e *balancer.RequestArrived) (serve bool) {
	t := srv.tenants
	if t == nil {
		return true
	}
	v := t.catalogue.Decide(srv.tenantClock(), e.Tenant, e.Class, e.Key)
	lane := ""
	if v.Kind == tenant.Routed {
		if lane = t.routes.classFor(v.Route, e.Class, e.PreviousSettings); lane == "" {
			v = tenant.Decision{Kind: tenant.Unavailable, RetryAfter: routeRetryAfter}
		}
	}
	a := response{}
	switch v.Kind {
	case tenant.Routed:
		e.Tenant, e.Class = cmp.Or(t.tenantByLimit[v.Limit], v.Tenant), lane
		r.tenant = v.Tenant
		srv.handleTenantEvent(tenant.RequestStarted{Tenant: v.Tenant})
		return true
	case tenant.Forbidden:
		a.status = http.StatusForbidden
		t.forbidden.Add(1)
	case tenant.NotFound:
		a.status = http.StatusNotFound
		t.notFound.Add(1)
	default:
		if v.Reason == tenant.ReasonLeafMissing && srv.parkRequest(r, *e) {
			return false
		}
		a.status, a.retryAfter = http.StatusServiceUnavailable, v.RetryAfter
		t.unavailable.Add(1)
	}
	r.answered = true
	r.response <- a
	return false
}

// tenantRequestEnded counts a request out of its tenant's, once nothing of it is under way.
func (srv *Server) tenantRequestEnded(r *request) {
	if name := r.tenant; name != "" {
		r.tenant = ""
		srv.handleTenantEvent(tenant.RequestEnded{Tenant: name})
	}
}

// cutTenantRequests ends what is open of a tenant. What has been sent may have run, and is not refused; what
// has begun at the client breaks off.
func (srv *Server) cutTenantRequests(name string) {
	cut := 0
	for _, r := range srv.requests {
		if r.tenant != name {
			continue
		}
		cut++
		if !r.answered {
			status := http.StatusServiceUnavailable
			if len(r.cancelAttempts) > 0 {
				status = http.StatusBadGateway
			}
			srv.answerRequest(r.id, response{status: status})
			srv.handle(balancer.RequestAbandoned{ID: r.id})
		}
		for _, cancel := range r.cancelAttempts {
			cancel() // the balancer may not be allowed to
		}
		if r.stream != nil {
			r.stream.cancel()
		}
	}
	srv.log.Info("tenant's requests cut off", "tenant", name, "open", cut)
}

package proxy

import (
	"cmp"
	"net/http"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

// decideTenant decides a request by the catalogue. If the request is to be served, it returns true, and sets
// the event's class (a route's variant) and tenant for the balancer. Otherwise it answers or parks the
// request. The decision is one step of the loop, and so is a change of catalogue, so no request is decided by
// one catalogue and counted under the next.
func (srv *Server) decideTenant(r *request, event *balancer.RequestArrived) (serve bool) {
	t := srv.tenants
	if t == nil {
		return true
	}
	decision := t.catalogue.Decide(srv.tenantClock(), event.Tenant, event.Class, event.Key)
	class := ""
	if decision.Kind == tenant.Routed {
		if class = t.routes.classFor(decision.Route, event.Class, event.PreviousSettings); class == "" {
			decision = tenant.Decision{Kind: tenant.Unavailable, RetryAfter: routeRetryAfter}
		}
	}
	answer := response{}
	switch decision.Kind {
	case tenant.Routed:
		event.Tenant, event.Class = cmp.Or(t.tenantByLimit[decision.Limit], decision.Tenant), class
		r.tenant = decision.Tenant
		srv.handleTenantEvent(tenant.RequestStarted{Tenant: decision.Tenant})
		return true
	case tenant.Forbidden:
		answer.status = http.StatusForbidden
		t.forbidden.Add(1)
	case tenant.NotFound:
		answer.status = http.StatusNotFound
		t.notFound.Add(1)
	default:
		if decision.Reason == tenant.ReasonLeafMissing && srv.parkRequest(r, *event) {
			return false
		}
		answer.status, answer.retryAfter = http.StatusServiceUnavailable, decision.RetryAfter
		t.unavailable.Add(1)
	}
	srv.answerUnopened(r, answer)
	return false
}

// tenantRequestEnded reports to the cache that a tenant's request has ended, with all its attempts.
func (srv *Server) tenantRequestEnded(r *request) {
	if name := r.tenant; name != "" {
		r.tenant = ""
		srv.handleTenantEvent(tenant.RequestEnded{Tenant: name})
	}
}

// cutTenantRequests ends a tenant's open requests. A request without an attempt gets 503. A request with an
// attempt may have been executed, so it gets 502, which does not mean a rejection. A response that is being
// streamed is cut off.
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
			cancel() // the settings may not allow the balancer to cancel them
		}
		if r.stream != nil {
			r.stream.cancel()
		}
	}
	srv.log.Info("tenant's requests cut off", "tenant", name, "open", cut)
}

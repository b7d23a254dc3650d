package proxy

import (
	"cmp"
	"net/http"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

// judge answers a request by the catalogue, unless that has it served: then it says to the module which class, variant
// and tenant it is of. All of it is one step of the loop, as is a new catalogue: no request is judged by one and counted
// by the next.
func (n *Node) judge(r *request, e *balancer.RequestArrived) (serve bool) {
	t := n.tenants
	if t == nil {
		return true
	}
	v := t.now.Decide(n.clock(), e.Tenant, e.Class, e.Key)
	lane := ""
	if v.Kind == tenant.Routed {
		if lane = t.lanes.of(v.Route, e.Class, e.PreviousSettings); lane == "" {
			v = tenant.Decision{Kind: tenant.Unavailable, RetryAfter: laneRetry}
		}
	}
	a := answer{}
	switch v.Kind {
	case tenant.Routed:
		e.Tenant, e.Class = cmp.Or(t.books[v.Limit], v.Tenant), lane
		r.tenant = v.Tenant
		n.desk(tenant.RequestStarted{Tenant: v.Tenant})
		return true
	case tenant.Forbidden:
		a.status = http.StatusForbidden
		t.declined.Add(1)
	case tenant.NotFound:
		a.status = http.StatusNotFound
		t.unknown.Add(1)
	default:
		if v.Reason == tenant.ReasonLeafMissing && n.park(r, *e) {
			return false
		}
		a.status, a.holdOff = http.StatusServiceUnavailable, v.RetryAfter
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
		n.desk(tenant.RequestEnded{Tenant: name})
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
			n.handle(balancer.RequestAbandoned{ID: r.id})
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

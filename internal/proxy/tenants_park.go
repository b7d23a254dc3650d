package proxy

import (
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

// A request that names a tenant whose part of the catalogue is being read waits for it: for
// the read that is under way and the next one, each of up to five calls of some 20 ms with the
// registry, and again as long. A proxy that starts parks no more than it can read parts of.
const (
	parkTimeout = 400 * time.Millisecond // tenantTick later at most
	maxParked   = 1024
)

// parkedRequest is a request that waits for its tenant's part of the catalogue.
type parkedRequest struct {
	request     *request
	event       balancer.RequestArrived
	until       time.Time
	firstNumber int // as in rules, of the settings that its class is of; -1: of those before
}

// parkRequest has the part of a request's tenant read, and the request wait for it once. false: it
// is to be answered now.
func (srv *Server) parkRequest(r *request, e balancer.RequestArrived) bool {
	t := srv.tenants
	srv.handleTenantEvent(tenant.LeafMissing{Name: e.Tenant})
	if r.parked || len(t.parked) >= maxParked || !t.cache.IsLeafRequested(e.Tenant) {
		return false
	}
	r.parked = true
	srv.requests[r.id] = r
	p := parkedRequest{r, e, time.Now().Add(parkTimeout), -1}
	if rules := srv.frontend.rules.Load(); r.settingsNumber == rules.number {
		p.firstNumber = rules.firstNumber
	}
	t.parked = append(t.parked, p)
	if r.outbound.upload != nil {
		r.deadlineGuard = time.AfterFunc(maxUploadTime, func() {}) // its time has not begun
	} else {
		srv.guardDeadline(r, time.Until(r.deadline))
	}
	return true
}

// resumeParked has those go on whose part is there, and those that have waited for long enough.
func (srv *Server) resumeParked() {
	t := srv.tenants
	all := t.parked
	t.parked = nil
	for _, p := range all {
		switch {
		case p.request.answered: // its client has gone, or its time has
		case t.catalogue.HasLeaf(p.event.Tenant) || !t.catalogue.Ready() || !time.Now().Before(p.until):
			p.request.deadlineGuard.Stop()
			delete(srv.requests, p.request.id)
			// the balancer has the same once more, with new routes
			if rules := srv.frontend.rules.Load(); p.firstNumber == rules.firstNumber {
				p.request.settingsNumber = rules.number
			}
			srv.openRequest(p.request, p.event)
		default:
			t.parked = append(t.parked, p)
		}
	}
}

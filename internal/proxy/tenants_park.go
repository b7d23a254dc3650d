package proxy

import (
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

// A request whose tenant is in a leaf of the catalogue that is being read is parked until the leaf has been
// read. The timeout is twice the time of the present read and the next one, each of up to five registry calls
// of about 20 ms. The number of parked requests is limited so that a proxy that starts parks no more requests
// than it can read leaves for.
const (
	parkTimeout = 400 * time.Millisecond // checked every tenantTick
	maxParked   = 1024
)

// parkedRequest is a request that waits for its tenant's leaf of the catalogue.
type parkedRequest struct {
	request             *request
	event               balancer.RequestArrived
	until               time.Time
	firstSettingsNumber int // of the rules by which it was accepted; -1: by the previous settings
}

// parkRequest requests a read of the leaf of the request's tenant, and parks the request meanwhile. It
// returns false if the request has to be answered now: it has been parked before, too many requests are
// parked, or the leaf will not be read.
func (srv *Server) parkRequest(r *request, e balancer.RequestArrived) bool {
	t := srv.tenants
	srv.handleTenantEvent(tenant.LeafMissing{Name: e.Tenant})
	if r.parked || len(t.parked) >= maxParked || !t.cache.IsLeafRequested(e.Tenant) {
		return false
	}
	r.parked = true
	srv.requests[r.id] = r
	p := parkedRequest{r, e, time.Now().Add(parkTimeout), -1}
	if rules := srv.frontend.rules.Load(); r.settingsNumber == rules.settingsNumber {
		p.firstSettingsNumber = rules.firstSettingsNumber
	}
	t.parked = append(t.parked, p)
	if r.outbound.upload != nil {
		r.deadlineGuard = time.AfterFunc(maxUploadTime, func() {}) // placeholder until the body ends
	} else {
		srv.guardDeadline(r, time.Until(r.deadline))
	}
	return true
}

// resumeParked opens the parked requests that can be decided now, and those whose park timeout has passed.
func (srv *Server) resumeParked() {
	t := srv.tenants
	parked := t.parked
	t.parked = nil
	for _, p := range parked {
		switch {
		case p.request.answered: // the client has gone, or the deadline has passed
		case t.catalogue.HasLeaf(p.event.Tenant) || !t.catalogue.Ready() || !time.Now().Before(p.until):
			p.request.deadlineGuard.Stop()
			delete(srv.requests, p.request.id)
			// The balancer may have been given the same settings again, with new routes, under a higher number.
			if rules := srv.frontend.rules.Load(); p.firstSettingsNumber == rules.firstSettingsNumber {
				p.request.settingsNumber = rules.settingsNumber
			}
			srv.openRequest(p.request, p.event)
		default:
			t.parked = append(t.parked, p)
		}
	}
}

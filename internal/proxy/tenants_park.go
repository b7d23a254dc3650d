package proxy

import (
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

// A request that names a tenant whose part of the catalogue is being read waits for it: for
// the read that is under way and the next one, each of up to five calls of some 20 ms with the
// list service, and again as long. A node that starts parks no more than it can read parts of.
const (
	parkTime   = 400 * time.Millisecond // tenantTick later at most
	mostParked = 1024
)

// parked is a request that waits for its tenant's part of the catalogue.
type parked struct {
	r     *request
	e     balancer.RequestArrived
	until time.Time
	came  int // as in rules, of the settings that its class is of; -1: of those before
}

// park has the part of a request's tenant read, and the request wait for it once. false: it
// is to be answered now.
func (n *Node) park(r *request, e balancer.RequestArrived) bool {
	t := n.tenants
	n.desk(tenant.LeafMissing{Name: e.Tenant})
	if r.parked || len(t.parked) >= mostParked || !t.desk.IsLeafRequested(e.Tenant) {
		return false
	}
	r.parked = true
	n.requests[r.id] = r
	p := parked{r, e, time.Now().Add(parkTime), -1}
	if rules := n.front.rules.Load(); r.settings == rules.number {
		p.came = rules.came
	}
	t.parked = append(t.parked, p)
	if r.out.rest != nil {
		r.guard = time.AfterFunc(uploadMost, func() {}) // its time has not begun
	} else {
		n.keepTime(r, time.Until(r.deadline))
	}
	return true
}

// unpark has those go on whose part is there, and those that have waited for long enough.
func (n *Node) unpark() {
	t := n.tenants
	all := t.parked
	t.parked = nil
	for _, p := range all {
		switch {
		case p.r.done: // its client has gone, or its time has
		case t.now.HasLeaf(p.e.Tenant) || !t.now.Ready() || !time.Now().Before(p.until):
			p.r.guard.Stop()
			delete(n.requests, p.r.id)
			if rules := n.front.rules.Load(); p.came == rules.came { // the module has the same once more, with new routes
				p.r.settings = rules.number
			}
			n.open(p.r, p.e)
		default:
			t.parked = append(t.parked, p)
		}
	}
}

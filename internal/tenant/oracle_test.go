package tenant

import (
	"fmt"
	"slices"
	"time"
)

const testTombstone = 4 * time.Second

// oracle has the decisions that are allowed for each tenant, derived from the records that were written and
// not by the code under test.
type oracle struct {
	number      uint64            // of the catalogue on record
	published   map[string]string // by tenant and class: "" for unknown, leaving, suspended, or route and limit
	state       map[string]State
	removedAt   map[string]time.Duration // time at which a tenant became Removed
	activations map[string]int           // number of times a tenant was added
	ownedLimits [][2]string              // limits with the tenants that own them
}

func newOracle() oracle {
	return oracle{published: map[string]string{}, state: map[string]State{}, removedAt: map[string]time.Duration{}, activations: map[string]int{}}
}

const (
	leaving   = "leaving"
	suspended = "suspended"
)

// routeAndLimit returns the zone of the route and the limit that a spec has for a class, or suspended.
func routeAndLimit(spec *Spec, class string) string {
	if spec.Suspended {
		return suspended
	}
	return spec.Route(class).Zones[0] + " " + spec.limit(class)
}

// recordWritten updates the oracle after a write, and checks the rules for records.
func (o *oracle) recordWritten(w *simulation, write RecordWrite) {
	if name, is := keyName(write.Key, TenantPrefix); is && write.Value != nil {
		tenant, err := DecodeTenant(write.Value, 0)
		if err != nil {
			w.fail("%v", err)
			return
		}
		if tenant.State != o.state[name] {
			w.logf("%s is %s %v", name, tenant.State, tenant.Outcomes)
			if proxy := w.proxies[w.IntN(len(w.proxies))]; w.pendingCutOffs > 0 && !w.faultless {
				w.pendingCutOffs--
				w.after(time.Duration(w.IntN(300))*time.Millisecond, func() { w.cutOff(proxy, 9*time.Second) })
			}
		}
		if tenant.State == Removed && o.state[name] != Removed {
			o.removedAt[name] = w.now
		}
		o.state[name] = tenant.State
		o.checkOwnedLimits(w, tenant)
	}
	if write.Key == HeadKey {
		o.catalogueWritten(w)
	}
}

// checkOwnedLimits checks that the floors of all owned limits fit, and that no two tenants own the same
// limit.
func (o *oracle) checkOwnedLimits(w *simulation, tenant *Tenant) {
	o.ownedLimits = slices.DeleteFunc(o.ownedLimits, func(l [2]string) bool { return l[1] == tenant.Name })
	for _, spec := range []*Spec{tenant.Current, tenant.Next} {
		if spec == nil || tenant.State == Rejected || tenant.State == Removed {
			continue
		}
		for _, quota := range spec.Quotas {
			i := slices.IndexFunc(o.ownedLimits, func(l [2]string) bool { return l[0] == quota.Limit })
			if i < 0 {
				o.ownedLimits = append(o.ownedLimits, [2]string{quota.Limit, tenant.Name})
			} else if o.ownedLimits[i][1] != tenant.Name {
				w.fail("limit %s is owned by both %s and %s", quota.Limit, o.ownedLimits[i][1], tenant.Name)
			}
		}
	}
	if sum := float64(len(o.ownedLimits)); sum > w.policy.TotalFloor { // each floor of the test's policy is 1
		w.fail("the floors of all owned limits sum up to %g, want at most %g", sum, w.policy.TotalFloor)
	}
}

// catalogueWritten updates the oracle after a new head was written, and checks the rules for catalogues.
func (o *oracle) catalogueWritten(w *simulation) {
	snapshot := w.snapshot()
	if snapshot == nil {
		return
	}
	if snapshot.Number <= o.number {
		w.fail("catalogue %d was written after catalogue %d", snapshot.Number, o.number)
	}
	o.number, w.snapshots[snapshot.Number] = snapshot.Number, snapshot
	w.logf("catalogue %d", o.number)
	entries := snapshot.byName()
	for name := range w.tenantCount {
		name := fmt.Sprint("t", name)
		e := entries[name]
		for _, class := range []string{"a", "b"} {
			key, previous := name+" "+class, o.published[name+" "+class]
			switch {
			case e == nil:
				o.published[key] = ""
			case e.Phase == PhaseDrain:
				o.published[key] = leaving
			case e.Current != nil && (e.Phase == PhaseServe || e.Phase == PhasePrepare):
				if o.published[key] = routeAndLimit(e.Current, class); previous == "" && class == "a" {
					o.activations[name]++
					if at, gone := o.removedAt[name]; gone && w.now-at < testTombstone/2 {
						w.fail("%s is served again %v after it was removed, within its tombstone", name, w.now-at)
					}
				}
			}
		}
		if e == nil {
			o.checkNoOpenRequests(w, name)
		}
	}
}

// checkNoOpenRequests checks that no proxy has requests in flight of a tenant that is no longer in the
// catalogue.
func (o *oracle) checkNoOpenRequests(w *simulation, name string) {
	for _, proxy := range w.proxies {
		if proxy.openRequests[name] > 0 && !proxy.dead && proxy.tickedSinceWake {
			w.fail("%s is no longer in the catalogue, but %s has %d of its requests in flight", name, proxy.name, proxy.openRequests[name])
		}
	}
}

// sendRequest lets a proxy decide on a request of a tenant, and checks the decision.
func (w *simulation) sendRequest(proxy *testProxy, name, class string) {
	proxy.whenAwake(func() {
		published, alias := w.oracle.published[name+" "+class], "x-"+name
		if k := -1; w.seq%2 == 0 {
			if _, _ = fmt.Sscanf(w.oracle.published[name+" a"], "z%d", &k); k >= 0 {
				alias = secondName(name, k)
			}
		}
		decision := proxy.catalogue.Decide(proxy.clock(), alias, class, "any")
		if decision.Reason == ReasonLeafMissing {
			proxy.handle(LeafMissing{alias})
		}
		switch decision.Kind {
		case Routed:
			if got := decision.Route.Zones[0] + " " + decision.Limit; got != published {
				w.fail("%s at catalogue %d serves %s class %s by %q, want %q as published", proxy.name, decision.CatalogueNumber, name, class, got, published)
			}
			if !tableHasLimit(decision.Limit, proxy.policyVersion) {
				w.fail("%s serves %s without its limit in the policy table", proxy.name, name)
			}
			proxy.openRequests[name]++
			proxy.handle(RequestStarted{name})
			w.after(time.Duration(w.IntN(8000))*time.Millisecond, func() {
				proxy.whenAwake(func() {
					if proxy.openRequests[name] > 0 {
						proxy.endRequest(name)
					}
				})
			})
		case Forbidden:
			if decision.Reason == ReasonSuspended && published != suspended || decision.Reason == ReasonLeaving && published != leaving && published != "" || decision.Reason != ReasonSuspended && decision.Reason != ReasonLeaving {
				w.fail("%s at catalogue %d rejects %s: %s; published is %q", proxy.name, decision.CatalogueNumber, name, decision.Reason, published)
			}
		case NotFound:
			if published != "" {
				w.fail("%s at catalogue %d does not know %s; published is %q", proxy.name, decision.CatalogueNumber, name, published)
			}
		}
	})
}

// checkStatus checks that a proxy's policy table has the limits of all specs that its status reports as
// prepared.
func (w *simulation) checkStatus(proxy *testProxy, status Status) {
	snapshot := w.snapshots[proxy.cache.Number()]
	if snapshot == nil {
		return
	}
	for _, e := range snapshot.Sorted() {
		if e.Phase == PhaseServe || e.Next == nil || e.Next.Suspended || e.Since > status.Prepared {
			continue
		}
		for _, q := range e.Next.Quotas {
			if !tableHasLimit(q.Limit, proxy.policyVersion) {
				w.fail("%s reports catalogue %d as prepared without limit %s", proxy.name, status.Prepared, q.Limit)
			}
		}
	}
}

// checkCutRequests checks that a proxy cuts requests only of tenants that are being removed, or after its
// maximal staleness.
func (w *simulation) checkCutRequests(proxy *testProxy, name string) {
	cache := proxy.cache
	if state := w.oracle.state[name]; (state == Active || state == Suspended) && !w.removalOrdered[name] && (cache.maxStaleness <= 0 || proxy.clock() < cache.stopServingAt()) {
		w.fail("%s cuts requests of %s, whose state is %s", proxy.name, name, state)
	}
}

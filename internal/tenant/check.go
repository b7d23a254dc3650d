package tenant

import (
	"fmt"
	"maps"
	"slices"
)

// check returns the reason why a tenant can't have a spec, or "" if it can. Reasons are: names or limits that
// another tenant has, limits that the policy lacks, floors that exceed the fleet's rate, and routes with too
// few endpoints.
func (m *StateMachine) check(r *round, t *Tenant, next *Spec) (reason string) {
	if err := next.Check(); err != nil {
		return err.Error()
	}
	for _, name := range next.Names {
		if owner := m.claims.names[name]; owner != "" && owner != t.Name {
			return fmt.Sprintf("names: %s is that of %s", name, owner)
		}
	}
	for _, quota := range next.Quotas {
		if owner := m.claims.limits[quota.Limit]; owner != "" && owner != t.Name {
			return fmt.Sprintf("quotas: %s is that of %s", quota.Limit, owner)
		}
	}
	if reason := m.checkFloors(r, next); reason != "" {
		return reason
	}
	return checkRoutes(r, next)
}

// recheck checks the next spec again just before it takes effect, as the policy table and the endpoints may
// have changed since check. It returns the reason why the spec can't take effect, or "".
func (m *StateMachine) recheck(r *round, t *Tenant) (reason string) {
	if t.Next == nil || t.Next.Suspended {
		return ""
	}
	if reason = m.checkFloors(r, t.Next); reason == "" {
		reason = checkRoutes(r, t.Next)
	}
	if reason != "" {
		reason = "taken back: " + reason
	}
	return reason
}

// claims has the names and limits that belong to tenants: by the records at the beginning of a round, and by
// the orders that the round has accepted. If a tenant gives up a name or limit, another tenant can therefore
// get it only after the round that writes this change.
type claims struct {
	names, limits map[string]string  // the owning tenants
	byTenant      map[string][]claim // the claims of each tenant
}

// claim has the names and limits of one tenant. A removed tenant still has its names.
type claim struct{ names, limits []string }

// add adds the names and limits of a tenant, and returns the limits that had no owner before.
func (c *claims) add(t *Tenant) (newlyOwned []string) {
	added := t.claim()
	for _, name := range added.names {
		c.names[name] = t.Name
	}
	for _, limit := range added.limits {
		if c.limits[limit] == "" {
			newlyOwned = append(newlyOwned, limit)
		}
		c.limits[limit] = t.Name
	}
	c.byTenant[t.Name] = append(c.byTenant[t.Name], added)
	return newlyOwned
}

// release removes all claims of a tenant.
func (c *claims) release(tenant string) {
	for _, claimed := range c.byTenant[tenant] {
		for _, name := range claimed.names {
			delete(c.names, name)
		}
		for _, limit := range claimed.limits {
			delete(c.limits, limit)
		}
	}
	delete(c.byTenant, tenant)
}

// claim returns the names in a tenant's two specs and, if the tenant's state owns its limits, their limits.
func (t *Tenant) claim() (c claim) {
	for _, spec := range []*Spec{t.Current, t.Next} {
		if spec == nil {
			continue
		}
		c.names = append(c.names, spec.Names...)
		for _, quota := range spec.Quotas {
			if t.State.ownsLimits() {
				c.limits = append(c.limits, quota.Limit)
			}
		}
	}
	return c
}

// reindexTenant updates the claims and the unsettled tenants after the record of a tenant has changed or has
// been deleted. It is called at the end of a round.
func (m *StateMachine) reindexTenant(name string) {
	m.claims.release(name)
	delete(m.unsettled, name)
	if t := m.tenants[name]; t != nil {
		m.claims.add(t)
		if !t.State.isSettled() || t.ExpiresAt > 0 {
			m.unsettled[name] = t
		}
	}
}

// checkFloors returns the reason why the limits of a tenant's next spec can't be added to those of all
// tenants: the policy lacks a limit, or the sum of the floors exceeds PolicyFloors.TotalFloor. It returns ""
// if they fit. The sum is computed from the states on record, once per round: a stored counter could count a
// floor twice, or free it twice, when a controller fails between two writes.
func (m *StateMachine) checkFloors(r *round, next *Spec) (reason string) {
	if !r.floorSumKnown {
		r.floorSum = 0
		for _, limit := range slices.Sorted(maps.Keys(m.claims.limits)) {
			r.floorSum += r.Policy.Floors[limit]
		}
		r.floorSumKnown = true
	}
	sum, seen := r.floorSum, map[string]bool{}
	for _, quota := range next.Quotas {
		floor, known := r.Policy.Floors[quota.Limit]
		if !known {
			return fmt.Sprintf("quotas: %s is no limit of policy %d", quota.Limit, r.Policy.Version)
		}
		if m.claims.limits[quota.Limit] == "" && !seen[quota.Limit] {
			sum += floor
		}
		seen[quota.Limit] = true
	}
	if sum > r.Policy.TotalFloor {
		return fmt.Sprintf("quotas: the floors of all tenants come to %g, of %g", sum, r.Policy.TotalFloor)
	}
	return ""
}

// checkRoutes returns the reason why a spec's routes can't be used, or "" if each has its minimum of
// endpoints.
func checkRoutes(r *round, next *Spec) (reason string) {
	for i := range next.Routes {
		route, count := &next.Routes[i], 0
		for _, endpoint := range r.Endpoints {
			if route.Allows(endpoint) {
				count++
			}
		}
		if count < max(1, route.MinEndpoints) {
			return fmt.Sprintf(
				"routes: the one for %v has %d boxes, want %d",
				route.Classes,
				count,
				max(1, route.MinEndpoints),
			)
		}
	}
	return ""
}

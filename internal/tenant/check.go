package tenant

import (
	"fmt"
	"maps"
	"slices"
)

// check says why a tenant can't have a spec: names that are another's, limits that the policy has not or
// another has, floors that do not add up, routes without backends.
func (m *StateMachine) check(r *round, t *Tenant, next *Spec) (why string) {
	if err := next.Check(); err != nil {
		return err.Error()
	}
	for _, name := range next.Names {
		if o := m.claims.names[name]; o != "" && o != t.Name {
			return fmt.Sprintf("names: %s is that of %s", name, o)
		}
	}
	for _, q := range next.Quotas {
		if o := m.claims.limits[q.Limit]; o != "" && o != t.Name {
			return fmt.Sprintf("quotas: %s is that of %s", q.Limit, o)
		}
	}
	if why := m.checkFloors(r, next); why != "" {
		return why
	}
	return checkRoutes(r, next)
}

// recheck looks again, just before a spec takes effect, at what may have changed since: the policy's table
// and the backends.
func (m *StateMachine) recheck(r *round, t *Tenant) (why string) {
	if t.Next == nil || t.Next.Suspended {
		return ""
	}
	if why = m.checkFloors(r, t.Next); why == "" {
		why = checkRoutes(r, t.Next)
	}
	if why != "" {
		why = "taken back: " + why
	}
	return why
}

// claims are what tenants have for themselves: what was on record when a round began, and what has been
// admitted since. So nothing is free before that is on record.
type claims struct {
	names, limits map[string]string  // their tenants
	byTenant      map[string][]claim // by tenant
}

// claim is what one tenant has: names, of one that is gone, too, and limits.
type claim struct{ names, limits []string }

// add notes what a tenant has besides, and gives the limits that nobody had.
func (c *claims) add(t *Tenant) (taken []string) {
	one := t.claim()
	for _, name := range one.names {
		c.names[name] = t.Name
	}
	for _, limit := range one.limits {
		if c.limits[limit] == "" {
			taken = append(taken, limit)
		}
		c.limits[limit] = t.Name
	}
	c.byTenant[t.Name] = append(c.byTenant[t.Name], one)
	return taken
}

// drop takes all away that a tenant has.
func (c *claims) drop(tenant string) {
	for _, one := range c.byTenant[tenant] {
		for _, name := range one.names {
			delete(c.names, name)
		}
		for _, limit := range one.limits {
			delete(c.limits, limit)
		}
	}
	delete(c.byTenant, tenant)
}

func (t *Tenant) claim() (c claim) {
	for _, f := range []*Spec{t.Current, t.Next} {
		if f == nil {
			continue
		}
		c.names = append(c.names, f.Names...)
		for _, q := range f.Quotas {
			if t.State.ownsLimits() {
				c.limits = append(c.limits, q.Limit)
			}
		}
	}
	return c
}

// tenantSettled notes a tenant whose record has changed or is gone, at the end of a round: what it
// does not have any more is free, and whether there is anything to be done about it.
func (m *StateMachine) tenantSettled(name string) {
	m.claims.drop(name)
	delete(m.unsettled, name)
	if t := m.tenants[name]; t != nil {
		m.claims.add(t)
		if !t.State.isSettled() || t.ExpiresAt > 0 {
			m.unsettled[name] = t
		}
	}
}

// checkFloors reports whether the floors of all tenants' limits fit once one has its next spec, too. What is
// taken is no count that is kept, but the sum over the states on record: so nothing is taken or freed twice,
// whoever dies in between. A round has it once.
func (m *StateMachine) checkFloors(r *round, next *Spec) (why string) {
	if !r.floorSumKnown {
		r.floorSum = 0
		for _, limit := range slices.Sorted(maps.Keys(m.claims.limits)) {
			r.floorSum += r.Policy.Floors[limit]
		}
		r.floorSumKnown = true
	}
	sum, seen := r.floorSum, map[string]bool{}
	for _, q := range next.Quotas {
		floor, there := r.Policy.Floors[q.Limit]
		if !there {
			return fmt.Sprintf("quotas: %s is no limit of policy %d", q.Limit, r.Policy.Version)
		}
		if m.claims.limits[q.Limit] == "" && !seen[q.Limit] {
			sum += floor
		}
		seen[q.Limit] = true
	}
	if sum > r.Policy.TotalFloor {
		return fmt.Sprintf("quotas: the floors of all tenants come to %g, of %g", sum, r.Policy.TotalFloor)
	}
	return ""
}

// checkRoutes reports whether each route has its backends.
func checkRoutes(r *round, next *Spec) (why string) {
	for i := range next.Routes {
		route, n := &next.Routes[i], 0
		for _, b := range r.Endpoints {
			if route.Allows(b) {
				n++
			}
		}
		if n < max(1, route.MinEndpoints) {
			return fmt.Sprintf(
				"routes: the one for %v has %d boxes, want %d",
				route.Classes,
				n,
				max(1, route.MinEndpoints),
			)
		}
	}
	return ""
}

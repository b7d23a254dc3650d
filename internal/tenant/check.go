package tenant

import (
	"fmt"
	"maps"
	"slices"
)

// check says why a tenant can't have a form: names that are another's, limits that the
// policy has not or another has, floors that do not add up, routes without boxes.
func (m *Machine) check(r *round, t *Tenant, next *Form) (why string) {
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
	if why := m.floors(r, next); why != "" {
		return why
	}
	return routed(r, next)
}

// recheck looks again, just before a form takes effect, at what may have changed since:
// the policy's table and the boxes.
func (m *Machine) recheck(r *round, t *Tenant) (why string) {
	if t.Next == nil || t.Next.Suspended {
		return ""
	}
	if why = m.floors(r, t.Next); why == "" {
		why = routed(r, t.Next)
	}
	if why != "" {
		why = "taken back: " + why
	}
	return why
}

// claims are what tenants have for themselves: what was on record when a round began, and
// what has been let in since. So nothing is free before that is on record.
type claims struct {
	names, limits map[string]string  // their tenants
	of            map[string][]claim // by tenant
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
	c.of[t.Name] = append(c.of[t.Name], one)
	return taken
}

// drop takes all away that a tenant has.
func (c *claims) drop(tenant string) {
	for _, one := range c.of[tenant] {
		for _, name := range one.names {
			delete(c.names, name)
		}
		for _, limit := range one.limits {
			delete(c.limits, limit)
		}
	}
	delete(c.of, tenant)
}

func (t *Tenant) claim() (c claim) {
	for _, f := range []*Form{t.Now, t.Next} {
		if f == nil {
			continue
		}
		c.names = append(c.names, f.Names...)
		for _, q := range f.Quotas {
			if t.State.owns() {
				c.limits = append(c.limits, q.Limit)
			}
		}
	}
	return c
}

// settled notes a tenant whose record has changed or is gone, at the end of a round: what it
// does not have any more is free, and whether there is anything to be done about it.
func (m *Machine) settled(name string) {
	m.claims.drop(name)
	delete(m.live, name)
	if t := m.tenants[name]; t != nil {
		m.claims.add(t)
		if !t.State.rests() || t.Until > 0 {
			m.live[name] = t
		}
	}
}

// floors says whether the floors of all tenants' limits fit once one has its next form,
// too. What is taken is no count that is kept, but the sum over the states on record:
// so nothing is taken or freed twice, whoever dies in between. A round has it once.
func (m *Machine) floors(r *round, next *Form) (why string) {
	if !r.summed {
		r.sum = 0
		for _, limit := range slices.Sorted(maps.Keys(m.claims.limits)) {
			r.sum += r.Policy.Floors[limit]
		}
		r.summed = true
	}
	sum, seen := r.sum, map[string]bool{}
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
	if sum > r.Policy.Whole {
		return fmt.Sprintf("quotas: the floors of all tenants come to %g, of %g", sum, r.Policy.Whole)
	}
	return ""
}

// routed says whether each route has its boxes.
func routed(r *round, next *Form) (why string) {
	for i := range next.Routes {
		route, n := &next.Routes[i], 0
		for _, b := range r.Boxes {
			if route.Takes(b) {
				n++
			}
		}
		if n < max(1, route.Least) {
			return fmt.Sprintf("routes: the one for %v has %d boxes, want %d", route.Classes, n, max(1, route.Least))
		}
	}
	return ""
}

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
	for _, o := range r.before {
		if o.tenant == t.Name {
			continue
		}
		if i := slices.IndexFunc(next.Names, func(s string) bool { return o.names[s] }); i >= 0 {
			return fmt.Sprintf("names: %s is that of %s", next.Names[i], o.tenant)
		}
		if i := slices.IndexFunc(next.Quotas, func(q Quota) bool { return o.limits[q.Limit] }); i >= 0 {
			return fmt.Sprintf("quotas: %s is that of %s", next.Quotas[i].Limit, o.tenant)
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

// claim is what a tenant has for itself.
type claim struct {
	tenant string
	names  map[string]bool // of one that is gone, too
	limits map[string]bool
}

// claims are those of all tenants as they are now.
func (m *Machine) claims() (all []claim) {
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		all = append(all, m.tenants[name].claim())
	}
	return all
}

func (t *Tenant) claim() claim {
	c := claim{t.Name, map[string]bool{}, t.limits()}
	for _, f := range []*Form{t.Now, t.Next} {
		if f != nil {
			for _, s := range f.Names {
				c.names[s] = true
			}
		}
	}
	return c
}

// limits are those that a tenant owns, in its present form and in the next.
func (t *Tenant) limits() map[string]bool {
	all := map[string]bool{}
	for _, f := range []*Form{t.Now, t.Next} {
		if f != nil && t.State.owns() {
			for _, q := range f.Quotas {
				all[q.Limit] = true
			}
		}
	}
	return all
}

// floors says whether the floors of all tenants' limits fit once one has its next form,
// too. What is taken is no count that is kept, but the sum over the states on record:
// so nothing is taken or freed twice, whoever dies in between.
func (m *Machine) floors(r *round, next *Form) (why string) {
	owned := map[string]bool{}
	for _, q := range next.Quotas {
		if _, there := r.Policy.Floors[q.Limit]; !there {
			return fmt.Sprintf("quotas: %s is no limit of policy %d", q.Limit, r.Policy.Version)
		}
		owned[q.Limit] = true
	}
	for _, o := range m.tenants {
		maps.Copy(owned, o.limits())
	}
	for _, c := range r.before {
		maps.Copy(owned, c.limits)
	}
	sum := 0.0
	for _, limit := range slices.Sorted(maps.Keys(owned)) {
		sum += r.Policy.Floors[limit]
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

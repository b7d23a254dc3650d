package tenant

import "reflect"

// place is an entry as requests find it.
type place struct {
	name  string
	phase Phase
	now   *compiled // nil: the name is not in effect
	next  *compiled
}

// compiled is a form ready for requests.
type compiled struct {
	suspended bool
	quota     bool // the node's policy table has its limits
	lanes     map[string]lane
	keys      []string
}

type lane struct {
	route *Route
	limit string
	same  bool // at a change: the other form says the same for the class
}

func compile(f *Form, t Table) *compiled {
	c := &compiled{suspended: f.Suspended, quota: t.covers(f), lanes: map[string]lane{}, keys: f.Keys}
	for _, class := range f.Classes {
		if r, l := f.Route(class), f.limit(class); r != nil && l != "" {
			c.lanes[class] = lane{route: r, limit: l}
		}
	}
	return c
}

// match marks what two forms of a tenant answer alike.
func match(a, b *compiled) {
	for class, x := range a.lanes {
		if y, both := b.lanes[class]; both && x.limit == y.limit && reflect.DeepEqual(x.route, y.route) {
			x.same, y.same = true, true
			a.lanes[class], b.lanes[class] = x, y
		}
	}
}

// Table is a node's policy table, as far as tenants need it.
type Table struct {
	Version uint64
	Has     func(limit string) bool
}

// covers tells whether a table has what a form needs.
func (t Table) covers(f *Form) bool {
	if t.Has == nil || t.Version < f.Policy {
		return false
	}
	for _, q := range f.Quotas {
		if !t.Has(q.Limit) {
			return false
		}
	}
	return true
}

// places gives the names by which requests find the entries of a part. An entry is found
// by a name in the part of that name alone: others may have another part's word for it.
func places(p *Part, in func(name string) bool, t Table) map[string]*place {
	all := map[string]*place{}
	for _, e := range p.entries {
		var now, next *compiled
		if e.Now != nil {
			now = compile(e.Now, t)
		}
		if e.Next != nil {
			next = compile(e.Next, t)
		}
		if now != nil && next != nil {
			match(now, next)
		}
		put := func(f *Form, set func(*place)) {
			if f == nil {
				return
			}
			for _, name := range f.Names {
				if !in(name) {
					continue
				}
				if all[name] == nil {
					all[name] = &place{name: e.Name, phase: e.Phase}
				}
				set(all[name])
			}
		}
		put(e.Now, func(p *place) { p.now = now })
		put(e.Next, func(p *place) { p.next = next })
	}
	return all
}

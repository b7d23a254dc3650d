package tenant

import "reflect"

// compiledEntry is an entry as requests find it.
type compiledEntry struct {
	name    string
	phase   Phase
	current *compiledSpec // nil: the name is not in effect
	next    *compiledSpec
}

// compiledSpec is a form ready for requests.
type compiledSpec struct {
	suspended   bool
	limitsKnown bool // the proxy's policy table has its limits
	classes     map[string]classRoute
	keys        []string
}

type classRoute struct {
	route     *Route
	limit     string
	unchanged bool // at a change: the other form says the same for the class
}

func compile(f *Spec, t PolicyTable) *compiledSpec {
	c := &compiledSpec{
		suspended:   f.Suspended,
		limitsKnown: t.covers(f),
		classes:     map[string]classRoute{},
		keys:        f.KeyPrefixes,
	}
	for _, class := range f.Classes {
		if r, l := f.Route(class), f.limit(class); r != nil && l != "" {
			c.classes[class] = classRoute{route: r, limit: l}
		}
	}
	return c
}

// markUnchanged marks what two forms of a tenant answer alike.
func markUnchanged(a, b *compiledSpec) {
	for class, x := range a.classes {
		if y, both := b.classes[class]; both && x.limit == y.limit && reflect.DeepEqual(x.route, y.route) {
			x.unchanged, y.unchanged = true, true
			a.classes[class], b.classes[class] = x, y
		}
	}
}

// PolicyTable is a proxy's policy table, as far as tenants need it.
type PolicyTable struct {
	Version  uint64
	HasLimit func(limit string) bool
}

// covers tells whether a table has what a form needs.
func (t PolicyTable) covers(f *Spec) bool {
	if t.HasLimit == nil || t.Version < f.PolicyVersion {
		return false
	}
	for _, q := range f.Quotas {
		if !t.HasLimit(q.Limit) {
			return false
		}
	}
	return true
}

// compileLeaf gives the names by which requests find the entries of a part. An entry is found
// by a name in the part of that name alone: others may have another part's word for it.
func compileLeaf(p *Leaf, in func(name string) bool, t PolicyTable) map[string]*compiledEntry {
	all := map[string]*compiledEntry{}
	for _, e := range p.entries {
		var now, next *compiledSpec
		if e.Current != nil {
			now = compile(e.Current, t)
		}
		if e.Next != nil {
			next = compile(e.Next, t)
		}
		if now != nil && next != nil {
			markUnchanged(now, next)
		}
		put := func(f *Spec, set func(*compiledEntry)) {
			if f == nil {
				return
			}
			for _, name := range f.Names {
				if !in(name) {
					continue
				}
				if all[name] == nil {
					all[name] = &compiledEntry{name: e.Name, phase: e.Phase}
				}
				set(all[name])
			}
		}
		put(e.Current, func(p *compiledEntry) { p.current = now })
		put(e.Next, func(p *compiledEntry) { p.next = next })
	}
	return all
}

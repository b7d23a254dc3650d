package tenant

import "reflect"

// compiledEntry is an entry as requests find it.
type compiledEntry struct {
	name    string
	phase   Phase
	current *compiledSpec // nil: the name is not in effect
	next    *compiledSpec
}

// compiledSpec is a spec ready for requests.
type compiledSpec struct {
	suspended   bool
	limitsKnown bool // the proxy's policy table has its limits
	classes     map[string]classRoute
	keys        []string
}

type classRoute struct {
	route     *Route
	limit     string
	unchanged bool // at a change: the other spec says the same for the class
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

// markUnchanged marks what two specs of a tenant answer alike.
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

// covers reports whether a table has what a spec needs.
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

// compileLeaf returns the names by which requests find the entries of a leaf. An entry is found by a name in
// the leaf of that name alone: others may have another leaf's name for it.
func compileLeaf(leaf *Leaf, inLeaf func(name string) bool, table PolicyTable) map[string]*compiledEntry {
	byName := map[string]*compiledEntry{}
	for _, entry := range leaf.entries {
		current, next := compileSpecs(entry, table)
		for _, name := range specNames(entry.Current, inLeaf) {
			compiledFor(byName, name, entry).current = current
		}
		for _, name := range specNames(entry.Next, inLeaf) {
			compiledFor(byName, name, entry).next = next
		}
	}
	return byName
}

// compileSpecs compiles both specs of an entry; nil for one that it has not.
func compileSpecs(entry *Entry, table PolicyTable) (current, next *compiledSpec) {
	if entry.Current != nil {
		current = compile(entry.Current, table)
	}
	if entry.Next != nil {
		next = compile(entry.Next, table)
	}
	if current != nil && next != nil {
		markUnchanged(current, next)
	}
	return current, next
}

// specNames returns the names of a spec, which may be nil, that belong to a leaf.
func specNames(spec *Spec, inLeaf func(name string) bool) (names []string) {
	if spec == nil {
		return nil
	}
	for _, name := range spec.Names {
		if inLeaf(name) {
			names = append(names, name)
		}
	}
	return names
}

// compiledFor returns the compiled entry under a name, which it adds if there is none.
func compiledFor(byName map[string]*compiledEntry, name string, entry *Entry) *compiledEntry {
	if byName[name] == nil {
		byName[name] = &compiledEntry{name: entry.Name, phase: entry.Phase}
	}
	return byName[name]
}

package tenant

import "reflect"

// compiledEntry is an entry of the catalogue in the form in which requests look it up.
type compiledEntry struct {
	name    string
	phase   Phase
	current *compiledSpec // nil: there is no current spec, or it lacks the name
	next    *compiledSpec // nil: there is no next spec, or it lacks the name
}

// compiledSpec is a spec in the form in which requests are decided.
type compiledSpec struct {
	suspended   bool
	limitsKnown bool // the proxy's policy table has its limits
	classes     map[string]classRoute
	keys        []string // Spec.KeyPrefixes
}

// classRoute is the route and the limit of a class.
type classRoute struct {
	route     *Route
	limit     string
	unchanged bool // the entry's other spec has the same route and limit for the class
}

// compile compiles a spec for a proxy with a policy table.
func compile(spec *Spec, table PolicyTable) *compiledSpec {
	compiled := &compiledSpec{
		suspended:   spec.Suspended,
		limitsKnown: table.covers(spec),
		classes:     map[string]classRoute{},
		keys:        spec.KeyPrefixes,
	}
	for _, class := range spec.Classes {
		if route, limit := spec.Route(class), spec.limit(class); route != nil && limit != "" {
			compiled.classes[class] = classRoute{route: route, limit: limit}
		}
	}
	return compiled
}

// markUnchanged marks the classes for which two specs of a tenant have the same route and limit.
func markUnchanged(a, b *compiledSpec) {
	for class, routeA := range a.classes {
		if routeB, both := b.classes[class]; both && routeA.limit == routeB.limit &&
			reflect.DeepEqual(routeA.route, routeB.route) {
			routeA.unchanged, routeB.unchanged = true, true
			a.classes[class], b.classes[class] = routeA, routeB
		}
	}
}

// PolicyTable is the part of a proxy's policy table that tenants need.
type PolicyTable struct {
	Version  uint64
	HasLimit func(limit string) bool
}

// covers reports whether a table has all limits of a spec, in the spec's policy version or a later one.
func (t PolicyTable) covers(spec *Spec) bool {
	if t.HasLimit == nil || t.Version < spec.PolicyVersion {
		return false
	}
	for _, quota := range spec.Quotas {
		if !t.HasLimit(quota.Limit) {
			return false
		}
	}
	return true
}

// compileLeaf compiles the entries of a leaf and returns them by the names that requests use. Only names that
// belong to the leaf are returned: an entry's other names are looked up in their own leaves.
func compileLeaf(leaf *Leaf, inLeaf func(name string) bool, table PolicyTable) map[string]*compiledEntry {
	byName := map[string]*compiledEntry{}
	for _, entry := range leaf.entries {
		current, next := compileSpecs(entry, table)
		for _, name := range specNames(entry.Current, inLeaf) {
			compiledEntryFor(byName, name, entry).current = current
		}
		for _, name := range specNames(entry.Next, inLeaf) {
			compiledEntryFor(byName, name, entry).next = next
		}
	}
	return byName
}

// compileSpecs compiles both specs of an entry. The result of a missing spec is nil.
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

// specNames returns the names of a spec that belong to a leaf. The spec may be nil.
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

// compiledEntryFor returns the compiled entry of a name, and adds it if there is none.
func compiledEntryFor(byName map[string]*compiledEntry, name string, entry *Entry) *compiledEntry {
	if byName[name] == nil {
		byName[name] = &compiledEntry{name: entry.Name, phase: entry.Phase}
	}
	return byName[name]
}

package proxy

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

const (
	maxVariants     = 128         // of all classes; the balancer often iterates over all placements
	routeRetryAfter = time.Second // Retry-After of a request whose route the balancer has not been given
)

// routeVariants are the routes of the catalogue in the form that the balancer uses: variants of classes that
// are restricted to some zones and machine types. A route that names cells has no variant, as the balancer
// does not choose endpoints by cell.
type routeVariants struct {
	variantOf  map[routedClass]string         // variant's name, by route and class
	wanted     map[string]balancer.Class      // variants that the catalogue needs, by name
	current    map[string]balancer.Class      // variants that the balancer was given last
	previous   map[string]balancer.Class      // variants that the balancer was given before current
	useCount   map[string]int                 // entries of variantOf, by variant in wanted
	byLeaf     map[*tenant.Leaf][]routedClass // keys of variantOf, by the leaf that has the route
	overLimit  bool                           // a variant was left out of wanted, as maxVariants is reached
	outdated   bool                           // the balancer lacks some of wanted
	plannedFor *tenant.Snapshot               // the catalogue that wanted and variantOf are for
}

// routedClass is a class of requests on a route of the catalogue.
type routedClass struct {
	route *tenant.Route
	class string
}

func newRouteVariants() routeVariants {
	l := routeVariants{current: map[string]balancer.Class{}}
	l.planAll(nil, nil)
	return l
}

// classFor returns the class by which the balancer places a request: the class itself if the route, which
// must not be nil, restricts nothing, otherwise the name of its variant. With previousSettings, the request
// was opened under the previous settings, and the variant must be one of theirs. The result is empty if the
// balancer has not been given the variant, maxVariants left it out, or the route names cells and so never has
// one.
func (l *routeVariants) classFor(route *tenant.Route, class string, previousSettings bool) string {
	if !narrows(route) {
		return class
	}
	name := l.variantOf[routedClass{route, class}]
	variants := l.current
	if previousSettings {
		variants = l.previous
	}
	if _, exists := variants[name]; exists {
		return name
	}
	return ""
}

// narrows reports whether a route restricts the endpoints.
func narrows(r *tenant.Route) bool { return len(r.Zones)+len(r.MachineTypes)+len(r.Cells) > 0 }

// planAll finds the variants that a catalogue needs, from scratch. Equal routes share a variant.
func (l *routeVariants) planAll(snapshot *tenant.Snapshot, classes []balancer.Class) {
	l.variantOf = map[routedClass]string{}
	l.wanted = map[string]balancer.Class{}
	l.useCount = map[string]int{}
	l.byLeaf = map[*tenant.Leaf][]routedClass{}
	l.overLimit = false
	l.planChanges(snapshot, classes)
}

// planChanges updates the variants from the planned catalogue to another one: it drops the routes of leaves
// that are gone and adds those of new leaves.
func (l *routeVariants) planChanges(snapshot *tenant.Snapshot, classes []balancer.Class) {
	l.plannedFor = snapshot
	if snapshot == nil {
		return
	}
	byName := map[string]balancer.Class{}
	for _, c := range classes {
		byName[c.Name] = c
	}
	present := map[*tenant.Leaf]bool{}
	var addedLeaves []int
	for index, leaf := range snapshot.Leaves() {
		if present[leaf] = true; l.byLeaf[leaf] == nil {
			addedLeaves = append(addedLeaves, index)
		}
	}
	wasOverLimit := l.overLimit
	for leaf := range l.byLeaf {
		if !present[leaf] {
			l.dropLeaf(leaf)
		}
	}
	if wasOverLimit && !l.overLimit { // variants that were left out may fit now
		l.planAll(snapshot, classes)
		return
	}
	slices.Sort(addedLeaves)
	for _, index := range addedLeaves {
		l.addLeaf(snapshot.Leaves()[index], byName)
	}
}

// addLeaf adds the variants of a leaf, in the order of its tenants' names.
func (l *routeVariants) addLeaf(leaf *tenant.Leaf, classes map[string]balancer.Class) {
	l.byLeaf[leaf] = []routedClass{}
	for _, entry := range leaf.Entries() {
		for _, spec := range []*tenant.Spec{entry.Current, entry.Next} {
			if spec == nil {
				continue
			}
			for _, class := range spec.Classes {
				if c, known := classes[class]; known {
					l.addVariant(leaf, spec.Route(class), c)
				}
			}
		}
	}
}

// dropLeaf removes the routes of a leaf that is gone from the catalogue. A variant that no other route uses
// is then no longer wanted, and overLimit is cleared, as a variant that was left out may fit now.
func (l *routeVariants) dropLeaf(leaf *tenant.Leaf) {
	for _, routed := range l.byLeaf[leaf] {
		name := l.variantOf[routed]
		delete(l.variantOf, routed)
		if l.useCount[name]--; l.useCount[name] == 0 {
			delete(l.useCount, name)
			delete(l.wanted, name)
			l.overLimit = false
		}
	}
	delete(l.byLeaf, leaf)
}

// addVariant adds the variant of a class for a route of a leaf, unless the route needs no variant or
// maxVariants is reached.
func (l *routeVariants) addVariant(leaf *tenant.Leaf, route *tenant.Route, class balancer.Class) {
	if route == nil || !narrows(route) || len(route.Cells) > 0 {
		return
	}
	added, routed := variant(class, route), routedClass{route, class.Name}
	if _, exists := l.wanted[added.Name]; !exists && len(l.wanted) >= maxVariants {
		l.overLimit = true
		return
	}
	if _, exists := l.variantOf[routed]; exists {
		return
	}
	l.wanted[added.Name], l.variantOf[routed] = added, added.Name
	l.useCount[added.Name]++
	l.byLeaf[leaf] = append(l.byLeaf[leaf], routed)
}

// variant returns the class restricted to the zones and machine types of a route. Its name is the same for
// equal routes and in every process. It contains zero bytes, so that no client can send it.
func variant(class balancer.Class, route *tenant.Route) balancer.Class {
	zones, machineTypes := intersect(class.AllowedZones, route.Zones),
		intersect(class.AllowedMachineTypes, route.MachineTypes)
	class.VariantOf = class.Name
	class.Name = strings.Join(
		[]string{class.Name, "zones:" + strings.Join(zones, "\x00"), "kinds:" + strings.Join(machineTypes, "\x00")},
		"\x00",
	)
	class.AllowedZones, class.AllowedMachineTypes = zones, machineTypes
	return class
}

// intersect returns, sorted, the zones or machine types that both a class and a route allow. For a class nil
// allows all; for a route an empty list allows all.
func intersect(class, route []string) []string {
	if len(route) == 0 {
		return class
	}
	both := []string{}
	for _, value := range route {
		if class == nil || slices.Contains(class, value) {
			both = append(both, value)
		}
	}
	slices.Sort(both)
	return slices.Compact(both)
}

// commitVariants plans the variants that the catalogue needs anew, records them as those that the balancer
// has, and returns the settings with the variants appended to the classes. The variants recorded before
// become those of the previous settings, so commitVariants has to be called exactly once for each settings
// given to the balancer. Without a catalogue it returns the settings unchanged.
func (srv *Server) commitVariants(s balancer.Settings) balancer.Settings {
	t := srv.tenants
	if t == nil {
		return s
	}
	t.routes.planAll(t.routes.plannedFor, s.Classes)
	t.routes.previous, t.routes.current, t.routes.outdated = t.routes.current, maps.Clone(t.routes.wanted), false
	s.Classes = slices.Clone(s.Classes)
	for _, name := range slices.Sorted(maps.Keys(t.routes.current)) {
		s.Classes = append(s.Classes, t.routes.current[name])
	}
	return s
}

// planRoutes plans the variants of a new catalogue, and gives them to the balancer if it lacks some.
func (srv *Server) planRoutes(snapshot *tenant.Snapshot) {
	l := &srv.tenants.routes
	if l.plannedFor == snapshot {
		return
	}
	l.planChanges(snapshot, srv.config.Settings.Classes)
	for name := range l.wanted {
		if _, applied := l.current[name]; !applied {
			l.outdated = true
		}
	}
	srv.applyRoutes()
}

// applyRoutes gives the balancer the variants that it lacks. It waits while requests in the form of the
// previous settings are still accepted, because the balancer would forget those settings. Until then,
// requests on new routes get 503.
func (srv *Server) applyRoutes() {
	if srv.tenants.routes.outdated && time.Now().After(srv.frontend.rules.Load().previousUntil) {
		srv.applySettings(srv.frontend.rules.Load().withNextNumber())
	}
}

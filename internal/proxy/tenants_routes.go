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
	maxVariants     = 128         // of classes: the balancer goes through its placements all the time
	routeRetryAfter = time.Second // Retry-After of a request whose route the balancer does not have
)

// routeVariants are the routes of the catalogue as the balancer knows them: variants of classes that are open
// to some zones and kinds only. A route that names pods has none, as the balancer does not choose by pods.
type routeVariants struct {
	variantOf  map[routedClass]string         // by route and class: the variant
	wanted     map[string]balancer.Class      // variants of the catalogue
	current    map[string]balancer.Class      // variants that the balancer was given
	previous   map[string]balancer.Class      // and those with the settings before
	useCount   map[string]int                 // of wants: by so many of names
	byLeaf     map[*tenant.Leaf][]routedClass // of names, by the parts of the catalogue that have the routes
	overLimit  bool                           // a variant does not fit into wants
	outdated   bool                           // it is to be given others
	plannedFor *tenant.Snapshot               // of which names and wants are
}

type routedClass struct {
	route *tenant.Route
	class string
}

func newRouteVariants() routeVariants {
	l := routeVariants{current: map[string]balancer.Class{}}
	l.plan(nil, nil)
	return l
}

// classFor returns the class by which the balancer places a request; empty: it can't. One in the form of the
// settings before is placed by a variant that came with those.
func (l *routeVariants) classFor(route *tenant.Route, class string, former bool) string {
	if !narrows(route) {
		return class
	}
	name := l.variantOf[routedClass{route, class}]
	given := l.current
	if former {
		given = l.previous
	}
	if _, there := given[name]; there {
		return name
	}
	return ""
}

func narrows(r *tenant.Route) bool { return len(r.Zones)+len(r.MachineTypes)+len(r.Cells) > 0 }

// plan finds the variants that a catalogue needs: equal routes share one.
func (l *routeVariants) plan(i *tenant.Snapshot, classes []balancer.Class) {
	l.variantOf = map[routedClass]string{}
	l.wanted = map[string]balancer.Class{}
	l.useCount = map[string]int{}
	l.byLeaf = map[*tenant.Leaf][]routedClass{}
	l.overLimit = false
	l.follow(i, classes)
}

// follow finds them by the parts that the catalogue before had not, and those that it had.
func (l *routeVariants) follow(i *tenant.Snapshot, classes []balancer.Class) {
	l.plannedFor = i
	if i == nil {
		return
	}
	byName := map[string]balancer.Class{}
	for _, c := range classes {
		byName[c.Name] = c
	}
	there := map[*tenant.Leaf]bool{}
	var more []int
	for n, p := range i.Leaves() {
		if there[p] = true; l.byLeaf[p] == nil {
			more = append(more, n)
		}
	}
	short := l.overLimit
	for p := range l.byLeaf {
		if !there[p] {
			l.dropLeaf(p)
		}
	}
	if short && !l.overLimit { // there is capacity again for those that were left out
		l.plan(i, classes)
		return
	}
	slices.Sort(more)
	for _, n := range more {
		l.addLeaf(i.Leaves()[n], byName)
	}
}

// addLeaf adds the variants of a part, in the order of its tenants' names.
func (l *routeVariants) addLeaf(p *tenant.Leaf, classes map[string]balancer.Class) {
	l.byLeaf[p] = []routedClass{}
	for _, e := range p.Entries() {
		for _, f := range []*tenant.Spec{e.Current, e.Next} {
			if f == nil {
				continue
			}
			for _, class := range f.Classes {
				if c, known := classes[class]; known {
					l.addVariant(p, f.Route(class), c)
				}
			}
		}
	}
}

// dropLeaf takes away what only a part that is gone needed.
func (l *routeVariants) dropLeaf(p *tenant.Leaf) {
	for _, one := range l.byLeaf[p] {
		name := l.variantOf[one]
		delete(l.variantOf, one)
		if l.useCount[name]--; l.useCount[name] == 0 {
			delete(l.useCount, name)
			delete(l.wanted, name)
			l.overLimit = false
		}
	}
	delete(l.byLeaf, p)
}

func (l *routeVariants) addVariant(p *tenant.Leaf, r *tenant.Route, c balancer.Class) {
	if r == nil || !narrows(r) || len(r.Cells) > 0 {
		return
	}
	v, one := variant(c, r), routedClass{r, c.Name}
	if _, there := l.wanted[v.Name]; !there && len(l.wanted) >= maxVariants {
		l.overLimit = true
		return
	}
	if _, there := l.variantOf[one]; there {
		return
	}
	l.wanted[v.Name], l.variantOf[one] = v, v.Name
	l.useCount[v.Name]++
	l.byLeaf[p] = append(l.byLeaf[p], one)
}

// variant is a class with the zones and kinds of a route alone. Its name is the same for equal routes, in
// every process, and none that a client can send.
func variant(c balancer.Class, r *tenant.Route) balancer.Class {
	zones, kinds := intersect(c.AllowedZones, r.Zones), intersect(c.AllowedMachineTypes, r.MachineTypes)
	c.VariantOf = c.Name
	c.Name = strings.Join(
		[]string{c.Name, "zones:" + strings.Join(zones, "\x00"), "kinds:" + strings.Join(kinds, "\x00")},
		"\x00",
	)
	c.AllowedZones, c.AllowedMachineTypes = zones, kinds
	return c
}

// intersect returns what is open to both, in order. Of a class nil is all, of a route none is.
func intersect(class, route []string) []string {
	if len(route) == 0 {
		return class
	}
	both := []string{}
	for _, one := range route {
		if class == nil || slices.Contains(class, one) {
			both = append(both, one)
		}
	}
	slices.Sort(both)
	return slices.Compact(both)
}

// withVariants adds the variants that the catalogue needs to settings, for the balancer alone. It is notified
// of them.
func (srv *Server) withVariants(s balancer.Settings) balancer.Settings {
	t := srv.tenants
	if t == nil {
		return s
	}
	t.routes.plan(t.routes.plannedFor, s.Classes)
	t.routes.previous, t.routes.current, t.routes.outdated = t.routes.current, maps.Clone(t.routes.wanted), false
	s.Classes = slices.Clone(s.Classes)
	for _, name := range slices.Sorted(maps.Keys(t.routes.current)) {
		s.Classes = append(s.Classes, t.routes.current[name])
	}
	return s
}

// planRoutes follows a catalogue up.
func (srv *Server) planRoutes(i *tenant.Snapshot) {
	l := &srv.tenants.routes
	if l.plannedFor == i {
		return
	}
	l.follow(i, srv.config.Settings.Classes)
	for name := range l.wanted {
		if _, given := l.current[name]; !given {
			l.outdated = true
		}
	}
	srv.applyRoutes()
}

// applyRoutes adds the route variants that the balancer lacks. While requests still come in the form of the
// settings before, which it would forget, it waits: until then the routes that are new get a 503.
func (srv *Server) applyRoutes() {
	if srv.tenants.routes.outdated && time.Now().After(srv.frontend.rules.Load().previousUntil) {
		srv.applySettings(srv.frontend.rules.Load().renumbered())
	}
}

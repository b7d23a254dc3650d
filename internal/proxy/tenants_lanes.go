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
	mostVariants = 128         // of classes: the module goes through its placements all the time
	laneRetry    = time.Second // told to a request whose route the module does not have
)

// lanes are the routes of the catalogue as the module knows them: variants of classes that are open to some zones and
// kinds only. A route that names pods has none, as the module does not choose by pods.
type lanes struct {
	names map[lane]string           // by route and class: the variant
	wants map[string]balancer.Class // variants of the catalogue
	has   map[string]balancer.Class // variants that the module was given
	had   map[string]balancer.Class // and those with the settings before
	uses  map[string]int            // of wants: by so many of names
	parts map[*tenant.Leaf][]lane   // of names, by the parts of the catalogue that have the routes
	short bool                      // a variant has no room in wants
	late  bool                      // it is to be given others
	tried *tenant.Snapshot          // of which names and wants are
}

type lane struct {
	route *tenant.Route
	class string
}

func newLanes() lanes {
	l := lanes{has: map[string]balancer.Class{}}
	l.plan(nil, nil)
	return l
}

// of gives the class by which the module places a request; empty: it can't. One in the form of the settings before
// is placed by a variant that came with those.
func (l *lanes) of(route *tenant.Route, class string, former bool) string {
	if !narrows(route) {
		return class
	}
	name := l.names[lane{route, class}]
	given := l.has
	if former {
		given = l.had
	}
	if _, there := given[name]; there {
		return name
	}
	return ""
}

func narrows(r *tenant.Route) bool { return len(r.Zones)+len(r.MachineTypes)+len(r.Cells) > 0 }

// plan finds the variants that a catalogue needs: equal routes share one.
func (l *lanes) plan(i *tenant.Snapshot, classes []balancer.Class) {
	l.names, l.wants, l.uses, l.parts, l.short = map[lane]string{}, map[string]balancer.Class{}, map[string]int{}, map[*tenant.Leaf][]lane{}, false
	l.follow(i, classes)
}

// follow finds them by the parts that the catalogue before had not, and those that it had.
func (l *lanes) follow(i *tenant.Snapshot, classes []balancer.Class) {
	l.tried = i
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
		if there[p] = true; l.parts[p] == nil {
			more = append(more, n)
		}
	}
	short := l.short
	for p := range l.parts {
		if !there[p] {
			l.drop(p)
		}
	}
	if short && !l.short { // there is room again for those that were left out
		l.plan(i, classes)
		return
	}
	slices.Sort(more)
	for _, n := range more {
		l.take(i.Leaves()[n], byName)
	}
}

// take adds the variants of a part, in the order of its tenants' names.
func (l *lanes) take(p *tenant.Leaf, classes map[string]balancer.Class) {
	l.parts[p] = []lane{}
	for _, e := range p.Entries() {
		for _, f := range []*tenant.Spec{e.Current, e.Next} {
			if f == nil {
				continue
			}
			for _, class := range f.Classes {
				if c, known := classes[class]; known {
					l.add(p, f.Route(class), c)
				}
			}
		}
	}
}

// drop takes away what only a part that is gone needed.
func (l *lanes) drop(p *tenant.Leaf) {
	for _, one := range l.parts[p] {
		name := l.names[one]
		delete(l.names, one)
		if l.uses[name]--; l.uses[name] == 0 {
			delete(l.uses, name)
			delete(l.wants, name)
			l.short = false
		}
	}
	delete(l.parts, p)
}

func (l *lanes) add(p *tenant.Leaf, r *tenant.Route, c balancer.Class) {
	if r == nil || !narrows(r) || len(r.Cells) > 0 {
		return
	}
	v, one := variant(c, r), lane{r, c.Name}
	if _, there := l.wants[v.Name]; !there && len(l.wants) >= mostVariants {
		l.short = true
		return
	}
	if _, there := l.names[one]; there {
		return
	}
	l.wants[v.Name], l.names[one] = v, v.Name
	l.uses[v.Name]++
	l.parts[p] = append(l.parts[p], one)
}

// variant is a class with the zones and kinds of a route alone. Its name is the same for equal routes, in every process,
// and none that a client can send.
func variant(c balancer.Class, r *tenant.Route) balancer.Class {
	zones, kinds := narrow(c.AllowedZones, r.Zones), narrow(c.AllowedMachineTypes, r.MachineTypes)
	c.VariantOf = c.Name
	c.Name = strings.Join([]string{c.Name, "zones:" + strings.Join(zones, "\x00"), "kinds:" + strings.Join(kinds, "\x00")}, "\x00")
	c.AllowedZones, c.AllowedMachineTypes = zones, kinds
	return c
}

// narrow gives what is open to both, in order. Of a class nil is all, of a route none is.
func narrow(class, route []string) []string {
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

// withVariants adds the variants that the catalogue needs to settings, for the module alone. It is told of them.
func (n *Node) withVariants(s balancer.Settings) balancer.Settings {
	t := n.tenants
	if t == nil {
		return s
	}
	t.lanes.plan(t.lanes.tried, s.Classes)
	t.lanes.had, t.lanes.has, t.lanes.late = t.lanes.has, maps.Clone(t.lanes.wants), false
	s.Classes = slices.Clone(s.Classes)
	for _, name := range slices.Sorted(maps.Keys(t.lanes.has)) {
		s.Classes = append(s.Classes, t.lanes.has[name])
	}
	return s
}

// planLanes follows a catalogue up.
func (n *Node) planLanes(i *tenant.Snapshot) {
	l := &n.tenants.lanes
	if l.tried == i {
		return
	}
	l.follow(i, n.cfg.Settings.Classes)
	for name := range l.wants {
		if _, given := l.has[name]; !given {
			l.late = true
		}
	}
	n.giveLanes()
}

// giveLanes gives the module the variants that it lacks. While requests still come in the form of the settings before,
// which it would forget, it waits: until then the routes that are new get a 503.
func (n *Node) giveLanes() {
	if n.tenants.lanes.late && time.Now().After(n.front.rules.Load().formerUntil) {
		n.swapRules(n.front.rules.Load().again())
	}
}

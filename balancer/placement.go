package balancer

import (
	"math"
	"slices"
)

// placement is a rule that says which endpoints a request may use. All classes with the same rule share it.
// In-flight limits and shedding are applied to the endpoints of one placement together.
type placement struct {
	zones        []string    // zones whose endpoints may be used; nil: all, empty: none
	machineTypes []string    // machine types whose endpoints may be used; nil: all, empty: none
	ring         ring        // the allowed endpoints, starting at this proxy's origin
	subsetSize   float64     // number of the allowed endpoints that this proxy uses
	candidates   []*endpoint // the first subsetSize endpoints of ring that are available, see updateCandidates

	maxPriorityWeight float64 // the highest weight of its classes

	pooledOverload
	sheddingState
}

// pooledOverload is the common overload mode of all candidates. It is used where each candidate has so few
// requests of this proxy that its own count says nothing.
type pooledOverload struct {
	usesPooledMode   bool // the common mode applies
	mode             Mode
	smoothedInFlight float64 // sum over the candidates
	smoothedAt       Time
	overloadFraction float64 // position of the sum between the limit (0) and the blocking threshold (1)
}

// sheddingState holds the drop probabilities of the present shedding period, and the counts from which those
// of the next period are computed.
type sheddingState struct {
	overloadedAt     Time    // when a request last found no candidate in normal mode
	priorityArrivals float64 // in the present period
	otherArrivals    float64 // in the present period, without priority
	overloadSum      float64 // of overload fractions, over candidates and rounds of checks of the period
	overloadSamples  float64 // number of fractions in overloadSum
	priorityDrop     float64 // probability that a priority request is shed
	otherDrop        float64 // probability that a request without priority is shed
}

// class is a request class and what was learned of its requests.
type class struct {
	Class
	placement    *placement
	meanWorkHint float64 // s, smoothed
	workHints    float64 // number of work hints
	responses    float64 // number of responses
	meanLatency  float64 // s, smoothed over all endpoints
	// fleetLatency is the fleet's meanLatency in seconds, smoothed over the times of this class's responses.
	fleetLatency float64
	relativeCost float64 // cost of its mean request, as a multiple of the mean request of all classes
}

// tenant is a token bucket for this proxy's share of a tenant's quota.
type tenant struct {
	localQuota float64 // requests per second, and capacity of the bucket
	tokens     float64
	refilledAt Time
}

// takeToken takes a token if there is one, and reports whether the request is within the tenant's quota.
func (t *tenant) takeToken(now Time) bool {
	t.tokens = math.Min(t.localQuota, t.tokens+t.localQuota*(now-t.refilledAt).Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// allows reports whether the placement's classes may use an endpoint.
func (p *placement) allows(e *endpoint) bool {
	return (p.zones == nil || slices.Contains(p.zones, e.Zone)) &&
		(p.machineTypes == nil || slices.Contains(p.machineTypes, e.MachineType))
}

// applySettings replaces the settings. It creates the classes again, as open requests keep the class that
// they arrived with, and copies to them what was learned of the previous class of the same name. It keeps the
// state of placements and tenants.
func (b *Balancer) applySettings(settings Settings) {
	b.settings = settings
	b.settings.Proxies = max(1, settings.Proxies)
	if !settings.SendRetryAfter {
		b.settings.MaxRetryAfter = 0
	}
	b.queriesLoad = settings.AllowLoadQueries &&
		settings.LoadReports == LoadReportsByQuery &&
		2*settings.Prices.LoadQuery <= maxLoadQueryPrice
	for _, p := range b.placements {
		p.maxPriorityWeight = 0
	}
	b.applyClasses(settings.Classes)
	b.updateVariants()
	b.dropUnusedPlacements()
	b.applyTenants(settings.Tenants)
}

func (b *Balancer) applyClasses(classes []Class) {
	b.previousClasses = b.classes
	b.classes = map[string]*class{}
	b.classOrder = nil
	for _, settings := range classes {
		c := &class{relativeCost: 1}
		if previous := b.previousClasses[settings.Name]; previous != nil {
			*c = *previous
		} else if previous := b.previousClasses[settings.VariantOf]; previous != nil && settings.VariantOf != "" {
			*c = *previous // a new variant starts with what was learned of its class
		}
		c.Class = settings
		c.placement = b.placementFor(settings.AllowedZones, settings.AllowedMachineTypes)
		c.placement.maxPriorityWeight = math.Max(c.placement.maxPriorityWeight, settings.PriorityWeight)
		b.classes[settings.Name] = c
		b.classOrder = append(b.classOrder, c)
	}
}

// dropUnusedPlacements drops the placements that neither a class nor an open request uses. It keeps the
// placement without a rule, for classes that are not in the settings.
func (b *Balancer) dropUnusedPlacements() {
	used := map[*placement]bool{b.placementFor(nil, nil): true}
	for _, c := range b.classOrder {
		used[c.placement] = true
	}
	for _, c := range b.previousClasses {
		used[c.placement] = true
	}
	for _, r := range b.requests {
		used[r.class.placement] = true
	}
	b.placements = slices.DeleteFunc(b.placements, func(p *placement) bool { return !used[p] })
}

func (b *Balancer) applyTenants(tenants []Tenant) {
	previous := b.tenants
	b.tenants = map[string]*tenant{}
	for _, settings := range tenants {
		t := previous[settings.Name]
		if t == nil {
			t = &tenant{}
		}
		t.localQuota = settings.Quota / float64(b.settings.Proxies)
		b.tenants[settings.Name] = t
	}
}

// classNamed returns the class with a name, of the previous settings if previous is set and they have it. A
// class that is in no settings is created, not idempotent and without priority weight.
func (b *Balancer) classNamed(name string, previous bool) *class {
	if c := b.previousClasses[name]; previous && c != nil {
		return c
	}
	if b.classes[name] == nil {
		b.classes[name] = &class{relativeCost: 1, placement: b.placementFor(nil, nil)}
		b.classOrder = append(b.classOrder, b.classes[name])
	}
	return b.classes[name]
}

// placementFor returns the placement of a rule, and creates it if there is none. A rule that allows
// everything (nil) differs from one that allows nothing (empty).
func (b *Balancer) placementFor(zones, machineTypes []string) *placement {
	same := func(x, y []string) bool { return (x == nil) == (y == nil) && slices.Equal(x, y) }
	for _, p := range b.placements {
		if same(p.zones, zones) && same(p.machineTypes, machineTypes) {
			return p
		}
	}
	p := &placement{zones: zones, machineTypes: machineTypes}
	p.ring.update(b.ring.endpoints, p.allows)
	b.placements = append(b.placements, p)
	return p
}

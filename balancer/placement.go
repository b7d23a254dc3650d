package balancer

import (
	"math"
	"slices"
)

// placement is a rule on which endpoints are open to a request, with the classes that share it. In-flight
// limits and shedding are judged over the endpoints that it allows.
type placement struct {
	zones        []string    // that are allowed; nil: all, empty: none
	machineTypes []string    // the same
	ring         ring        // of the endpoints that it allows, from this proxy's origin on
	subsetSize   float64     // how many of them this proxy works with
	candidates   []*endpoint // those: the first that are ready and not ejected

	maxPriorityWeight float64 // of its classes

	pooledOverload
	sheddingState
}

// pooledOverload is the overload mode of all candidates together, where each has so few requests of this
// proxy that its own count tells nothing.
type pooledOverload struct {
	pooled           bool // it is used
	mode             Mode
	smoothedInFlight float64 // sum over the candidates
	smoothedAt       Time
	overload         float64 // where the sum stands between the limit, 0, and the blocking threshold, 1
}

// sheddingState is what the drop probabilities of the next period follow from, and those of the present one.
type sheddingState struct {
	overloadedAt     Time    // when last no candidate was in normal mode
	priorityArrivals float64 // in this period
	otherArrivals    float64
	overloadSum      float64 // over candidates and rounds of checks of this period
	overloadSamples  float64 // in that sum
	priorityDrop     float64 // probability that a priority request is shed
	otherDrop        float64 // the same of other requests
}

// class is a request class with what was learned of it.
type class struct {
	Class
	placement    *placement
	meanWorkHint float64 // s, smoothed
	workHints    float64 // count
	responses    float64 // count
	meanLatency  float64 // s, smoothed over all endpoints
	fleetLatency float64 // s, smoothed fleetEstimates.meanLatency at the times of its responses
	relativeCost float64 // of its mean request, as a multiple of the mean request of all classes
}

// tenant is a token bucket with this proxy's share of a tenant's quota.
type tenant struct {
	localQuota float64 // requests per second, and the bucket's capacity
	tokens     float64
	refilledAt Time
}

// takeToken reports whether a request is within the tenant's quota, and takes a token if so.
func (t *tenant) takeToken(now Time) bool {
	t.tokens = math.Min(t.localQuota, t.tokens+t.localQuota*(now-t.refilledAt).Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// allows reports whether an endpoint is open to the placement's classes.
func (p *placement) allows(e *endpoint) bool {
	return (p.zones == nil || slices.Contains(p.zones, e.Zone)) &&
		(p.machineTypes == nil || slices.Contains(p.machineTypes, e.MachineType))
}

// applySettings takes settings. Classes are made anew, with what was learned of those of the same name, as
// open requests keep those that they came with; placements and tenants go on.
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
	b.mapVariants()
	b.dropUnusedPlacements()
	b.applyTenants(settings.Tenants)
}

func (b *Balancer) applyClasses(classes []Class) {
	b.previousClasses = b.classes
	b.classes = map[string]*class{}
	b.classOrder = nil
	for _, settings := range classes {
		c := &class{relativeCost: 1}
		if before := b.previousClasses[settings.Name]; before != nil {
			*c = *before
		} else if before := b.previousClasses[settings.VariantOf]; before != nil && settings.VariantOf != "" {
			*c = *before // a variant begins with what its class has learned
		}
		c.Class = settings
		c.placement = b.placementFor(settings.AllowedZones, settings.AllowedMachineTypes)
		c.placement.maxPriorityWeight = math.Max(c.placement.maxPriorityWeight, settings.PriorityWeight)
		b.classes[settings.Name] = c
		b.classOrder = append(b.classOrder, c)
	}
}

// dropUnusedPlacements keeps the placements of classes and open requests, and the one of classes that are not
// in the settings.
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
	before := b.tenants
	b.tenants = map[string]*tenant{}
	for _, settings := range tenants {
		t := before[settings.Name]
		if t == nil {
			t = &tenant{}
		}
		t.localQuota = settings.Quota / float64(b.settings.Proxies)
		b.tenants[settings.Name] = t
	}
}

// classNamed returns the class of a name. One that is in no settings is not idempotent and has no priority
// weight.
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

// placementFor returns the placement of a rule. No rule (nil) differs from one that allows nothing (empty).
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

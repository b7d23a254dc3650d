package quota

import (
	"maps"
	"slices"

	"wrenspread/ratelimit"
)

// plan sets each member's goal in each limit that anybody wants: first what each limit may have of the one
// around it, from the outside inwards; then who gets how much of it, from the inside outwards, since a proxy
// needs as much of an outer limit as it has of the inner ones.
func (a *Allocator) plan() {
	if a.now-a.plannedAt < planInterval || a.now < a.formerLeasesEnd {
		return
	}
	a.plannedAt = a.now
	if !slices.ContainsFunc(
		a.members,
		func(m *member) bool { return m.hasSlot && m.tableVersion < a.limits.version },
	) {
		a.previousLimits = newLimits(nil, 0) // nobody judges by it any more
	}
	active := a.activeLimits()
	budgets := a.budgets(active)
	needs := map[need]flow{}
	for _, i := range slices.Backward(active) {
		a.allocate(i, budgets[i], needs)
	}
}

// need is what a member's inner limits of one axis, which share an outer one, want of it.
type need struct {
	limit     int32
	attribute ratelimit.Attribute
	member    *member
}

// flow is what comes to them, and what they get.
type flow struct{ wants, gets float64 }

// activeLimits returns the limits that members have shares of, in order.
func (a *Allocator) activeLimits() []int32 {
	return slices.DeleteFunc(
		slices.Sorted(maps.Keys(a.allocations)),
		func(i int32) bool { return len(a.allocations[i].shares) == 0 },
	)
}

// forgetExpired drops shares that are over. It is never called while one is given.
func (a *Allocator) forgetExpired() {
	for _, i := range a.activeLimits() {
		for _, e := range slices.Clone(a.allocations[i].shares) {
			if a.now-e.claimedAt > a.times.lease {
				e.demand = 0
			}
			if e.demand == 0 && !e.fallbackAtOnce && a.beyondFallback(e, i) == (size{}) {
				a.dropShare(i, e)
			}
		}
	}
}

// budgets is how much each limit may have in all: its rate, or its part of the one around it.
func (a *Allocator) budgets(active []int32) map[int32]float64 {
	type group struct {
		around int32
		axis   ratelimit.Attribute
	}
	out := map[int32]float64{}
	within := map[group][]int32{}
	for _, i := range active {
		l := &a.limits.all[i]
		g := group{l.parent, l.attribute}
		within[g] = append(within[g], i)
		out[i] = l.rate
	}
	for _, i := range active { // outer limits come first
		for axis := ratelimit.AttributeFleet; axis <= ratelimit.AttributeCell; axis++ {
			inner := within[group{i, axis}]
			if len(inner) == 0 {
				continue
			}
			for n, part := range divide(out[i], a.claimants(inner)) {
				out[inner[n]] = min(part, out[inner[n]])
			}
		}
	}
	return out
}

func (a *Allocator) claimants(of []int32) []claimant {
	out := make([]claimant, len(of))
	for n, i := range of {
		l := &a.limits.all[i]
		out[n] = claimant{floor: l.floor, most: l.rate, weight: max(l.weight, 1e-9)}
		if !l.borrow {
			out[n].most = min(l.floor, l.rate)
		}
		for _, e := range a.allocations[i].shares {
			out[n].want += e.demand
		}
	}
	return out
}

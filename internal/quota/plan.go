package quota

import (
	"maps"
	"slices"

	"wrenspread/ratelimit"
)

// plan sets the target of each member's share, unless it did so within the last planInterval. It first
// computes, from the outer limits inwards, how much each limit may have of its parent. Then it divides each
// limit among the members, from the inner limits outwards, since the share of an outer limit that a proxy can
// use depends on its shares of the inner limits.
func (a *Allocator) plan() {
	if a.now-a.plannedAt < planInterval || a.now < a.previousLeasesEnd {
		return
	}
	a.plannedAt = a.now
	if !slices.ContainsFunc(
		a.members,
		func(m *member) bool { return m.hasSlot && m.tableVersion < a.limits.version },
	) {
		a.previousLimits = newLimits(nil, 0) // every enrolled proxy uses the current table
	}
	active := a.activeLimits()
	budgets := a.budgets(active)
	innerDemands := map[demandKey]innerDemand{}
	for _, i := range slices.Backward(active) {
		a.allocate(i, budgets[i], innerDemands)
	}
}

// demandKey identifies the demand of one member for those inner limits of an outer limit whose scopes have
// one attribute.
type demandKey struct {
	limit     int32 // index of the outer limit
	attribute ratelimit.Attribute
	member    *member
}

// innerDemand is a member's demand for inner limits, and the rate that the member was allocated of these
// limits.
type innerDemand struct{ demand, allocated float64 }

// activeLimits returns the indices of the limits that members have shares of, in ascending order.
func (a *Allocator) activeLimits() []int32 {
	return slices.DeleteFunc(
		slices.Sorted(maps.Keys(a.allocations)),
		func(i int32) bool { return len(a.allocations[i].shares) == 0 },
	)
}

// forgetExpired drops the shares that have neither demand nor a live lease. It must not be called while a
// lease is being granted.
func (a *Allocator) forgetExpired() {
	for _, i := range a.activeLimits() {
		for _, share := range slices.Clone(a.allocations[i].shares) {
			if a.now-share.claimedAt > a.times.leaseDuration {
				share.demand = 0
			}
			if share.demand == 0 && !share.fallbackAtOnce && a.beyondFallback(share, i) == (shareSize{}) {
				a.dropShare(i, share)
			}
		}
	}
}

// budgets returns the rate that each active limit may have: its own rate or, if that is less, its part of its
// parent's rate.
func (a *Allocator) budgets(active []int32) map[int32]float64 {
	type group struct {
		parent    int32
		attribute ratelimit.Attribute
	}
	budgets := map[int32]float64{}
	inside := map[group][]int32{}
	for _, i := range active {
		limit := &a.limits.byIndex[i]
		g := group{limit.parent, limit.attribute}
		inside[g] = append(inside[g], i)
		budgets[i] = limit.rate
	}
	for _, i := range active { // outer limits come first
		for attribute := ratelimit.AttributeFleet; attribute <= ratelimit.AttributeCell; attribute++ {
			inner := inside[group{i, attribute}]
			if len(inner) == 0 {
				continue
			}
			for n, part := range divideAmongLimits(budgets[i], a.claimants(inner)) {
				budgets[inner[n]] = min(part, budgets[inner[n]])
			}
		}
	}
	return budgets
}

// claimants returns the demand and the bounds of the limits that divide their common parent.
func (a *Allocator) claimants(indices []int32) []claimant {
	claimants := make([]claimant, len(indices))
	for n, i := range indices {
		limit := &a.limits.byIndex[i]
		claimants[n] = claimant{floor: limit.floor, maxRate: limit.rate, weight: max(limit.weight, 1e-9)}
		if !limit.borrow {
			claimants[n].maxRate = min(limit.floor, limit.rate)
		}
		for _, share := range a.allocations[i].shares {
			claimants[n].demand += share.demand
		}
	}
	return claimants
}

package quota

import (
	"maps"
	"slices"

	"wrenspread/ratelimit"
)

// plan sets each member's goal in each limit that anybody wants: first what each limit may have of the one around
// it, from the outside inwards; then who gets how much of it, from the inside outwards, since a node needs as much
// of an outer limit as it has of the inner ones.
func (a *Apportioner) plan() {
	if a.now-a.planned < planEvery || a.now < a.freeAt {
		return
	}
	a.planned = a.now
	if !slices.ContainsFunc(a.members, func(m *member) bool { return m.seated && m.table < a.limits.version }) {
		a.before = newLimits(nil, 0) // nobody judges by it any more
	}
	active := a.active()
	budgets := a.budgets(active)
	needs := map[need]flow{}
	for _, i := range slices.Backward(active) {
		a.spread(i, budgets[i], needs)
	}
}

// need is what a member's inner limits of one axis, which share an outer one, want of it.
type need struct {
	limit int32
	axis  ratelimit.Attribute
	of    *member
}

// flow is what comes to them, and what they get.
type flow struct{ asks, gets float64 }

// active gives the limits that members have shares of, in order.
func (a *Apportioner) active() []int32 {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.stocks)), func(i int32) bool { return len(a.stocks[i].entries) == 0 })
}

// forget drops shares that are over. It is never called while one is given.
func (a *Apportioner) forget() {
	for _, i := range a.active() {
		for _, e := range slices.Clone(a.stocks[i].entries) {
			if a.now-e.seen > a.t.lease {
				e.demand = 0
			}
			if e.demand == 0 && !e.kept && a.beyond(e, i) == (size{}) {
				a.drop(i, e)
			}
		}
	}
}

// budgets is how much each limit may have in all: its rate, or its part of the one around it.
func (a *Apportioner) budgets(active []int32) map[int32]float64 {
	type group struct {
		around int32
		axis   ratelimit.Attribute
	}
	out := map[int32]float64{}
	within := map[group][]int32{}
	for _, i := range active {
		l := &a.limits.all[i]
		g := group{l.parent, l.axis}
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

func (a *Apportioner) claimants(of []int32) []claimant {
	out := make([]claimant, len(of))
	for n, i := range of {
		l := &a.limits.all[i]
		out[n] = claimant{floor: l.floor, most: l.rate, weight: max(l.weight, 1e-9)}
		if !l.borrow {
			out[n].most = min(l.floor, l.rate)
		}
		for _, e := range a.stocks[i].entries {
			out[n].want += e.demand
		}
	}
	return out
}

package quota

import (
	"cmp"
	"slices"
	"time"

	"wrenspread/ratelimit"
)

// allocate divides the budget of the limit with index i among the members that have demand, and sets their
// targets. innerDemands has the members' demand for the inner limits, to which allocate adds the demand for
// this limit, at this limit's parent.
func (a *Allocator) allocate(i int32, budget float64, innerDemands map[demandKey]innerDemand) {
	limit := &a.limits.byIndex[i]
	var claiming []*memberShare
	allocation := a.allocation(i)
	a.recomputeSum(i, allocation)
	others := allocation.sum.total
	for _, share := range allocation.shares {
		share.target = shareSize{}
		if share.demand > 0 {
			claiming = append(claiming, share)
			others = shareSize{others.rate - share.counted.rate, others.burst - share.counted.burst}
		}
	}
	available := shareSize{max(min(budget, limit.rate-others.rate), 0), max(limit.burst-others.burst, 0)}
	usable := a.usableDemand(i, claiming, innerDemands)
	if limit.concurrency {
		a.allocateConcurrency(i, available.rate, claiming, usable)
	} else {
		a.allocateRate(i, available, claiming, usable)
	}
	if limit.parent < 0 {
		return
	}
	for _, share := range claiming {
		key := demandKey{limit.parent, limit.attribute, share.member}
		inner := innerDemands[key]
		innerDemands[key] = innerDemand{
			inner.demand + share.demand,
			inner.allocated + min(share.demand, share.target.rate),
		}
	}
}

// usableDemand returns how much of the limit each member can use: the rate that it was allocated of the inner
// limits, and its demand that no inner limit applies to.
func (a *Allocator) usableDemand(
	i int32,
	claiming []*memberShare,
	innerDemands map[demandKey]innerDemand,
) []float64 {
	usable := make([]float64, len(claiming))
	for n, share := range claiming {
		var largest innerDemand
		for attribute := ratelimit.AttributeFleet; attribute <= ratelimit.AttributeCell; attribute++ {
			inner := innerDemands[demandKey{i, attribute, share.member}]
			largest = innerDemand{max(largest.demand, inner.demand), max(largest.allocated, inner.allocated)}
		}
		usable[n] = max(largest.allocated+max(share.demand-largest.demand, 0), minDemand)
	}
	return usable
}

// allocateRate divides the rate among the claiming members by max-min fairness, and the rate beyond all
// demands in proportion to demand. It divides the bucket's capacity in proportion to the rates. If there is
// less than one token's capacity for each member, the members take turns at complete tokens, since a bucket
// that can't hold a token never admits a request.
func (a *Allocator) allocateRate(i int32, available shareSize, claiming []*memberShare, usable []float64) {
	tokenCount := int(min(available.burst, float64(len(claiming))))
	if tokenCount < len(claiming) {
		claiming, usable = a.chooseInTurn(i, claiming, usable, tokenCount)
	}
	if len(claiming) == 0 {
		return
	}
	rates := divideByDemand(available.rate, usable)
	remainingBurst := available.burst
	for n, share := range claiming {
		share.target = shareSize{rates[n], max(1, a.fallback(share.member, i).burst)}
		remainingBurst -= share.target.burst
	}
	totalRate := totalOf(rates)
	for _, share := range claiming {
		if remainingBurst > 0 && totalRate > 0 {
			share.target.burst += float64(uint64(remainingBurst * share.target.rate / totalRate))
		}
	}
}

// allocateConcurrency divides the number of requests that may be in flight, in complete requests. If there is
// less than one request for each member, the members take turns.
func (a *Allocator) allocateConcurrency(
	i int32,
	available float64,
	claiming []*memberShare,
	usable []float64,
) {
	requestCount := int(min(available, float64(len(claiming))))
	if requestCount < len(claiming) {
		claiming, usable = a.chooseInTurn(i, claiming, usable, requestCount)
	}
	if len(claiming) == 0 {
		return
	}
	for n, extra := range divideByDemand(available-float64(len(claiming)), usable) {
		claiming[n].target.rate = 1 + float64(uint64(extra))
	}
}

// divideByDemand divides a budget by max-min fairness with equal weights, and the part that exceeds all
// demands in proportion to the demands.
func divideByDemand(budget float64, demands []float64) []float64 {
	equalWeights := slices.Repeat([]float64{1}, len(demands))
	shares := divideMaxMin(budget, demands, equalWeights)
	if spare := budget - totalOf(shares); spare > 0 {
		totalDemand := totalOf(demands)
		for n := range shares {
			shares[n] += spare * demands[n] / totalDemand
		}
	}
	return shares
}

// turnDuration returns how long a member's turn lasts at a limit that has fewer tokens than claiming members.
func turnDuration(rate float64) time.Duration {
	return max(2*time.Second, time.Duration(min(4/max(rate, 1e-3), 60)*float64(time.Second)))
}

// chooseInTurn returns count of the claiming members, with their usable demand. It chooses by a hash of the
// limit, the turn and the member's name, so that members that join or leave do not change the order of the
// other members.
func (a *Allocator) chooseInTurn(
	i int32,
	claiming []*memberShare,
	usable []float64,
	count int,
) ([]*memberShare, []float64) {
	limit := &a.limits.byIndex[i]
	turn := uint64(a.now / turnDuration(limit.rate))
	order := make([]int, len(claiming))
	hashes := make([]uint64, len(claiming))
	for n, share := range claiming {
		order[n], hashes[n] = n, mixHash(limit.hash, turn, share.member.name)
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(hashes[x], hashes[y]) })
	order = order[:count]
	slices.Sort(order)
	var chosen []*memberShare
	var chosenUsable []float64
	for _, n := range order {
		chosen, chosenUsable = append(chosen, claiming[n]), append(chosenUsable, usable[n])
	}
	return chosen, chosenUsable
}

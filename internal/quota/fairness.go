package quota

import (
	"cmp"
	"slices"
)

// divideMaxMin divides a budget by weighted max-min fairness: no claimant gets more than its demand, and a
// claimant that gets less than its demand gets, relative to its weight, at least as much as any other.
func divideMaxMin(budget float64, demands, weights []float64) []float64 {
	order := make([]int, len(demands))
	remainingWeight := 0.0
	for i := range order {
		order[i] = i
		remainingWeight += weights[i]
	}
	slices.SortStableFunc(
		order,
		func(a, b int) int { return cmp.Compare(demands[a]*weights[b], demands[b]*weights[a]) },
	)
	shares := make([]float64, len(demands))
	for _, i := range order {
		shares[i] = max(min(demands[i], budget*weights[i]/remainingWeight), 0)
		budget -= shares[i]
		remainingWeight -= weights[i]
	}
	return shares
}

// claimant is one of the limits that divide the rate of their parent limit.
type claimant struct {
	demand, floor, maxRate, weight float64
}

// divideAmongLimits divides a budget in three steps. First each claimant gets its floor, or its demand if
// that is less. Then the remaining budget is divided by weight among the claimants with more demand. Budget
// beyond all demand is divided by weight too, so that it is already allocated when demand jumps.
func divideAmongLimits(budget float64, claimants []claimant) []float64 {
	n := len(claimants)
	floors, extra, spare, weights := make([]float64, n), make([]float64, n),
		make([]float64, n), make([]float64, n)
	for i, c := range claimants {
		floors[i], weights[i] = min(c.floor, c.demand, c.maxRate), c.weight
	}
	shares := divideMaxMin(budget, floors, weights) // the floors fit, unless the budget was lowered
	for i, c := range claimants {
		extra[i] = max(min(c.demand, c.maxRate)-shares[i], 0)
	}
	addEach(shares, divideMaxMin(budget-totalOf(shares), extra, weights))
	for i, c := range claimants {
		spare[i] = max(c.maxRate-shares[i], 0)
	}
	addEach(shares, divideMaxMin(budget-totalOf(shares), spare, weights))
	return shares
}

// addEach adds each value of more to the value of to with the same index.
func addEach(to, more []float64) {
	for i := range to {
		to[i] += more[i]
	}
}

func totalOf(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum
}

package quota

import (
	"cmp"
	"slices"
)

// fair divides a budget by max-min: nobody gets more than it wants, and who gets less has as much by weight
// as anybody.
func fair(budget float64, wants, weights []float64) []float64 {
	order := make([]int, len(wants))
	rest := 0.0
	for i := range order {
		order[i] = i
		rest += weights[i]
	}
	slices.SortStableFunc(
		order,
		func(a, b int) int { return cmp.Compare(wants[a]*weights[b], wants[b]*weights[a]) },
	)
	out := make([]float64, len(wants))
	for _, i := range order {
		out[i] = max(min(wants[i], budget*weights[i]/rest), 0)
		budget -= out[i]
		rest -= weights[i]
	}
	return out
}

// claimant is one of the limits that share what is around them.
type claimant struct {
	want, floor, most, weight float64
}

// divide gives each claimant its floor as far as it wants it, then what more they want by weight, then what
// nobody wants, so that a jump of demand finds it there.
func divide(budget float64, all []claimant) []float64 {
	n := len(all)
	first, more, spare, weights := make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n)
	for i, c := range all {
		first[i], weights[i] = min(c.floor, c.want, c.most), c.weight
	}
	out := fair(budget, first, weights) // floors fit, unless the budget was lowered
	for i, c := range all {
		more[i] = max(min(c.want, c.most)-out[i], 0)
	}
	add(out, fair(budget-total(out), more, weights))
	for i, c := range all {
		spare[i] = max(c.most-out[i], 0)
	}
	add(out, fair(budget-total(out), spare, weights))
	return out
}

func add(to, more []float64) {
	for i := range to {
		to[i] += more[i]
	}
}

func total(all []float64) (sum float64) {
	for _, v := range all {
		sum += v
	}
	return sum
}

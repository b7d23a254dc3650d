package scale

import (
	"cmp"
	"errors"
	"slices"
)

// reachedBound is a bound that a cost exceeds at a size between today's and the plan's.
type reachedBound struct {
	CostLine
	// planFactor is the factor of the plan's numbers at which the cost reaches the bound; 0: the cost already
	// exceeds the bound at today's size.
	planFactor float64
	fullCost   float64 // the cost at the plan's size
	bound      float64
	grounds    grounds // grounds of the cost at planFactor
}

// reachedBounds returns the bounds that costs reach between today's size and the plan's, in the order of
// their factors, and the lines whose cost or bound is unknown.
func reachedBounds(m labelRecords, p Plan) (reached []reachedBound, unknown []CostLine) {
	for _, l := range CostLines() {
		r, isReached, err := l.reachedBound(m, p)
		switch {
		case err != nil:
			unknown = append(unknown, l)
		case isReached:
			reached = append(reached, r)
		}
	}
	slices.SortStableFunc(reached,
		func(a, b reachedBound) int { return cmp.Compare(a.planFactor, b.planFactor) })
	return reached, unknown
}

// reachedBound searches for the factor of the plan from which on the cost exceeds its bound. The search is
// binary, as costs do not fall with the size.
func (l CostLine) reachedBound(m labelRecords, p Plan) (reached reachedBound, isReached bool, err error) {
	reached.CostLine = l
	if reached.bound, err = l.bound(m, p); err != nil || reached.bound == 0 {
		return reached, false, err
	}
	at := func(factor float64) (cost float64, g grounds) {
		cost, g, e := l.cost(m, p.scaledBy(factor))
		err = cmp.Or(err, e)
		return cost, g
	}
	if reached.fullCost, _ = at(1); reached.fullCost <= reached.bound || err != nil {
		return reached, false, err
	}
	low, high := p.todayFactor(), 1.0
	if cost, g := at(low); cost > reached.bound {
		reached.grounds = g
		return reached, true, err
	}
	for high-low > 1e-4*low {
		mid := (low + high) / 2
		if cost, _ := at(mid); cost > reached.bound {
			high = mid
		} else {
			low = mid
		}
	}
	reached.planFactor = low
	_, reached.grounds = at(low)
	return reached, true, err
}

// cell is what the page shows of a cost for one label: the value, the bound and the grounds, or an error.
type cell struct {
	value, bound float64
	grounds      grounds
	err          error
}

func (l CostLine) cell(m labelRecords, p Plan) (c cell) {
	if c.bound, c.err = l.bound(m, p); c.err != nil {
		return c
	}
	c.value, c.grounds, c.err = l.cost(m, p)
	return c
}

func (c cell) notRun() bool { return errors.Is(c.err, errNotRun) }

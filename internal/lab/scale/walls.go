package scale

import (
	"cmp"
	"errors"
	"slices"
)

// reachedBound is a bound that a cost reaches on the way to the plan.
type reachedBound struct {
	Line
	// factor scales all numbers of the plan to where the bound is reached; 0: today's size already exceeds it.
	factor   float64
	fullCost float64 // the cost at the plan's size
	bound    float64
	grounds  grounds // of the cost, at factor
}

// reachedBounds finds the bounds that are reached between today's size and the plan, the nearest first, and
// the lines for which this is unknown.
func reachedBounds(m labelRecords, p Plan) (all []reachedBound, unknown []Line) {
	for _, l := range Lines() {
		w, met, err := l.reachedBound(m, p)
		switch {
		case err != nil:
			unknown = append(unknown, l)
		case met:
			all = append(all, w)
		}
	}
	slices.SortStableFunc(all, func(a, b reachedBound) int { return cmp.Compare(a.factor, b.factor) })
	return all, unknown
}

// reachedBound searches for the factor at which a cost exceeds its bound. Costs do not fall with the size.
func (l Line) reachedBound(m labelRecords, p Plan) (w reachedBound, met bool, err error) {
	w.Line = l
	if w.bound, err = l.bound(m, p); err != nil || w.bound == 0 {
		return w, false, err
	}
	at := func(f float64) (cost float64, on grounds) {
		cost, on, e := l.cost(m, p.scaledBy(f))
		err = cmp.Or(err, e)
		return cost, on
	}
	if w.fullCost, _ = at(1); w.fullCost <= w.bound || err != nil {
		return w, false, err
	}
	low, high := p.todayFactor(), 1.0
	if cost, on := at(low); cost > w.bound {
		w.grounds = on
		return w, true, err
	}
	for high-low > 1e-4*low {
		mid := (low + high) / 2
		if cost, _ := at(mid); cost > w.bound {
			high = mid
		} else {
			low = mid
		}
	}
	w.factor = low
	_, w.grounds = at(low)
	return w, true, err
}

// cell is a cost on the page for one label.
type cell struct {
	value, bound float64
	grounds      grounds
	err          error
}

func (l Line) cell(m labelRecords, p Plan) (c cell) {
	if c.bound, c.err = l.bound(m, p); c.err != nil {
		return c
	}
	c.value, c.grounds, c.err = l.cost(m, p)
	return c
}

func (c cell) notRun() bool { return errors.Is(c.err, errNotRun) }

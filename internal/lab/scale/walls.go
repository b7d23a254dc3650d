package scale

import (
	"cmp"
	"errors"
	"slices"
)

// wall is a limit that is met on the way to the plan.
type wall struct {
	Line
	f     float64 // at which it is met, all numbers of the plan scaled together; 0: at today's size already
	full  float64 // the cost at f = 1
	bound float64
	on    grounds // of the cost, at f
}

// walls finds the limits that are met between today's size and the plan, the nearest first, and those that
// can't be told.
func walls(m measured, p Plan) (all []wall, untold []Line) {
	for _, l := range Lines() {
		w, met, err := l.wall(m, p)
		switch {
		case err != nil:
			untold = append(untold, l)
		case met:
			all = append(all, w)
		}
	}
	slices.SortStableFunc(all, func(a, b wall) int { return cmp.Compare(a.f, b.f) })
	return all, untold
}

// wall looks for the factor at which a cost passes its bound. Costs do not fall with the size.
func (l Line) wall(m measured, p Plan) (w wall, met bool, err error) {
	w.Line = l
	if w.bound, err = l.bound(m, p); err != nil || w.bound == 0 {
		return w, false, err
	}
	at := func(f float64) (cost float64, on grounds) {
		cost, on, e := l.cost(m, p.times(f))
		err = cmp.Or(err, e)
		return cost, on
	}
	if w.full, _ = at(1); w.full <= w.bound || err != nil {
		return w, false, err
	}
	low, high := p.lowest(), 1.0
	if cost, on := at(low); cost > w.bound {
		w.on = on
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
	w.f = low
	_, w.on = at(low)
	return w, true, err
}

// cell is a cost of the page at one label.
type cell struct {
	value, bound float64
	on           grounds
	err          error
}

func (l Line) cell(m measured, p Plan) (c cell) {
	if c.bound, c.err = l.bound(m, p); c.err != nil {
		return c
	}
	c.value, c.on, c.err = l.cost(m, p)
	return c
}

func (c cell) notRun() bool { return errors.Is(c.err, errNotRun) }

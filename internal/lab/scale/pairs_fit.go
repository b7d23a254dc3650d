package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// pairForms are those in which a cost may go with one of two sizes: three sizes of each don't tell more
// apart. What a node works with, its reach, falls as nodes come: 1/n.
var pairForms = append(slices.Clone(forms[1:3]), form{"1/n", func(n float64) float64 { return 1 / n }})

// counts is how rarely chance alone may make a product look as it does, for it to count: in one of twenty
// tables, each of which is looked at in all pairs of forms.
const counts = 0.05 / 9

// PairFit is a cost by two sizes: terms of 1, a, b and a*b, each size in its form.
type PairFit struct {
	A, B     string // the forms
	Terms    [4]float64
	Residual float64 // relative, of the fit without the product, or with it where that counts
	Chance   float64 // that a product which isn't there would show as much
	Points   int
	a, b     func(float64) float64
	largest  [2]float64
}

// Product reports whether the product counts: then a cost at two large sizes is not the sum of two costs.
func (f PairFit) Product() bool { return f.Chance < counts }

// Cost is what the fit gives at two sizes; never below 0.
func (f PairFit) Cost(a, b float64) float64 {
	t := f.row(a, b)
	sum := 0.0
	for i := range t {
		sum += f.Terms[i] * t[i]
	}
	return max(0, sum)
}

func (f PairFit) row(a, b float64) [4]float64 {
	return [4]float64{1, f.a(a), f.b(b), f.a(a) * f.b(b)}
}

// fitPair finds the forms with the least residual, and whether their product counts, by what it takes off the
// squares. Each point counts by its relative error.
func fitPair(as, bs, ys []float64) (PairFit, error) {
	best := PairFit{Residual: math.Inf(1)}
	if len(ys) < 9 || len(as) != len(ys) || len(bs) != len(ys) {
		return best, fmt.Errorf("a fit of two sizes wants three of each, there are %d points", len(ys))
	}
	for i, y := range ys {
		if y <= 0 || as[i] <= 0 || bs[i] <= 0 {
			return best, fmt.Errorf("a fit wants sizes and costs above 0, there is %v at %v, %v", y, as[i], bs[i])
		}
	}
	for _, a := range pairForms {
		for _, b := range pairForms {
			f := PairFit{A: a.name, B: b.name, a: a.of, b: b.of, Points: len(ys)}
			without, sum3, err := f.solve(3, as, bs, ys)
			if err != nil {
				return best, err
			}
			with, sum4, err := f.solve(4, as, bs, ys)
			if err != nil {
				return best, err
			}
			free := float64(len(ys) - 4)
			f.Chance = distuv.F{
				D1: 1,
				D2: free,
			}.Survival(
				max(0, sum3-sum4) / (sum4/free + math.SmallestNonzeroFloat64),
			)
			if f.Terms, f.Residual = without, math.Sqrt(sum3/(free+1)); f.Product() {
				f.Terms, f.Residual = with, math.Sqrt(sum4/free)
			}
			if f.Residual < best.Residual {
				best = f
			}
		}
	}
	for i := range ys {
		best.largest = [2]float64{max(best.largest[0], as[i]), max(best.largest[1], bs[i])}
	}
	return best, nil
}

// solve fits the first so many terms, and gives the sum of the squares of what is left.
func (f PairFit) solve(terms int, as, bs, ys []float64) (t [4]float64, left float64, err error) {
	x, one, got := mat.NewDense(len(ys), terms, nil), mat.NewDense(len(ys), 1, nil), mat.NewDense(terms, 1, nil)
	for i, y := range ys {
		row := f.row(as[i], bs[i])
		for j := range terms {
			x.Set(i, j, row[j]/y)
		}
		one.Set(i, 0, 1)
	}
	if err := got.Solve(x, one); err != nil {
		var condition mat.Condition
		if !errors.As(err, &condition) { // sizes go over decades: a rough solution is one
			return t, 0, fmt.Errorf("a fit of two sizes: %w", err)
		}
	}
	for j := range terms {
		t[j] = got.At(j, 0)
	}
	for i, y := range ys {
		sum := 0.0
		for j, v := range f.row(as[i], bs[i]) {
			sum += t[j] * v
		}
		relative := (sum - y) / y
		left += relative * relative
	}
	return t, left, nil
}

// fitPairOf fits a figure of a record along two sizes, where the other sizes are as said.
func fitPairOf(r Record, a, b, figure string, others map[string]int) (PairFit, error) {
	var as, bs, ys []float64
	for _, p := range r.Points {
		if f, has := p.Figures[figure]; has && p.Sizes[a] > 0 && p.Sizes[b] > 0 && matches(p, others) {
			as, bs, ys = append(as, float64(p.Sizes[a])), append(bs, float64(p.Sizes[b])), append(ys, f.Median)
		}
	}
	f, err := fitPair(as, bs, ys)
	if err != nil {
		return f, fmt.Errorf("%s of %s, %s: %w", figure, r.What, r.Label, err)
	}
	return f, nil
}

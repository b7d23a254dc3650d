package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// pairForms are the forms in which a cost may grow with one of two sizes: three sizes of each do not tell
// more forms apart. A node's reach, the number of backends that it uses, falls with the number of nodes:
// 1/n.
var pairForms = append(slices.Clone(forms[1:3]), form{"1/n", func(n float64) float64 { return 1 / n }})

// maxProductChance bounds the probability that chance alone makes a product appear; above it the product does
// not count. It allows a false product in one of twenty tables, each of which is tried in all nine pairs of
// forms.
const maxProductChance = 0.05 / 9

// PairFit is a cost by two sizes a and b: the sum of terms of 1, a, b and a*b, each size in its form.
type PairFit struct {
	A, B     string // names of the forms
	Terms    [4]float64
	Residual float64 // relative; of the fit with the product if the product counts, else without
	Chance   float64 // probability that a product that does not exist shows as much
	Points   int
	a, b     func(float64) float64
	largest  [2]float64
}

// Product reports whether the product counts. If so, the cost at two large sizes is not the sum of two
// costs.
func (f PairFit) Product() bool { return f.Chance < maxProductChance }

// Cost is the fitted cost at two sizes; never below 0.
func (f PairFit) Cost(a, b float64) float64 {
	t := f.row(a, b)
	sum := 0.0
	for i := range t {
		sum += f.Terms[i] * t[i]
	}
	return max(0, sum)
}

// row is the value of each term at two sizes, without its factor.
func (f PairFit) row(a, b float64) [4]float64 {
	return [4]float64{1, f.a(a), f.b(b), f.a(a) * f.b(b)}
}

// fitPair finds the forms with the least residual, and whether their product counts, by how much it reduces
// the sum of the squares. Each point is weighted by its relative error.
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
			f := PairFit{A: a.name, B: b.name, a: a.apply, b: b.apply, Points: len(ys)}
			without, sum3, err := f.solve(3, as, bs, ys)
			if err != nil {
				return best, err
			}
			with, sum4, err := f.solve(4, as, bs, ys)
			if err != nil {
				return best, err
			}
			degreesOfFreedom := float64(len(ys) - 4)
			f.Chance = distuv.F{
				D1: 1,
				D2: degreesOfFreedom,
			}.Survival(
				max(0, sum3-sum4) / (sum4/degreesOfFreedom + math.SmallestNonzeroFloat64),
			)
			if f.Terms, f.Residual = without, math.Sqrt(sum3/(degreesOfFreedom+1)); f.Product() {
				f.Terms, f.Residual = with, math.Sqrt(sum4/degreesOfFreedom)
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

// solve fits the first terms, and returns them with the sum of the squares of the relative errors.
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
		if !errors.As(err, &condition) { // sizes span decades: an ill-conditioned solution is accepted
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

// fitPairOf fits a figure of a record along two sizes, over the points whose other sizes equal others. The
// tables of the page show the texts of its errors.
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

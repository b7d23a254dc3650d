package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// pairForms holds the forms in which a cost may depend on one of two sizes. There are few, as three sizes of
// each kind do not distinguish more forms. The form 1/n is that of the number of backends that a node uses,
// which falls with the number of nodes.
var pairForms = append(slices.Clone(forms[1:3]), form{"1/n", func(n float64) float64 { return 1 / n }})

// maxProductPValue is the significance level below which a product counts. It allows a false product in one
// of twenty fits, each of which tries all nine pairs of forms.
const maxProductPValue = 0.05 / 9

// PairFit describes a cost as a function of two sizes a and b: the sum of multiples of 1, A(a), B(b) and
// A(a)*B(b), where A and B are the forms.
type PairFit struct {
	A, B     string     // names of the forms
	Terms    [4]float64 // factors of the terms 1, A(a), B(b) and A(a)*B(b)
	Residual float64    // relative; of the fit with the product if the product counts, otherwise without it
	PValue   float64    // probability of a product as strong as this one if there is none
	Points   int
	a, b     func(float64) float64
	largest  [2]float64
}

// ProductCounts reports whether the cost has a product of the sizes. If so, the cost at two large sizes is
// not the sum of two costs.
func (f PairFit) ProductCounts() bool { return f.PValue < maxProductPValue }

// Cost returns the fitted cost at two sizes; it is never below 0.
func (f PairFit) Cost(a, b float64) float64 {
	t := f.row(a, b)
	sum := 0.0
	for i := range t {
		sum += f.Terms[i] * t[i]
	}
	return max(0, sum)
}

// row returns the value of each term at two sizes, without its factor.
func (f PairFit) row(a, b float64) [4]float64 {
	return [4]float64{1, f.a(a), f.b(b), f.a(a) * f.b(b)}
}

// fitPair fits the costs ys as a function of the sizes as and bs, with each pair of forms, and returns the
// fit with the least residual. Each fit minimizes the squares of the relative residuals, and an F-test on
// their sums decides whether the product of the sizes counts. fitPair returns an error for slices of
// different lengths, for fewer than 9 points, and for a size or cost that is not above 0. The tables of the
// page show the texts of its errors.
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
			termsWithout, sumWithout, err := f.solve(3, as, bs, ys)
			if err != nil {
				return best, err
			}
			termsWith, sumWith, err := f.solve(4, as, bs, ys)
			if err != nil {
				return best, err
			}
			degreesOfFreedom := float64(len(ys) - 4)
			f.PValue = distuv.F{
				D1: 1,
				D2: degreesOfFreedom,
			}.Survival(
				max(0, sumWithout-sumWith) / (sumWith/degreesOfFreedom + math.SmallestNonzeroFloat64),
			)
			if f.Terms, f.Residual = termsWithout, math.Sqrt(sumWithout/(degreesOfFreedom+1)); f.ProductCounts() {
				f.Terms, f.Residual = termsWith, math.Sqrt(sumWith/degreesOfFreedom)
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

// solve fits the factors of the given number of first terms. It returns the factors, and the sum of the
// squares of the relative errors.
func (f PairFit) solve(terms int, as, bs, ys []float64) (t [4]float64, sumOfSquares float64, err error) {
	x, ones, solution := mat.NewDense(len(ys), terms, nil), mat.NewDense(len(ys), 1, nil),
		mat.NewDense(terms, 1, nil)
	for i, y := range ys {
		row := f.row(as[i], bs[i])
		for j := range terms {
			x.Set(i, j, row[j]/y)
		}
		ones.Set(i, 0, 1)
	}
	if err := solution.Solve(x, ones); err != nil {
		var condition mat.Condition
		// An ill-conditioned solution is accepted, as sizes span orders of magnitude.
		if !errors.As(err, &condition) {
			return t, 0, fmt.Errorf("a fit of two sizes: %w", err)
		}
	}
	for j := range terms {
		t[j] = solution.At(j, 0)
	}
	for i, y := range ys {
		sum := 0.0
		for j, v := range f.row(as[i], bs[i]) {
			sum += t[j] * v
		}
		relative := (sum - y) / y
		sumOfSquares += relative * relative
	}
	return t, sumOfSquares, nil
}

// fitPairOf fits a figure of a record over the kinds of sizes a and b, at the points whose other sizes equal
// otherSizes. The tables of the page show the texts of its errors.
func fitPairOf(r Record, a, b, figure string, otherSizes map[string]int) (PairFit, error) {
	var as, bs, ys []float64
	for _, p := range r.Points {
		if f, has := p.Figures[figure]; has && p.Sizes[a] > 0 && p.Sizes[b] > 0 && matches(p, otherSizes) {
			as, bs, ys = append(as, float64(p.Sizes[a])), append(bs, float64(p.Sizes[b])), append(ys, f.Median)
		}
	}
	f, err := fitPair(as, bs, ys)
	if err != nil {
		return f, fmt.Errorf("%s of %s, %s: %w", figure, r.Measurement, r.Label, err)
	}
	return f, nil
}

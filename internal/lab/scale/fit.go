package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// form is a way in which a cost may grow.
type form struct {
	name string
	of   func(n float64) float64 // nil: it does not grow
}

// forms are those that are tried, the plainest first.
var forms = []form{
	{"constant", nil},
	{"log n", func(n float64) float64 { return math.Log(n) }},
	{"n", func(n float64) float64 { return n }},
	{"n log n", func(n float64) float64 { return n * math.Log(n) }},
	{"n²", func(n float64) float64 { return n * n }},
}

// Fit is a cost by a size: at + slope * form(n).
type Fit struct {
	Form     string
	At       float64
	Slope    float64 // of the form; 0 where it is constant
	Residual float64 // relative, root of the mean square, by the degrees of freedom
	Sizes    int     // that it rests on
	Largest  float64 // of them
	grow     func(float64) float64
}

// fit finds the form with the least residual. Each point counts by its relative
// error, as sizes and costs go over decades. A cost that falls with the size is constant.
func fit(xs, ys []float64) (Fit, error) {
	if len(xs) < 3 || len(xs) != len(ys) {
		return Fit{}, fmt.Errorf("a fit wants three sizes, there are %d", len(xs))
	}
	weights, largest := make([]float64, len(xs)), 0.0
	for i, y := range ys {
		if y <= 0 || xs[i] <= 0 {
			return Fit{}, fmt.Errorf("a fit wants sizes and costs above 0, there is %v at %v", y, xs[i])
		}
		weights[i], largest = 1/(y*y), max(largest, xs[i])
	}
	best := Fit{Residual: math.Inf(1)}
	for _, f := range forms {
		one := Fit{Form: f.name, Sizes: len(xs), Largest: largest, grow: f.of}
		free := len(xs) - 1
		if f.of == nil {
			one.At = stat.Mean(ys, weights)
		} else {
			grown := make([]float64, len(xs))
			for i, x := range xs {
				grown[i] = f.of(x)
			}
			one.At, one.Slope = stat.LinearRegression(grown, ys, weights, false)
			if free--; one.Slope <= 0 {
				continue
			}
		}
		sum := 0.0
		for i, x := range xs {
			sum += math.Pow((one.Cost(x)-ys[i])/ys[i], 2)
		}
		if one.Residual = math.Sqrt(sum / float64(free)); one.Residual < best.Residual {
			best = one
		}
	}
	return best, nil
}

// Cost is what the fit gives at a size; never below 0.
func (f Fit) Cost(n float64) float64 {
	if f.grow == nil {
		return f.At
	}
	return max(0, f.At+f.Slope*f.grow(n))
}

// Reach is by what factor a size is beyond the largest that was played.
func (f Fit) Reach(n float64) float64 { return n / f.Largest }

// grounds are what a figure at a size rests on.
type grounds struct {
	reach    float64 // the size over the largest that was played
	residual float64 // of the fit
}

const poorly = 0.3 // residual from which a fit is said to be poor

func (g grounds) String() string {
	s := "measured"
	if g.reach > 10 {
		s = fmt.Sprintf("a guess, %.0f times beyond", g.reach)
	} else if g.reach > 1 {
		s = fmt.Sprintf("extrapolated %.1f times", g.reach)
	}
	if g.residual > poorly {
		s += ", by a poor fit"
	}
	return s
}

// fitOf fits a figure of a record along one size, where the other sizes are as said.
func fitOf(r Record, along, figure string, others map[string]int) (Fit, error) {
	var xs, ys []float64
	for _, p := range r.Points {
		f, has := p.Figures[figure]
		if n, sized := p.Sizes[along]; has && sized && matches(p, others) {
			xs, ys = append(xs, float64(n)), append(ys, f.Median)
		}
	}
	f, err := fit(xs, ys)
	if err != nil {
		return f, fmt.Errorf("%s of %s, %s, by %s: %w", figure, r.What, r.Label, along, err)
	}
	return f, nil
}

func matches(p Point, others map[string]int) bool {
	for name, n := range others {
		if p.Sizes[name] != n {
			return false
		}
	}
	return true
}

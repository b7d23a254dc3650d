package scale

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// form is a function of the size in proportion to which a cost may grow.
type form struct {
	name  string
	apply func(n float64) float64 // nil: the cost is constant
}

// forms holds the forms that a fit tries, the simplest first.
var forms = []form{
	{"constant", nil},
	{"log n", func(n float64) float64 { return math.Log(n) }},
	{"n", func(n float64) float64 { return n }},
	{"n log n", func(n float64) float64 { return n * math.Log(n) }},
	{"n²", func(n float64) float64 { return n * n }},
}

// Fit describes a cost as a function of a size n: Intercept + Slope * form(n).
type Fit struct {
	Form      string
	Intercept float64
	Slope     float64 // factor of the form; 0 if the cost is constant
	Residual  float64 // root mean square of the relative errors; the mean is over the degrees of freedom
	Sizes     int     // number of sizes that were fitted
	Largest   float64 // largest size that was fitted
	growth    func(float64) float64
}

// fit returns the fit with the form that has the least residual. It minimizes relative errors, as sizes and
// costs span orders of magnitude. A cost that falls with the size is fitted as a constant. The tables of the
// page show the texts of its errors.
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
		candidate := Fit{Form: f.name, Sizes: len(xs), Largest: largest, growth: f.apply}
		degreesOfFreedom := len(xs) - 1
		if f.apply == nil {
			candidate.Intercept = stat.Mean(ys, weights)
		} else {
			grown := make([]float64, len(xs))
			for i, x := range xs {
				grown[i] = f.apply(x)
			}
			intercept, slope := stat.LinearRegression(grown, ys, weights, false)
			candidate.Intercept = roundBeside(intercept, slices.Min(ys))
			candidate.Slope = roundBeside(slope, slope)
			if degreesOfFreedom--; candidate.Slope <= 0 {
				continue
			}
		}
		sum := 0.0
		for i, x := range xs {
			sum += math.Pow((candidate.Cost(x)-ys[i])/ys[i], 2)
		}
		candidate.Residual = roundBeside(math.Sqrt(sum/float64(degreesOfFreedom)), 1)
		if candidate.Residual < best.Residual {
			best = candidate
		}
	}
	return best, nil
}

// fitDigits is the number of significant digits of a fit. Further ones depend on the processor, as some fuse
// multiplications with additions.
const fitDigits = 9

// roundBeside rounds x to fitDigits, and to 0 if it is below the precision of a figure of the given size.
func roundBeside(x, size float64) float64 {
	if math.Abs(x) < math.Abs(size)*math.Pow10(-fitDigits) {
		return 0
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', fitDigits, 64), 64)
	if err != nil {
		return x // infinite: it has no digits
	}
	return rounded
}

// Cost returns the fitted cost at a size; it is never below 0.
func (f Fit) Cost(n float64) float64 {
	if f.growth == nil {
		return f.Intercept
	}
	return max(0, f.Intercept+f.Slope*f.growth(n))
}

// Extrapolation returns the ratio of a size to the largest size that was measured.
func (f Fit) Extrapolation(n float64) float64 { return n / f.Largest }

// grounds tells how well measurements support a figure at a size.
type grounds struct {
	extrapolation float64 // ratio of the size to the largest size that was measured
	residual      float64 // relative residual of the fit
}

const poorResidual = 0.3 // the texts call a fit with a larger residual poor

func (g grounds) String() string {
	s := "measured"
	if g.extrapolation > 10 {
		s = fmt.Sprintf("a guess, %.0f times beyond", g.extrapolation)
	} else if g.extrapolation > 1 {
		s = fmt.Sprintf("extrapolated %.1f times", g.extrapolation)
	}
	if g.residual > poorResidual {
		s += ", by a poor fit"
	}
	return s
}

// fitOf fits a figure of a record over the sizes of the kind sizeName, at the points whose other sizes equal
// otherSizes. The tables of the page show the texts of its errors.
func fitOf(r Record, sizeName, figure string, otherSizes map[string]int) (Fit, error) {
	var xs, ys []float64
	for _, p := range r.Points {
		f, has := p.Figures[figure]
		if n, sized := p.Sizes[sizeName]; has && sized && matches(p, otherSizes) {
			xs, ys = append(xs, float64(n)), append(ys, f.Median)
		}
	}
	f, err := fit(xs, ys)
	if err != nil {
		return f, fmt.Errorf("%s of %s, %s, by %s: %w", figure, r.Measurement, r.Label, sizeName, err)
	}
	return f, nil
}

// matches reports whether a point has all of the given sizes.
func matches(p Point, sizes map[string]int) bool {
	for name, n := range sizes {
		if p.Sizes[name] != n {
			return false
		}
	}
	return true
}

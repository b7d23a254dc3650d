package scale

import (
	"math"
	"testing"
)

// TestPairFitCountsOnlyARealProduct checks that a product counts if and only if the cost has one, also with
// 1% of noise, and that the fit extrapolates to twice the sizes within 10%.
func TestPairFitCountsOnlyARealProduct(t *testing.T) {
	for name, c := range map[string]struct {
		cost       func(a, b float64) float64
		hasProduct bool
		a, b       string
	}{
		"a sum":                       {func(a, b float64) float64 { return 5 + 2*a + 0.3*b }, false, "n", "n"},
		"one size alone":              {func(a, b float64) float64 { return 5 + 0.3*b }, false, "", "n"},
		"a product":                   {func(a, b float64) float64 { return 5 + 0.1*a*b }, true, "n", "n"},
		"a sum and a product":         {func(a, b float64) float64 { return 100 + a + b + 0.01*a*b }, true, "n", "n"},
		"a product with 1/n":          {func(a, b float64) float64 { return 5 + 40*b/a }, true, "1/n", "n"},
		"a product of a log and of n": {func(a, b float64) float64 { return 5 + math.Log(a)*b }, true, "log n", "n"},
	} {
		for noise := range 10 {
			var as, bs, ys []float64
			for i, a := range []float64{10, 30, 100} {
				for j, b := range []float64{200, 2000, 10000} {
					as, bs, ys = append(as, a), append(bs, b), append(ys, c.cost(a, b)*(1+0.01*math.Sin(float64(7*i+3*j+noise))))
				}
			}
			f, err := fitPair(as, bs, ys)
			if err != nil || f.ProductCounts() != c.hasProduct || f.Residual > 0.03 || c.a != "" && f.A != c.a || f.B != c.b {
				t.Errorf("%s: got the fit %+v, error %v", name, f, err)
			}
			if got, want := f.Cost(200, 20000), c.cost(200, 20000); math.Abs(got/want-1) > 0.1 {
				t.Errorf("%s: got %v at twice the sizes, want %v", name, got, want)
			}
		}
	}
	nine := make([]float64, 9)
	for _, ys := range [][]float64{nine, nine[:8]} {
		if _, err := fitPair(ys, ys, ys); err == nil {
			t.Errorf("%d costs of 0: no error", len(ys))
		}
	}
}

package scale

import (
	"math"
	"testing"
)

// measuredSizes holds sizes like those of the records, which span orders of magnitude.
var measuredSizes = []float64{200, 2000, 5000, 20000, 54000}

// TestFitFindsEachFormUnderNoise checks that a fit finds each form with its slope, and that noise of 5%
// changes the fitted cost at the largest size by at most 15%.
func TestFitFindsEachFormUnderNoise(t *testing.T) {
	for _, f := range forms {
		for _, noise := range []float64{0, 0.05} {
			var ys []float64
			for i, x := range measuredSizes {
				y := 3.0
				if f.apply != nil {
					y += 2 * f.apply(x)
				}
				ys = append(ys, y*(1+noise*float64(i%2*2-1)))
			}
			got, err := fit(measuredSizes, ys)
			if err != nil {
				t.Fatal(err)
			}
			if noise == 0 && (got.Form != f.name || f.apply != nil && math.Abs(got.Slope-2) > 1e-6 || got.Residual > 1e-9) {
				t.Errorf("form %s without noise: got the fit %+v", f.name, got)
			}
			if noise > 0 && math.Abs(got.Cost(54000)/ys[4]-1) > 0.15 {
				t.Errorf("form %s with noise of 5%%: the fit %+v gives %v, want about %v", f.name, got, got.Cost(54000), ys[4])
			}
		}
	}
}

// TestFitHasNoRoundingErrors guards against figures that differ from one kind of processor to another: a fit of
// exact points is exact.
func TestFitHasNoRoundingErrors(t *testing.T) {
	ys := make([]float64, len(measuredSizes))
	for i, x := range measuredSizes {
		ys[i] = 350 * x
	}
	got, err := fit(measuredSizes, ys)
	if err != nil {
		t.Fatal(err)
	}
	if got.Form != "n" || got.Intercept != 0 || got.Slope != 350 || got.Residual != 0 {
		t.Errorf("got %+v, want 350 x n with no intercept and no residual", got)
	}
}

func TestFitRefusesBadPointsAndTakesFallingCostAsConstant(t *testing.T) {
	for _, c := range [][2][]float64{{{1, 2}, {1, 2}}, {{1, 2, 3}, {1, 2}}, {{1, 2, 3}, {1, 0, 3}}, {{0, 2, 3}, {1, 2, 3}}} {
		if f, err := fit(c[0], c[1]); err == nil {
			t.Errorf("points %v: got the fit %+v, want an error", c, f)
		}
	}
	if f, err := fit([]float64{1, 10, 100}, []float64{9, 8, 7}); err != nil || f.Form != "constant" {
		t.Errorf("falling cost: got %+v, error %v, want a constant", f, err)
	}
}

func TestGroundsTellMeasuredFromExtrapolated(t *testing.T) {
	f := Fit{Largest: 1000}
	for n, want := range map[float64]string{500: "measured", 1000: "measured", 4300: "extrapolated 4.3 times", 20000: "a guess, 20 times beyond"} {
		if got := (grounds{extrapolation: f.Extrapolation(n)}).String(); got != want {
			t.Errorf("grounds of size %v, with 1,000 as the largest measured size: got %s", n, got)
		}
	}
	if got := (grounds{2, 0.5}).String(); got != "extrapolated 2.0 times, by a poor fit" {
		t.Error(got)
	}
}

func TestNumbersAreFormattedAndRounded(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.00372: "0.00372", 99.96: "100", 1234567: "1,234,567", -1234: "-1,234", 12.34: "12.3"} {
		if got := formatNumber(v); got != want {
			t.Errorf("formatNumber(%v) = %s, want %s", v, got, want)
		}
	}
	for v, want := range map[float64]float64{0: 0, 0.000123456: 0.0001235, 123456: 123500, math.Inf(1): 0} {
		if got := roundToFourDigits(v); math.Abs(got-want) > 1e-12 {
			t.Errorf("value %v is rounded to %v", v, got)
		}
	}
}

package scale

import (
	"math"
	"testing"
)

var someSizes = []float64{200, 2000, 5000, 20000, 54000}

// TestFit: each form is told from the others, with its slope, also under a spread of 5%.
func TestFit(t *testing.T) {
	for _, f := range forms {
		for _, noise := range []float64{0, 0.05} {
			var ys []float64
			for i, x := range someSizes {
				y := 3.0
				if f.of != nil {
					y += 2 * f.of(x)
				}
				ys = append(ys, y*(1+noise*float64(i%2*2-1)))
			}
			got, err := fit(someSizes, ys)
			if err != nil {
				t.Fatal(err)
			}
			if noise == 0 && (got.Form != f.name || f.of != nil && math.Abs(got.Slope-2) > 1e-6 || got.Residual > 1e-9) {
				t.Errorf("%s is found as %+v", f.name, got)
			}
			if noise > 0 && math.Abs(got.Cost(54000)/ys[4]-1) > 0.15 {
				t.Errorf("%s at 5%%: %+v gives %v for %v", f.name, got, got.Cost(54000), ys[4])
			}
		}
	}
}

func TestFitRefuses(t *testing.T) {
	for _, c := range [][2][]float64{{{1, 2}, {1, 2}}, {{1, 2, 3}, {1, 2}}, {{1, 2, 3}, {1, 0, 3}}, {{0, 2, 3}, {1, 2, 3}}} {
		if f, err := fit(c[0], c[1]); err == nil {
			t.Errorf("%v gives %+v", c, f)
		}
	}
	if f, err := fit([]float64{1, 10, 100}, []float64{9, 8, 7}); err != nil || f.Form != "constant" {
		t.Errorf("what falls is %+v, %v", f, err)
	}
}

func TestGrounds(t *testing.T) {
	f := Fit{Largest: 1000}
	for n, want := range map[float64]string{500: "measured", 1000: "measured", 4300: "extrapolated 4.3 times", 20000: "a guess, 20 times beyond"} {
		if got := (grounds{reach: f.Reach(n)}).String(); got != want {
			t.Errorf("%v of 1,000 is %s", n, got)
		}
	}
	if got := (grounds{2, 0.5}).String(); got != "extrapolated 2.0 times, by a poor fit" {
		t.Error(got)
	}
}

func TestNumbers(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.00372: "0.00372", 99.96: "100", 1234567: "1,234,567", -1234: "-1,234", 12.34: "12.3"} {
		if got := number(v); got != want {
			t.Errorf("%v is %s, want %s", v, got, want)
		}
	}
	for v, want := range map[float64]float64{0: 0, 0.000123456: 0.0001235, 123456: 123500, math.Inf(1): 0} {
		if got := round(v); math.Abs(got-want) > 1e-12 {
			t.Errorf("%v is kept as %v", v, got)
		}
	}
}

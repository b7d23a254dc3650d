package scale

import (
	"math"
	"path/filepath"
	"testing"
)

// TestBoundIsReachedWhereCostMeetsIt checks the factor at which a bound is reached for every form, at a
// constant, and for a bound that today's size already exceeds.
func TestBoundIsReachedWhereCostMeetsIt(t *testing.T) {
	plan, err := LoadPlan(filepath.Join(records, "plan.toml"))
	if err != nil {
		t.Fatal(err)
	}
	backends := func(p Plan) float64 { return p.Plan.Backends }
	line := func(bound float64, grow func(n float64) float64) Line {
		return Line{budget: func(Plan) float64 { return bound }, cost: func(_ labelRecords, p Plan) (float64, grounds, error) { return grow(backends(p)), grounds{}, nil }}
	}
	for _, f := range forms[1:] {
		l := line(f.apply(13500), f.apply)
		if w, met, err := l.reachedBound(labelRecords{}, plan); err != nil || !met || math.Abs(w.factor-0.25) > 0.001 {
			t.Errorf("form %s: bound reached at %v (%v), error %v", f.name, w.factor, met, err)
		}
	}
	if _, met, _ := line(54000, backendsOnly).reachedBound(labelRecords{}, plan); met {
		t.Error("a cost equal to its bound counts as reaching it")
	}
	if w, met, _ := line(100, backendsOnly).reachedBound(labelRecords{}, plan); !met || w.factor != 0 {
		t.Errorf("bound below today's cost: reached at %v (%v), want 0", w.factor, met)
	}
	if _, met, err := (Line{limit: "entries", cost: line(1, backendsOnly).cost}).reachedBound(labelRecords{byName: map[string]Record{}}, plan); met || err == nil {
		t.Error("the bound of a constant without a record is no error")
	}
}

func backendsOnly(n float64) float64 { return n }

// TestModuleAllocationsStayFewForManyBackends checks that a round of checks and a change allocate a few
// objects, however many backends are known.
func TestModuleAllocationsStayFewForManyBackends(t *testing.T) {
	for _, backends := range []int{50, 2000} {
		settings, err := nodeSettings(t.TempDir(), 300)
		if err != nil {
			t.Fatal(err)
		}
		f, err := measureModule(t.Context(), settings, backends)
		if err != nil {
			t.Fatal(err)
		}
		if f["rest_pieces"] > 4 || f["change_pieces"] > 20 {
			t.Errorf("%d backends: %v allocations a round, %v a change", backends, f["rest_pieces"], f["change_pieces"])
		}
	}
}

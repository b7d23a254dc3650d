package scale

import (
	"math"
	"path/filepath"
	"testing"
)

// TestBoundIsReachedWhereCostExceedsIt checks the factor at which a cost of every growing form reaches its
// bound, and that a cost equal to its bound does not count as reaching it. A bound below today's cost is
// reached at 0, and a constant without a record is an error.
func TestBoundIsReachedWhereCostExceedsIt(t *testing.T) {
	plan, err := LoadPlan(filepath.Join(recordsDir, "plan.toml"))
	if err != nil {
		t.Fatal(err)
	}
	backends := func(p Plan) float64 { return p.Demand.Backends }
	line := func(bound float64, growth func(n float64) float64) CostLine {
		return CostLine{budget: func(Plan) float64 { return bound }, cost: func(_ labelRecords, p Plan) (float64, grounds, error) { return growth(backends(p)), grounds{}, nil }}
	}
	for _, f := range forms[1:] {
		l := line(f.apply(13500), f.apply)
		if reached, met, err := l.reachedBound(labelRecords{}, plan); err != nil || !met || math.Abs(reached.planFactor-0.25) > 0.001 {
			t.Errorf("form %s: bound reached at %v (%v), error %v", f.name, reached.planFactor, met, err)
		}
	}
	if _, met, _ := line(54000, identity).reachedBound(labelRecords{}, plan); met {
		t.Error("a cost that equals its bound counts as reaching it")
	}
	if reached, met, _ := line(100, identity).reachedBound(labelRecords{}, plan); !met || reached.planFactor != 0 {
		t.Errorf("bound below today's cost: reached at %v (%v), want 0", reached.planFactor, met)
	}
	if _, met, err := (CostLine{limit: "entries", cost: line(1, identity).cost}).reachedBound(labelRecords{byName: map[string]Record{}}, plan); met || err == nil {
		t.Error("got no error for a bound by a constant without a record")
	}
}

func identity(n float64) float64 { return n }

// TestModuleAllocationsStayFewForManyBackends checks that a round of checks makes at most 4 allocations and a
// change at most 20, however many backends the module has.
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
			t.Errorf("%d backends: %v allocations a round, %v a change, want at most 4 and 20", backends, f["rest_pieces"], f["change_pieces"])
		}
	}
}

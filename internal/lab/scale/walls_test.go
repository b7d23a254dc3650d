package scale

import (
	"math"
	"path/filepath"
	"testing"
)

// TestWallIsWhereACostMeetsItsBound, in every form, at a constant, and at today's size already.
func TestWallIsWhereACostMeetsItsBound(t *testing.T) {
	plan, err := LoadPlan(filepath.Join(records, "plan.toml"))
	if err != nil {
		t.Fatal(err)
	}
	backends := func(p Plan) float64 { return p.Plan.Backends }
	line := func(bound float64, grow func(n float64) float64) Line {
		return Line{budget: func(Plan) float64 { return bound }, cost: func(_ measured, p Plan) (float64, grounds, error) { return grow(backends(p)), grounds{}, nil }}
	}
	for _, f := range forms[1:] {
		l := line(f.of(13500), f.of)
		if w, met, err := l.wall(measured{}, plan); err != nil || !met || math.Abs(w.f-0.25) > 0.001 {
			t.Errorf("%s is met at %v (%v), %v", f.name, w.f, met, err)
		}
	}
	if _, met, _ := line(54000, backendsOnly).wall(measured{}, plan); met {
		t.Error("what just fits is a wall")
	}
	if w, met, _ := line(100, backendsOnly).wall(measured{}, plan); !met || w.f != 0 {
		t.Errorf("what is over today's size already is met at %v (%v)", w.f, met)
	}
	if _, met, err := (Line{limit: "entries", cost: line(1, backendsOnly).cost}).wall(measured{of: map[string]Record{}}, plan); met || err == nil {
		t.Error("a constant that was not recorded has a wall")
	}
}

func backendsOnly(n float64) float64 { return n }

// TestModuleCounted: a round of checks and a change allocate a few pieces, however many backends are known.
func TestModuleCounted(t *testing.T) {
	for _, backends := range []int{50, 2000} {
		settings, err := settingsOf(t.TempDir(), 300)
		if err != nil {
			t.Fatal(err)
		}
		f, err := module(t.Context(), settings, backends)
		if err != nil {
			t.Fatal(err)
		}
		if f["rest_pieces"] > 4 || f["change_pieces"] > 20 {
			t.Errorf("%d backends: %v pieces a round, %v a change", backends, f["rest_pieces"], f["change_pieces"])
		}
	}
}

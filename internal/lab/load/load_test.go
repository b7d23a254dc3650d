package load

import (
	"reflect"
	"testing"
	"time"

	"wrenspread/internal/lab/world"
)

// TestDrawIsFixedBySeedAndHasTheRequestedRateAndShares: a seed always gives the same load, with the
// configured rate and shares, and no ID occurs twice.
func TestDrawIsFixedBySeedAndHasTheRequestedRateAndShares(t *testing.T) {
	w := world.Draw(3, 3, 10)
	s := Shape{Rate: 400, Length: 60 * time.Second, Bursty: true, Swing: 0.3, Surges: []Surge{{From: 20 * time.Second, To: 30 * time.Second, Times: 3}}}
	ops := Draw(3, w, s)
	if !reflect.DeepEqual(ops, Draw(3, w, s)) {
		t.Error("two draws with the same seed differ")
	}
	ids := map[string]bool{}
	perClass := map[string]int{}
	surged := 0
	for i, op := range ops {
		if op.N != i+1 || i > 0 && op.Due < ops[i-1].Due {
			t.Fatalf("operation at index %d has number %d and is due at %v: wrong number or order", i, op.N, op.Due)
		}
		for try := range 3 {
			ids[op.ID(3, try)] = true
		}
		perClass[op.Class.Name]++
		if op.Due >= 20*time.Second && op.Due < 30*time.Second {
			surged++
		}
	}
	if len(ids) != 3*len(ops) {
		t.Errorf("%d different IDs for %d tries", len(ids), 3*len(ops))
	}
	// 400 per second for 50 s, 1,200 for 10 s; five standard deviations are under 3%.
	if n := len(ops); n < 31000 || n > 33000 || surged < 10800 || surged > 13200 {
		t.Errorf("%d operations, %d of them in the surge", n, surged)
	}
	for _, c := range w.Classes {
		if got := float64(perClass[c.Name]) / float64(len(ops)); got < c.Share-0.02 || got > c.Share+0.02 {
			t.Errorf("%s: share %.3f, want %.2f", c.Name, got, c.Share)
		}
	}
}

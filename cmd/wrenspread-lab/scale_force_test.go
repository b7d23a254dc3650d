package main

import (
	"testing"

	"wrenspread/internal/lab/scale"
)

// TestForceCounted: each node takes each policy up once, and a tenant in a few catalogues, and is told of bans.
func TestForceCounted(t *testing.T) {
	f := scale.Force{Lists: lists(t), Each: 2, Changes: 20}
	if err := f.Measure(t.Context(), []int{3}); err != nil {
		t.Fatal(err)
	}
	for name, in := range map[string][2]float64{
		"policy_taken":  {1, 1},
		"tenant_taken":  {2, 4}, // prepared, then served; the member record may take another
		"policy_last_s": {0, 60},
		"tenant_last_s": {0, 60},
		"ban_last_s":    {0, 60},
		"descriptors":   {1, 60},
	} {
		if got := figureOf(t, f.Lists, name)[0]; got < in[0] || got > in[1] {
			t.Errorf("%s is %v, want %v to %v", name, got, in[0], in[1])
		}
	}
}

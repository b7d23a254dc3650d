package fencing

import (
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// TestGuard: over restarts, no order goes through after one with a higher fence.
func TestGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "fence")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
		high := map[string]uint64{}
		g, err := Open(dir)
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			if err != nil {
				t.Fatal(err)
			}
			f := registry.FencingToken{
				Lease:  rapid.SampledFrom([]string{"a", "b c"}).Draw(t, "duty"),
				Number: rapid.Uint64Range(1, 9).Draw(t, "fence"),
			}
			r := httptest.NewRequest("POST", "/", nil)
			r.Header.Set(Header, Format(f))
			status, err := g.CheckRequest(r)
			var stale *StaleError
			if want := f.Number >= high[f.Lease]; want != (err == nil) ||
				!want && (status != 409 || !errors.As(err, &stale) || stale.Highest != high[f.Lease]) {
				t.Fatalf("%+v after %d: %d, %v", f, high[f.Lease], status, err)
			}
			high[f.Lease] = max(high[f.Lease], f.Number)
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				if g, err = Open(dir); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// TestBadFences get their answer, and a damaged folder is told.
func TestBadFences(t *testing.T) {
	g, _ := Open("")
	for value, want := range map[string]int{"": 200, "a": 400, "a x": 400, " 4": 400, "a -1": 400, "a 0": 503, "a 5": 200} {
		r := httptest.NewRequest("POST", "/", nil)
		r.Header.Set(Header, value)
		if status, err := g.CheckRequest(r); status != want {
			t.Errorf("%q: %d %v, want %d", value, status, err, want)
		}
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "fences"), []byte("odd"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir); err == nil {
		t.Error("a damaged file is taken")
	}
}

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

// TestNoOrderPassesAfterHigherToken checks that no order is admitted after one with a higher fencing token,
// over restarts of the guard.
func TestNoOrderPassesAfterHigherToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "fence")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
		highest := map[string]uint64{}
		g, err := Open(dir)
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			if err != nil {
				t.Fatal(err)
			}
			token := registry.FencingToken{
				Lease:  rapid.SampledFrom([]string{"a", "b c"}).Draw(t, "lease"),
				Number: rapid.Uint64Range(1, 9).Draw(t, "number"),
			}
			r := httptest.NewRequest("POST", "/", nil)
			r.Header.Set(Header, Format(token))
			status, err := g.CheckRequest(r)
			var stale *StaleError
			if want := token.Number >= highest[token.Lease]; want != (err == nil) ||
				!want && (status != 409 || !errors.As(err, &stale) || stale.Highest != highest[token.Lease]) {
				t.Fatalf("%+v after %d: %d, %v", token, highest[token.Lease], status, err)
			}
			highest[token.Lease] = max(highest[token.Lease], token.Number)
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				if g, err = Open(dir); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// TestInvalidTokensAndDamagedFile checks the statuses of malformed tokens, and that a damaged file is an
// error.
func TestInvalidTokensAndDamagedFile(t *testing.T) {
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
		t.Error("a damaged file is accepted")
	}
}

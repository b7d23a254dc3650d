package proxy

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// corruptValue replaces a random value in a decoded configuration file, or removes its key.
func corruptValue(r *rand.Rand, value any) any {
	replacements := []any{nil, true, -1.0, 1e300, 2.5, "", "odd", "127.0.0.1:1", []any{}, []any{1.0}, map[string]any{}, map[string]any{"odd": 1.0}}
	switch v := value.(type) {
	case map[string]any:
		if len(v) > 0 && r.IntN(5) > 0 {
			keys := slices.Sorted(maps.Keys(v))
			key := keys[r.IntN(len(keys))]
			if v[key] = corruptValue(r, v[key]); r.IntN(10) == 0 {
				delete(v, key)
			}
			return v
		}
	case []any:
		if len(v) > 0 && r.IntN(5) > 0 {
			i := r.IntN(len(v))
			v[i] = corruptValue(r, v[i])
			return v
		}
	}
	return replacements[r.IntN(len(replacements))]
}

// TestCheckConfigAgreesWithParseConfig checks with randomly corrupted files that CheckConfig reports
// problems if, and only if, parseConfig rejects the file, which would keep a proxy from starting.
func TestCheckConfigAgreesWithParseConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	r := rand.New(rand.NewPCG(20, 2))
	const files = 2000
	good := 0
	for i := range files {
		var file any
		if err := json.Unmarshal([]byte(validConfig), &file); err != nil {
			t.Fatal(err)
		}
		for range 1 + r.IntN(3) {
			file = corruptValue(r, file)
		}
		raw, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		problems, _ := CheckConfig(path)
		if _, err = parseConfig(raw); (err == nil) != (len(problems) == 0) {
			t.Fatalf("file %d: parseConfig returns %v, CheckConfig %q\n%s", i, err, problems, raw)
		}
		if err == nil {
			good++
		}
	}
	if good < files/20 || good > files*9/10 {
		t.Errorf("%d of %d files are valid: want more of both valid and invalid files", good, files)
	}
}

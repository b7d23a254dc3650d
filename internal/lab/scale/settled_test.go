package scale

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// TestListDifferenceAgainstSubset checks that a cached list has no difference if and only if it has all
// servers of its subset and no others.
func TestListDifferenceAgainstSubset(t *testing.T) {
	part, at := registry.Subset{Start: 0, Width: 1 << 14}, map[string]uint64{}
	var inside, outside []string
	for _, name := range entryNames(0, 40) {
		if at[name] = registry.Position(name); part.Contains(at[name]) {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	if len(inside) < 2 || len(outside) < 2 {
		t.Fatal(inside, outside)
	}
	for name, c := range map[string]struct {
		kept []string
		of   string
		same bool
	}{
		"its part":        {inside, part.String(), true},
		"all":             {entryNames(0, 40), "all", true},
		"one less":        {inside[1:], part.String(), false},
		"one of another":  {append(outside[:1:1], inside[1:]...), part.String(), false},
		"one that is not": {append([]string{entryName(41)}, inside[1:]...), part.String(), false},
	} {
		var entries []string
		for _, n := range c.kept {
			entries = append(entries, fmt.Sprintf(`{"name":%q}`, n))
		}
		file := filepath.Join(t.TempDir(), "list")
		if err := checksumfile.Write(file, fmt.Appendf(nil, `{"of":{"part":%q},"entries":[%s]}`, c.of, strings.Join(entries, ","))); err != nil {
			t.Fatal(err)
		}
		if why, err := listDifference(file, at); err != nil || (why == "") != c.same {
			t.Errorf("%s: got difference %q, error %v", name, why, err)
		}
	}
}

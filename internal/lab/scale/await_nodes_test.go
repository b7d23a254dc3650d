package scale

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// TestListHasNoDifferenceOnlyIfItIsItsSubset checks that a cached list has no difference if and only if it
// has all servers of its subset and no others.
func TestListHasNoDifferenceOnlyIfItIsItsSubset(t *testing.T) {
	subset, positions := registry.Subset{Start: 0, Width: 1 << 14}, map[string]uint64{}
	var inside, outside []string
	for _, name := range entryNames(0, 40) {
		if positions[name] = registry.Position(name); subset.Contains(positions[name]) {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	if len(inside) < 2 || len(outside) < 2 {
		t.Fatal(inside, outside)
	}
	for name, c := range map[string]struct {
		cached []string
		subset string
		same   bool
	}{
		"all servers of its subset":    {inside, subset.String(), true},
		"all servers without a subset": {entryNames(0, 40), "all", true},
		"a server missing":             {inside[1:], subset.String(), false},
		"a server outside the subset":  {append(outside[:1:1], inside[1:]...), subset.String(), false},
		"an unregistered server":       {append([]string{entryName(41)}, inside[1:]...), subset.String(), false},
	} {
		var entries []string
		for _, n := range c.cached {
			entries = append(entries, fmt.Sprintf(`{"name":%q}`, n))
		}
		file := filepath.Join(t.TempDir(), "list")
		if err := checksumfile.Write(file, fmt.Appendf(nil, `{"of":{"part":%q},"entries":[%s]}`, c.subset, strings.Join(entries, ","))); err != nil {
			t.Fatal(err)
		}
		if difference, err := listDifference(file, positions); err != nil || (difference == "") != c.same {
			t.Errorf("%s: got difference %q, error %v", name, difference, err)
		}
	}
}

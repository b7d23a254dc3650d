package balancer

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// interfaceFiles hold types and what the decisions share; every other file decides, and is one of the policy's.
var interfaceFiles = []string{"actions.go", "api.go", "asking.go", "events.go", "handover.go", "limiting.go", "maintenance.go", "module.go", "notes.go",
	"ring.go", "settings.go", "state.go", "table.go", "tableread.go", "tabletime.go", "tabletree.go"}

// Someone paged at night must read the module whole: its length is limited, and deploy/balancer.toml names all of it.
func TestModuleLimits(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var decides []string
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") && !slices.Contains(interfaceFiles, file) {
			decides = append(decides, "balancer/"+file)
		}
	}
	if slices.Sort(deploy.Policy); !slices.Equal(decides, deploy.Policy) {
		t.Errorf("the policy is %v; deploy/balancer.toml names %v", decides, deploy.Policy)
	}
	total := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > 250 {
			t.Errorf("%s: %d lines, 250 at most", file, len(lines))
		}
		if !slices.Contains(decides, "balancer/"+file) {
			continue
		}
		total += len(lines)
		for i, l := range lines {
			if n := len([]rune(l)); n > 110 {
				t.Errorf("%s: line %d is %d characters long", file, i+1, n)
			}
		}
		if !strings.Contains(strings.Join(lines[:5], "\n"), "api.go") {
			t.Errorf("%s: the interface's file must be named at the top", file)
		}
	}
	if total > 1200 {
		t.Errorf("%d lines in all; 1200 at most", total)
	}
}

package decide

import (
	"os"
	"strings"
	"testing"
)

// Someone paged at night must read the module whole: its length is limited.
func TestModuleLimits(t *testing.T) {
	total := 0
	for _, file := range []string{"decide.go", "peers.go", "handover.go", "limits.go"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := len([]rune(l)); n > 110 {
				t.Errorf("%s: line %d is %d characters long", file, i+1, n)
			}
		}
		if !strings.Contains(string(text[:400]), "api.go") {
			t.Errorf("%s: the interface's file must be named at the top", file)
		}
		if total += lines; lines > 800 || total > 1200 {
			t.Errorf("%s: %d non-blank lines of %d in all; 800 and 1200 at most", file, lines, total)
		}
	}
}

package membership

import (
	"testing"

	"wrenspread/internal/timeline/golden"
)

// TestScenariosMatchTheirDrawings: each scenario gives the drawing in testdata. After a run with -update,
// read the new drawings.
func TestScenariosMatchTheirDrawings(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			drawn, err := s.Play(nil)
			if err != nil {
				t.Fatalf("%v\n%s", err, drawn)
			}
			golden.Assert(t, s.Name, drawn)
		})
	}
}

package membership

import (
	"testing"

	"wrenspread/internal/timeline/golden"
)

// Each scenario tells the story that is kept in testdata. Read the drawing before it is taken up anew with -update.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			drawn, err := s.Play(nil)
			if err != nil {
				t.Fatalf("%v\n%s", err, drawn)
			}
			golden.Same(t, s.Name, drawn)
		})
	}
}

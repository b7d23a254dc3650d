package views

import (
	"testing"

	"indigotack/internal/timeline/kept"
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
			kept.Same(t, s.Name, drawn)
		})
	}
}

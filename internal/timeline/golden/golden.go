// Package golden compares drawings of timelines with those in testdata. Only tests use it.
package golden

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Assert fails the test and shows the lines that differ if drawing is not the text of testdata/NAME.timeline.
// "go test -update" in the test's package writes the new drawing to that file instead: read it before
// committing it.
func Assert(t *testing.T, name, drawing string) {
	t.Helper()
	goldie.New(
		t,
		goldie.WithFixtureDir("testdata"),
		goldie.WithNameSuffix(".timeline"),
		goldie.WithDiffEngine(goldie.ClassicDiff),
	).Assert(t, name, []byte(drawing))
}

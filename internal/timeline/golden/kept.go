// Package golden compares drawings with those kept in testdata. It is for tests.
package golden

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Same fails a test whose drawing is not the one kept in testdata/NAME.timeline
// and shows the lines that differ. "go test -update" in the test's package keeps
// the new one instead: read it before it is committed.
func Same(t *testing.T, name, drawing string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".timeline"), goldie.WithDiffEngine(goldie.ClassicDiff)).
		Assert(t, name, []byte(drawing))
}

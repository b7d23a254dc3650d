package release

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestRecordEncodingsAreUnchanged compares the encodings of a release's record and of an operator's order with
// golden files, because records are read by later versions of the program than the one that wrote them.
func TestRecordEncodingsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"state": &State{}, "order": &pendingOrder{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

// TestStoredStepsAndPhasesAreUnchanged compares the texts of steps and phases, which records contain, with a
// golden file.
func TestStoredStepsAndPhasesAreUnchanged(t *testing.T) {
	fixture.AssertJSONOf(t, "steps-and-phases", &[]any{Waiting, Maintenance, Drain, Replace, Ready, Restore, Released,
		Running, Soaking, Paused, Halted, RollingBack, Finished, RolledBack, Failed, Aborted}, &[]any{})
}

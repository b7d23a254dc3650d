package release

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestRecordFormsAreUnchanged compares the format of a release's record and of an operator's order with
// golden files, because records outlive the version that wrote them.
func TestRecordFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"state": &State{}, "waiting": &pendingOrder{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

// TestStoredStepsAndPhasesAreUnchanged compares the texts of steps and phases, which records contain, with a
// golden file.
func TestStoredStepsAndPhasesAreUnchanged(t *testing.T) {
	fixture.AssertJSONOf(t, "words", &[]any{Waiting, Maintenance, Drain, Replace, Ready, Restore, Released,
		Running, Soaking, Paused, Halted, RollingBack, Finished, RolledBack, Failed, Aborted}, &[]any{})
}

package release

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestRecordFormsAreUnchanged compares a release's record and an operator's order with golden files.
func TestRecordFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"state": &State{}, "waiting": &pendingOrder{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

// TestStoredWordsAreUnchanged fixes the text of steps and phases, which stand in records.
func TestStoredWordsAreUnchanged(t *testing.T) {
	fixture.AssertJSONOf(t, "words", &[]any{Waiting, Maintenance, Drain, Replace, Ready, Restore, Released,
		Running, Soaking, Paused, Halted, RollingBack, Finished, RolledBack, Failed, Aborted}, &[]any{})
}

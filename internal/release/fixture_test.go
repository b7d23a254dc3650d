package release

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestRecordFormsAreUnchanged compares a release's record and an operator's order with golden files.
func TestRecordFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"state": &State{}, "waiting": &waiting{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

// TestStoredWordsAreUnchanged fixes the text of steps and phases, which stand in records.
func TestStoredWordsAreUnchanged(t *testing.T) {
	fixture.AssertJSONOf(t, "words", &[]any{Waiting, Maint, Drain, Replace, Ready, Lift, Released,
		Running, Soaking, Paused, Halted, Back, Finished, Returned, Failed, Aborted}, &[]any{})
}

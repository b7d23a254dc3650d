package agent

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestCallAndTraceFormsAreUnchanged compares the agent's calls, its record and its files with golden files.
func TestCallAndTraceFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"card": &Record{}, "status": &Status{}, "order": &DesiredState{}, "trace": &ProcessRecord{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

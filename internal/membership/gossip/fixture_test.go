package gossip

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestReportAndHandoffFormsAreUnchanged compares what operators read and what a new process takes over with golden files.
func TestReportAndHandoffFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"report": &Report{}, "handed": &Handoff{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

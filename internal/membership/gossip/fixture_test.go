package gossip

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestReportAndHandoffFormsAreUnchanged compares the report that operators read and the handoff to a new
// process with golden files.
func TestReportAndHandoffFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"report": &Report{}, "handed": &Handoff{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

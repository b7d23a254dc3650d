package agent

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestEncodingsOfMessagesAndRecordsAreUnchanged compares the agent's messages, its record in the
// registry and its process record with golden files.
func TestEncodingsOfMessagesAndRecordsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"record": &Record{}, "status": &Status{}, "desired-state": &DesiredState{}, "process-record": &ProcessRecord{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

package proxy

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestHandoffMessageFormIsUnchanged compares a line between an old and a new process with a golden file.
func TestHandoffMessageFormIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "message", &handoffMessage{})
}

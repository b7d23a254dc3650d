package proxy

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestHandoffMessageFormIsUnchanged compares the JSON form of a handoff message, which two
// versions of the program may exchange, with a golden file.
func TestHandoffMessageFormIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "message", &handoffMessage{})
}

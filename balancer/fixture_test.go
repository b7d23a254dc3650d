package balancer

import (
	"fmt"
	"testing"

	"wrenspread/internal/fixture"
)

// TestHandoffAndNoteFormsAreUnchanged compares what a process hands to the next, and a note to another node, with golden
// files.
func TestHandoffAndNoteFormsAreUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "learned", &LearnedState{})
	fixture.Assert(t, "note", fmt.Appendf(nil, "%x\n%x\n", encodeLoadMessage(7, 2.5, 0), encodeLoadMessage(7, 2.5, 0.05)))
}

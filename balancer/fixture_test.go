package balancer

import (
	"fmt"
	"testing"

	"wrenspread/internal/fixture"
)

// TestHandoffAndNoteFormsAreUnchanged compares what a process hands to the next, and a note to another node, with golden
// files.
func TestHandoffAndNoteFormsAreUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "learned", &Learned{})
	fixture.Assert(t, "note", fmt.Appendf(nil, "%x\n%x\n", encodeNote(7, 2.5, 0), encodeNote(7, 2.5, 0.05)))
}

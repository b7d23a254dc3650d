package record

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestHolderRecordIsUnchanged compares the record of who allocates with a golden file.
func TestHolderRecordIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "sharer", &AllocatorRecord{})
}

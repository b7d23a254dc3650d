package record

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestAllocatorRecordEncodingIsUnchanged compares the record of the allocator with a golden file.
func TestAllocatorRecordEncodingIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "sharer", &AllocatorRecord{})
}

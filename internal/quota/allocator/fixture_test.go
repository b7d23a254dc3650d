package allocator

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestSlotRecordEncodingIsUnchanged compares the record of enrolled proxies with a golden file.
func TestSlotRecordEncodingIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "nodes", &slotRecord{})
}

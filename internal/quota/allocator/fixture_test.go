package allocator

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestNodesRecordIsUnchanged compares the record of enrolled proxies with a golden file.
func TestNodesRecordIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "nodes", &slotRecord{})
}

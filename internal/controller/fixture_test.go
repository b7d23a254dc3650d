package controller

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestReportFormIsUnchanged compares what /report answers with a golden file.
func TestReportFormIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "report", &Report{})
}

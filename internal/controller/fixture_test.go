package controller

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestReportEncodingIsUnchanged compares the response of /report with a golden file.
func TestReportEncodingIsUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "report", &Report{})
}

package tenant

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestDocumentEncodingsAreUnchanged compares the tenants' records, the catalogue and the reports with golden
// files.
func TestDocumentEncodingsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{
		"tenant": &Tenant{}, "spec": &Spec{}, "order": &Order{}, "members": &MemberRecord{}, "head": &Head{}, "page": &page{},
		"entry": &Entry{}, "report": &Report{},
	} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

package registry

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestStoredAndSentFormsAreUnchanged compares logged commands, the snapshot and the bodies of calls with
// golden files.
func TestStoredAndSentFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{
		"command": &Command{}, "snapshot": &snapshotData{}, "result": &Result{}, "write-request": &WriteRequest{}, "renewal": &Renewal{},
		"error-response": &ErrorResponse{}, "replica": &Replica{}, "registrations": &Registrations{}, "put-request": &PutRequest{}, "records-response": &RecordsResponse{},
		"open-session-request": &OpenSessionRequest{}, "session-renewal": &SessionRenewal{}, "candidacy-request": &CandidacyRequest{}, "leases-response": &LeasesResponse{},
		"lease-change-request": &LeaseChangeRequest{},
	} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

// TestListResponseFormIsUnchanged compares the response to a read or a watch with its golden file. It is a
// test of its own because the parser skips invalid entries, so the sample must have a valid entry.
func TestListResponseFormIsUnchanged(t *testing.T) {
	entry := Endpoint{Name: "s", Address: "127.0.0.1:80", Zone: "z", Type: "t", Cell: 1, Status: Ready, Weight: 2, StartedAtMS: 3, Version: "v"}
	answer := ListResponse{Index: 4, Epoch: "e", Snapshot: true, Subset: "0-4", Total: 5, Endpoints: []Endpoint{entry}}
	fixture.AssertJSONOf(t, "list-response", &answer, &ListResponse{})
}

package registry

import (
	"testing"

	"wrenspread/internal/fixture"
)

// TestStoredAndSentFormsAreUnchanged compares the log's commands, the snapshot and the bodies of calls with golden files.
func TestStoredAndSentFormsAreUnchanged(t *testing.T) {
	for name, sample := range map[string]any{
		"command": &Command{}, "snapshot": &image{}, "result": &Result{}, "write": &Write{}, "renewal": &Renewal{},
		"refusal": &Refusal{}, "replica": &Member{}, "items": &Items{}, "put": &Put{}, "record-answer": &RecordAnswer{},
		"session-call": &SessionCall{}, "session-renewal": &SessionRenewal{}, "wishes": &Wishes{}, "duty-answer": &DutyAnswer{},
		"duty-order": &DutyOrder{},
	} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
}

// TestAnswerFormIsUnchanged does the same for the answer to a read or a watch, whose reader passes over unusable entries.
func TestAnswerFormIsUnchanged(t *testing.T) {
	entry := Entry{Name: "s", Address: "127.0.0.1:80", Zone: "z", Type: "t", Group: 1, Status: Ready, Weight: 2, SinceMS: 3, Version: "v"}
	answer := Answer{Index: 4, Epoch: "e", Snapshot: true, Part: "0-4", Total: 5, Endpoints: []Entry{entry}}
	fixture.AssertJSONOf(t, "answer", &answer, &Answer{})
}

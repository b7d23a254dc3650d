package registry

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestSnapshotIsUnaffectedByLaterChanges checks that a snapshot encodes the state at the time of the copy,
// whatever commands are applied before it is encoded.
func TestSnapshotIsUnaffectedByLaterChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(Command{Op: OpBegin, Epoch: "e"})
		applySome := func() {
			for n := range rapid.IntRange(0, 20).Draw(t, "commands") {
				s.Apply(drawLeaseCommand(t))
				s.Apply(drawCommand(t, s, n))
				s.Apply(Command{Op: OpPutRecord, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), Value: json.RawMessage("7")[:rapid.IntRange(0, 1).Draw(t, "with value")]})
			}
		}
		applySome()
		encoded, err := s.EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		snapshot := s.Snapshot()
		applySome()
		if later, err := snapshot.Encode(); err != nil || !bytes.Equal(encoded, later) {
			t.Fatalf("the state was %s, its snapshot is encoded as %s, %v", encoded, later, err)
		}
	})
}

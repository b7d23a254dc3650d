package registry

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestImageStands: what an image encodes is the state at which it was taken, whatever goes on meanwhile.
func TestImageStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(Command{Op: OpBegin, Epoch: "e"})
		some := func() {
			for n := range rapid.IntRange(0, 20).Draw(t, "commands") {
				s.Apply(drawDuty(t))
				s.Apply(drawCommand(t, s, n))
				s.Apply(Command{Op: OpPutRecord, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), Value: json.RawMessage("7")[:rapid.IntRange(0, 1).Draw(t, "there")]})
			}
		}
		some()
		then, err := s.EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		image := s.Snapshot()
		some()
		if later, err := image.Encode(); err != nil || !bytes.Equal(then, later) {
			t.Fatalf("%s was taken, %s is encoded, %v", then, later, err)
		}
	})
}

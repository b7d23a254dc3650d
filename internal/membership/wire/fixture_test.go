package wire

import (
	"bytes"
	"fmt"
	"testing"

	"wrenspread/internal/fixture"
)

// TestDatagramEncodingsAreUnchanged compares the bytes of each kind of datagram, and of a statement, with
// golden files.
func TestDatagramEncodingsAreUnchanged(t *testing.T) {
	var d Datagram
	fixture.Fill(&d)
	s := d.Statements[0]
	s.Name, s.Metadata.Zone, s.Metadata.Version, s.UnknownFields, s.Health = "node-a", "z", "v", "x", Suspect
	var text bytes.Buffer
	for d.Kind = Ping; d.Kind <= IndirectAck; d.Kind++ {
		fmt.Fprintf(&text, "%#x %x\n", uint8(d.Kind), d.Encode())
	}
	with, ok := AppendStatement(nil, s)
	fmt.Fprintf(&text, "statement %x %v\nsum %x\n", with, ok, s.Sum())
	fixture.Assert(t, "datagrams", text.Bytes())
}

package wire

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
)

// largest returns a statement with all fields at their bounds.
func largest() Statement {
	return Statement{Name: strings.Repeat("n", MaxName), Number: MaxNumber, Addr: netip.MustParseAddrPort("[fd00:1:2:3:4:5:6:7]:65535"), Generation: MaxGeneration - 1,
		Incarnation: 1<<32 - 1, Health: Left, LoadSeq: 1<<32 - 1, Accusers: [3]uint64{1<<64 - 3, 1<<64 - 2, 1<<64 - 1}, Age: MaxAge,
		UnknownFields: strings.Repeat("x", MaxUnknownFields), Metadata: Metadata{Zone: strings.Repeat("z", MaxText), Version: strings.Repeat("v", MaxText),
			Catalogue: 1<<64 - 1, Policy: 1<<64 - 1, FencingToken: 1<<64 - 1, Load: 1000, State: 200}}
}

// samples returns a datagram of each kind.
func samples() (datagrams [][]byte) {
	head := Header{Fleet: FleetHash("books"), Sender: Hash("n1"), Generation: 1700000000000, Digest: 1 << 63}
	small := Statement{Name: "n1", Number: -1, Addr: netip.MustParseAddrPort("127.0.0.1:7000")}
	for k := Ping; k <= IndirectAck; k++ {
		d := Datagram{Header: head, Seq: 7, Target: Hash("n2"), Depth: 1, Range: 3, From: 1, To: 1 << 60,
			Entries: make([]Entry, MaxEntries), Wanted: make([]uint64, MaxWanted)}
		d.Kind = k
		for i := range d.Sums {
			d.Sums[i] = uint64(i) << 60
		}
		b := d.Encode()
		if k == Ping || k == Ack || k == Gossip || k == Answer {
			b, _ = AppendStatement(b, small)
			b, _ = AppendStatement(b, small)
		}
		datagrams = append(datagrams, b)
	}
	return datagrams
}

func TestLargestStatementFitsIntoOneDatagram(t *testing.T) {
	want := largest()
	if err := want.Check(); err != nil {
		t.Fatal(err)
	}
	d := Datagram{Header: Header{Kind: Ping, Sender: 1}}
	b, ok := AppendStatement(d.Encode(), want)
	if !ok || len(b) != MaxSize {
		t.Fatalf("fits=%v, %d bytes", ok, len(b))
	}
	got, err := Decode(b)
	if err != nil || len(got.Statements) != 1 || got.Statements[0] != want {
		t.Fatalf("%v: %+v", err, got.Statements)
	}
	for _, b := range samples() {
		if d, err := Decode(b); err != nil || len(b) > MaxSize || !IsOurs(b, d.Fleet) || b[0] < 0x40 || b[0] >= 0x60 {
			t.Errorf("kind %#x of %d bytes: %v", b[0], len(b), err)
		}
	}
}

// Fields that a newer version adds are retained, passed on and part of the sum, up to their bound.
func TestUnknownFieldsArePassedOn(t *testing.T) {
	s := Statement{Name: "n1", UnknownFields: "newer"}
	d := Datagram{Header: Header{Kind: Answer, Sender: 1}}
	b, _ := AppendStatement(d.Encode(), s)
	got, err := Decode(b)
	if err != nil || got.Statements[0] != s {
		t.Fatalf("%v: %+v", err, got)
	}
	if s.Sum() == (Statement{Name: "n1"}).Sum() {
		t.Error("the sum does not cover the unknown fields")
	}
}

func TestStatementsOutOfBoundsAreRejected(t *testing.T) {
	for name, corrupt := range map[string]func(s *Statement){
		"empty name": func(s *Statement) { s.Name = "" }, "long name": func(s *Statement) { s.Name += "n" },
		"blank in the name": func(s *Statement) { s.Name = "a b" }, "control byte in the zone": func(s *Statement) { s.Metadata.Zone = "a\nb" },
		"long zone": func(s *Statement) { s.Metadata.Zone += "z" }, "long version": func(s *Statement) { s.Metadata.Version += "v" },
		"generation": func(s *Statement) { s.Generation = MaxGeneration }, "unknown health": func(s *Statement) { s.Health = 4 },
		"accusers not ascending": func(s *Statement) { s.Accusers = [3]uint64{2, 1, 3} },
	} {
		s := largest()
		s.Addr, s.UnknownFields = netip.AddrPort{}, ""
		corrupt(&s)
		d := Datagram{Header: Header{Kind: Gossip, Sender: 1}}
		b, _ := AppendStatement(d.Encode(), s)
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: decoded without an error", name)
		}
	}
}

// Decoded statements are within their bounds, and their encoding decodes to the same statement. No input
// causes a panic.
func FuzzDecode(f *testing.F) {
	for _, b := range samples() {
		f.Add(b)
		f.Add(b[:len(b)-3])
		f.Add(append(bytes.Clone(b), 0xff, 1, 2))
	}
	d := Datagram{Header: Header{Kind: Gossip, Sender: 1}}
	b, _ := AppendStatement(d.Encode(), largest())
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			return
		}
		if len(d.Entries) > MaxSize || len(d.Wanted) > MaxSize || len(d.Statements) > MaxSize/20 {
			t.Fatalf("unbounded: %+v", d)
		}
		again := Datagram{Header: Header{Kind: Answer, Sender: 1}}
		for _, s := range d.Statements {
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
			b, ok := AppendStatement(again.Encode(), s)
			got, err := Decode(b)
			if !ok || err != nil || got.Statements[0] != s {
				t.Fatalf("%v: %+v became %+v", err, s, got.Statements)
			}
		}
	})
}

package wire

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Hash stands for a member's name where the name does not fit, and orders members into ranges. It is never 0.
func Hash(name string) uint64 { return max(xxhash.Sum64String(name), 1) }

// Sum is the statement's part in the digest of a view: load, accusers and age aside.
func (s Statement) Sum() uint64 {
	var room [256]byte
	return xxhash.Sum64(s.WithoutVolatile().appendBody(room[:0]))
}

// Bytes is the plain statement as it is sent: the same statement, the same bytes.
func (s Statement) Bytes() []byte { return s.WithoutVolatile().appendBody(nil) }

// appendBody writes the statement without its length. The statement is within its bounds.
func (s Statement) appendBody(b []byte) []byte {
	b = appendText(b, s.Name)
	b = binary.AppendUvarint(b, s.Generation)
	b = binary.AppendUvarint(b, uint64(s.Incarnation))
	b = append(b, byte(s.Health))
	b = binary.BigEndian.AppendUint16(b, uint16(s.Number+1))
	b = appendAddr(b, s.Addr)
	b = append(b, byte(s.Metadata.State))
	b = appendText(b, s.Metadata.Zone)
	b = appendText(b, s.Metadata.Version)
	b = binary.AppendUvarint(b, s.Metadata.Catalogue)
	b = binary.AppendUvarint(b, s.Metadata.Policy)
	b = binary.AppendUvarint(b, s.Metadata.FencingToken)
	b = binary.BigEndian.AppendUint16(b, s.Metadata.Load)
	b = binary.AppendUvarint(b, uint64(s.LoadSeq))
	b = appendAccusers(b, s.Accusers)
	b = binary.BigEndian.AppendUint16(b, s.Age)
	return append(b, s.UnknownFields...)
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().Unmap().WithZone("")
	raw := ip.AsSlice() // none, 4 or 16 bytes
	b = append(b, byte(len(raw)))
	if len(raw) == 0 {
		return b
	}
	return binary.BigEndian.AppendUint16(append(b, raw...), a.Port())
}

func appendAccusers(b []byte, by [3]uint64) []byte {
	at := len(b)
	b = append(b, 0)
	for _, h := range by {
		if h != 0 {
			b = binary.BigEndian.AppendUint64(b, h)
			b[at]++
		}
	}
	return b
}

var errShort = errors.New("datagram ends early or is out of bounds")

// reader takes fields off a datagram; once something is wrong it stays so and gives zeros.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || n < 0 || n > len(r.data) {
		r.failed = true
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// uvarint takes a number of at most most. A number written longer than needed is wrong: one value, one
// writing.
func (r *reader) uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	if r.failed || n <= 0 || v > most || (n > 1 && r.data[n-1] == 0) {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) text() string { return string(r.take(int(r.u8()))) }

func (r *reader) addr() netip.AddrPort {
	n := int(r.u8())
	if n == 0 {
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(r.take(n))
	port := r.u16()
	if !ok || ip.Is4In6() {
		r.failed = true
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, port)
}

// accusers takes ascending hashes, three at most.
func (r *reader) accusers() (by [3]uint64) {
	n := int(r.u8())
	if n > len(by) {
		r.failed = true
		return by
	}
	var last uint64
	for i := range n {
		by[i] = r.u64()
		r.failed = r.failed || by[i] <= last
		last = by[i]
	}
	return by
}

// readStatement takes a statement from exactly b.
func readStatement(b []byte) (Statement, error) {
	r := reader{data: b}
	s := Statement{
		Name:        r.text(),
		Generation:  r.uvarint(MaxGeneration - 1),
		Incarnation: uint32(r.uvarint(1<<32 - 1)),
		Health:      Health(r.u8()),
	}
	s.Number = int(r.u16()) - 1
	s.Addr = r.addr()
	s.Metadata.State = State(r.u8())
	s.Metadata.Zone, s.Metadata.Version = r.text(), r.text()
	s.Metadata.Catalogue, s.Metadata.Policy, s.Metadata.FencingToken = r.uvarint(
		1<<64-1,
	), r.uvarint(
		1<<64-1,
	), r.uvarint(
		1<<64-1,
	)
	s.Metadata.Load, s.LoadSeq = r.u16(), uint32(r.uvarint(1<<32-1))
	s.Accusers, s.Age = r.accusers(), r.u16()
	if r.failed {
		return Statement{}, errShort
	}
	s.UnknownFields = string(r.data[:min(len(r.data), MaxUnknownFields)])
	return s, s.Check()
}

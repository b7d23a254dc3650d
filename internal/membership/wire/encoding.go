package wire

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a member's name, which represents the name in datagrams and determines the
// member's range. The hash is never 0.
func Hash(name string) uint64 { return max(xxhash.Sum64String(name), 1) }

// Sum returns the value by which the digest of a view includes the statement: a hash of all fields but load,
// accusers and age.
func (s Statement) Sum() uint64 {
	var buffer [256]byte
	return xxhash.Sum64(s.WithoutVolatile().appendBody(buffer[:0]))
}

// Bytes returns the encoding of the statement without load, accusers and age. Statements that are equal
// except for these have equal encodings.
func (s Statement) Bytes() []byte { return s.WithoutVolatile().appendBody(nil) }

// appendBody appends the statement's encoding, without a length. The statement must pass Check.
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

// appendText appends the length of s, in one byte, and s.
func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// appendAddr appends the length of an address in bytes, the address and the port; for no address a 0 only.
func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().Unmap().WithZone("")
	raw := ip.AsSlice() // none, 4 or 16 bytes
	b = append(b, byte(len(raw)))
	if len(raw) == 0 {
		return b
	}
	return binary.BigEndian.AppendUint16(append(b, raw...), a.Port())
}

// appendAccusers appends the number of accusers and their hashes.
func appendAccusers(b []byte, accusers [3]uint64) []byte {
	countIndex := len(b)
	b = append(b, 0)
	for _, h := range accusers {
		if h != 0 {
			b = binary.BigEndian.AppendUint64(b, h)
			b[countIndex]++
		}
	}
	return b
}

var errMalformed = errors.New("decode datagram: too short, or a field out of bounds")

// reader reads fields from a datagram. failed is set once a field is missing or malformed; from then on all
// fields read as zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) next(n int) []byte {
	if r.failed || n < 0 || n > len(r.data) {
		r.failed = true
		return nil
	}
	field := r.data[:n]
	r.data = r.data[n:]
	return field
}

func (r *reader) u8() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.next(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.next(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.next(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// uvarint reads a number of at most maximum. A number that is encoded longer than necessary is malformed, so
// that each value has one encoding.
func (r *reader) uvarint(maximum uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	if r.failed || n <= 0 || v > maximum || (n > 1 && r.data[n-1] == 0) {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

// text reads a string in the encoding of appendText.
func (r *reader) text() string { return string(r.next(int(r.u8()))) }

// addr reads an address in the encoding of appendAddr. IPv4 addresses must not be mapped to IPv6.
func (r *reader) addr() netip.AddrPort {
	n := int(r.u8())
	if n == 0 {
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(r.next(n))
	port := r.u16()
	if !ok || ip.Is4In6() {
		r.failed = true
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, port)
}

// accusers reads at most three hashes, which must be in ascending order.
func (r *reader) accusers() (accusers [3]uint64) {
	n := int(r.u8())
	if n > len(accusers) {
		r.failed = true
		return accusers
	}
	var last uint64
	for i := range n {
		accusers[i] = r.u64()
		r.failed = r.failed || accusers[i] <= last
		last = accusers[i]
	}
	return accusers
}

// readStatement decodes a statement that takes up all of b.
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
		return Statement{}, errMalformed
	}
	s.UnknownFields = string(r.data[:min(len(r.data), MaxUnknownFields)])
	return s, s.Check()
}

package wire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MaxSize is the largest size in bytes of a datagram between nodes.
const MaxSize = 256

// Kind is a datagram's first byte. All kinds are 0x40 or more, so that old nodes, which know only load notes
// (kind 1), drop the datagrams. 0x60 to 0x6f are the kinds of package quota's datagrams on the same socket.
type Kind uint8

// The kinds of datagram. Ping, Ack, Gossip and Answer carry statements on members.
const (
	Ping        Kind = 0x40 + iota // requests an Ack
	Ack                            // answers a Ping, with its sequence number
	PingReq                        // requests that the receiver ping Target on behalf of the sender
	Nack                           // reports that the Target of a PingReq has not answered so far
	Gossip                         // carries statements only
	Digest                         // carries the sums of 16 ranges of members
	RangeList                      // lists all members in one range of the sender's view
	WantMembers                    // requests statements on some members
	Answer                         // carries statements in answer to RangeList and WantMembers
	IndirectAck                    // reports that the Target of a PingReq has answered
)

// Sizes in a datagram, in bytes. There is no version field: a new layout gets a new kind.
const (
	headerSize = 1 + 4 + 8 + 8 + 8
	entrySize  = 8 + 4
	// Fanout is the number of ranges whose sums a Digest carries.
	Fanout = 16
	// MaxEntries is the largest number of members in a RangeList.
	MaxEntries = (MaxSize - headerSize - 17) / entrySize
	// MaxWanted is the largest number of members in a WantMembers.
	MaxWanted = (MaxSize - headerSize - 1) / 8
)

// Entry is a member in a RangeList: the hash of its name and the low half of its sum.
type Entry struct {
	Hash uint64
	Sum  uint32
}

// Header is the first part of every datagram.
type Header struct {
	Kind       Kind
	Fleet      uint32 // FleetHash of the fleet's name
	Sender     uint64 // Hash of the sender's name
	Generation uint64 // of the sender
	Digest     uint64 // of the sender's view
}

// Datagram is a decoded datagram. Which fields are used depends on the kind.
type Datagram struct {
	Header
	Seq          uint32         // Ping, Ack, PingReq, Nack, IndirectAck: sequence number
	Target       uint64         // PingReq, IndirectAck: hash of a member's name
	Depth, Range uint8          // Digest: the range with the index Range, of 16^Depth ranges
	Sums         [Fanout]uint64 // Digest: of the 16 parts of this range
	From, To     uint64         // RangeList: first and last hash of the range
	Entries      []Entry        // RangeList
	Wanted       []uint64       // WantMembers: hashes of members' names
	Statements   []Statement    // Ping, Ack, Gossip, Answer
}

// FleetHash returns the hash of a fleet's name, which represents the name in datagrams.
func FleetHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// IsOurs reports whether b may be a datagram of the fleet. It checks only the size, the kind and the fleet.
func IsOurs(b []byte, fleet uint32) bool {
	return len(b) >= headerSize && len(b) <= MaxSize && Kind(b[0]) >= Ping && Kind(b[0]) <= IndirectAck &&
		binary.BigEndian.Uint32(b[1:]) == fleet
}

// Encode encodes d without its statements, which the caller appends by AppendStatement.
func (d *Datagram) Encode() []byte {
	b := make([]byte, 0, MaxSize)
	b = append(b, byte(d.Kind))
	b = binary.BigEndian.AppendUint32(b, d.Fleet)
	b = binary.BigEndian.AppendUint64(b, d.Sender)
	b = binary.BigEndian.AppendUint64(b, d.Generation)
	b = binary.BigEndian.AppendUint64(b, d.Digest)
	switch d.Kind {
	case Ping, Ack, Nack:
		b = binary.BigEndian.AppendUint32(b, d.Seq)
	case PingReq, IndirectAck:
		b = binary.BigEndian.AppendUint32(b, d.Seq)
		b = binary.BigEndian.AppendUint64(b, d.Target)
	case Digest:
		b = append(b, d.Depth, d.Range)
		for _, s := range d.Sums {
			b = binary.BigEndian.AppendUint64(b, s)
		}
	case RangeList:
		b = binary.BigEndian.AppendUint64(b, d.From)
		b = binary.BigEndian.AppendUint64(b, d.To)
		b = append(b, byte(len(d.Entries)))
		for _, e := range d.Entries {
			b = binary.BigEndian.AppendUint64(b, e.Hash)
			b = binary.BigEndian.AppendUint32(b, e.Sum)
		}
	case WantMembers:
		b = append(b, byte(len(d.Wanted)))
		for _, h := range d.Wanted {
			b = binary.BigEndian.AppendUint64(b, h)
		}
	}
	return b
}

// AppendStatement appends s to a datagram if it fits, and reports whether it did.
func AppendStatement(b []byte, s Statement) ([]byte, bool) {
	var buffer [MaxSize]byte
	body := s.appendBody(buffer[:0])
	var length [2]byte
	n := binary.PutUvarint(length[:], uint64(len(body)))
	if len(b)+n+len(body) > MaxSize {
		return b, false
	}
	return append(append(b, length[:n]...), body...), true
}

// Decode decodes a complete datagram.
func Decode(b []byte) (Datagram, error) {
	if len(b) > MaxSize {
		return Datagram{}, fmt.Errorf("decode datagram: %d bytes, want at most %d", len(b), MaxSize)
	}
	r := reader{data: b}
	var d Datagram
	d.Kind, d.Fleet, d.Sender, d.Generation, d.Digest = Kind(r.u8()), r.u32(), r.u64(), r.u64(), r.u64()
	if d.Generation >= MaxGeneration || d.Sender == 0 {
		return Datagram{}, errors.New("decode datagram: sender or generation out of bounds")
	}
	if err := d.readBody(&r); err != nil {
		return Datagram{}, err
	}
	if r.failed {
		return Datagram{}, errMalformed
	}
	return d, nil
}

// readBody reads the fields after the header.
func (d *Datagram) readBody(r *reader) error {
	switch d.Kind {
	case Ping, Ack:
		d.Seq = r.u32()
		return d.readStatements(r)
	case Gossip, Answer:
		return d.readStatements(r)
	case Nack:
		d.Seq = r.u32()
	case PingReq, IndirectAck:
		d.Seq, d.Target = r.u32(), r.u64()
	case Digest:
		d.Depth, d.Range = r.u8(), r.u8()
		if d.Depth > 1 || int(d.Range) >= Fanout || (d.Depth == 0 && d.Range != 0) {
			return fmt.Errorf("decode digest: range %d does not exist at depth %d", d.Range, d.Depth)
		}
		for i := range d.Sums {
			d.Sums[i] = r.u64()
		}
	case RangeList:
		d.From, d.To = r.u64(), r.u64()
		for range r.u8() {
			d.Entries = append(d.Entries, Entry{r.u64(), r.u32()})
			if r.failed {
				return errMalformed
			}
		}
	case WantMembers:
		for range r.u8() {
			d.Wanted = append(d.Wanted, r.u64())
			if r.failed {
				return errMalformed
			}
		}
	default:
		return fmt.Errorf("decode datagram: unknown kind %#x", uint8(d.Kind))
	}
	return nil
}

// readStatements reads statements up to the end of the datagram.
func (d *Datagram) readStatements(r *reader) error {
	for len(r.data) > 0 && !r.failed {
		body := r.next(int(r.uvarint(MaxSize)))
		if r.failed {
			break
		}
		s, err := readStatement(body)
		if err != nil {
			return err
		}
		if d.Statements == nil {
			d.Statements = make([]Statement, 0, 5) // about five statements of average size fit
		}
		d.Statements = append(d.Statements, s)
	}
	return nil
}

package wire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MaxSize is the most bytes that a datagram between nodes may have.
const MaxSize = 256

// Kind is a datagram's first byte. All are 0x40 or more: nodes that know only load notes (kind 1) drop them.
// 0x60 to 0x6f belong to the quotas' claims and grants on the same socket.
type Kind uint8

// The kinds of datagram. Statements on members ride along with Ping and Ack.
const (
	Ping        Kind = 0x40 + iota // asks the receiver whether it is alive
	Ack                            // the answer, with the ping's number
	PingReq                        // please ping Target for me
	Nack                           // I asked Target for you, without an answer so far
	Gossip                         // statements alone
	Digest                         // sums of 16 ranges of members
	RangeList                      // all members that the sender has in one range
	WantMembers                    // please tell me of these members
	Answer                         // statements in answer to RangeList and WantMembers
	IndirectAck                    // Target has answered me, whom you had asked for an indirect probe
)

// Sizes in a datagram. A new layout gets a new kind, so there is no version beside it.
const (
	headSize  = 1 + 4 + 8 + 8 + 8
	entrySize = 8 + 4
	// Fanout is the number of ranges that one Digest compares.
	Fanout = 16
	// MaxEntries is the most members that a RangeList names.
	MaxEntries = (MaxSize - headSize - 17) / entrySize
	// MaxWanted is the most members that a WantMembers names.
	MaxWanted = (MaxSize - headSize - 1) / 8
)

// Entry names a member within a RangeList: the hash of its name and the low half of its sum.
type Entry struct {
	Hash uint64
	Sum  uint32
}

// Header begins every datagram.
type Header struct {
	Kind       Kind
	Fleet      uint32 // FleetHash of the fleet's name
	Sender     uint64 // Hash of the sender's name
	Generation uint64 // the sender's
	Digest     uint64 // of the sender's view
}

// Datagram is a decoded one. Which fields count depends on its kind.
type Datagram struct {
	Header
	Seq          uint32         // Ping, Ack, PingReq, Nack, Indirect
	Target       uint64         // PingReq, Indirect
	Depth, Range uint8          // Digest: the range is 1/16^Depth of all, the Place-th
	Sums         [Fanout]uint64 // Digest
	From, To     uint64         // List: hashes, both included
	Entries      []Entry        // List
	Wanted       []uint64       // Want
	Statements   []Statement    // Ping, Ack, Gossip, Answer
}

// FleetHash stands for a fleet's name.
func FleetHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// IsOurs reports whether b may be a datagram of this fleet, without decoding it.
func IsOurs(b []byte, fleet uint32) bool {
	return len(b) >= headSize && len(b) <= MaxSize && Kind(b[0]) >= Ping && Kind(b[0]) <= IndirectAck &&
		binary.BigEndian.Uint32(b[1:]) == fleet
}

// Encode writes all of d but its statements, which are added by AppendStatement as long as they fit.
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

// AppendStatement adds s if it fits, and reports whether it did.
func AppendStatement(b []byte, s Statement) ([]byte, bool) {
	var room [MaxSize]byte
	body := s.appendBody(room[:0])
	var size [2]byte
	n := binary.PutUvarint(size[:], uint64(len(body)))
	if len(b)+n+len(body) > MaxSize {
		return b, false
	}
	return append(append(b, size[:n]...), body...), true
}

// Decode reads a complete datagram, or returns the reason why it can't.
func Decode(b []byte) (Datagram, error) {
	if len(b) > MaxSize {
		return Datagram{}, fmt.Errorf("datagram of %d bytes, over %d", len(b), MaxSize)
	}
	r := reader{data: b}
	var d Datagram
	d.Kind, d.Fleet, d.Sender, d.Generation, d.Digest = Kind(r.u8()), r.u32(), r.u64(), r.u64(), r.u64()
	if d.Generation >= MaxGeneration || d.Sender == 0 {
		return Datagram{}, errors.New("sender out of bounds")
	}
	if err := d.readRest(&r); err != nil {
		return Datagram{}, err
	}
	if r.failed {
		return Datagram{}, errShort
	}
	return d, nil
}

func (d *Datagram) readRest(r *reader) error {
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
			return fmt.Errorf("digest of range %d at depth %d", d.Range, d.Depth)
		}
		for i := range d.Sums {
			d.Sums[i] = r.u64()
		}
	case RangeList:
		d.From, d.To = r.u64(), r.u64()
		for range r.u8() {
			d.Entries = append(d.Entries, Entry{r.u64(), r.u32()})
			if r.failed {
				return errShort
			}
		}
	case WantMembers:
		for range r.u8() {
			d.Wanted = append(d.Wanted, r.u64())
			if r.failed {
				return errShort
			}
		}
	default:
		return fmt.Errorf("unknown kind %#x", uint8(d.Kind))
	}
	return nil
}

func (d *Datagram) readStatements(r *reader) error {
	for len(r.data) > 0 && !r.failed {
		body := r.take(int(r.uvarint(MaxSize)))
		if r.failed {
			break
		}
		s, err := readStatement(body)
		if err != nil {
			return err
		}
		if d.Statements == nil {
			d.Statements = make([]Statement, 0, 5) // as many as fit of middling ones
		}
		d.Statements = append(d.Statements, s)
	}
	return nil
}

package quota

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Datagrams between proxies and the allocator, and between proxies, are big-endian. The first byte is the
// kind, the second byte is the version, and the next four bytes are the hash of the fleet's name. Bytes after
// the known fields are ignored.
const (
	MaxDatagram   = 256
	formatVersion = 1

	kindClaim        = 0x60
	kindGrant        = 0x61
	kindAnnouncement = 0x62
	kindLeave        = 0x63
	kindBorrow       = 0x64
	kindLoan         = 0x65
)

// IsOurs reports whether a datagram whose first byte is kind belongs to this package.
func IsOurs(kind byte) bool { return kind >= 0x60 && kind <= 0x6f }

// claimMessage is a proxy's message to the allocator: the proxy's demand and the leases that it holds.
type claimMessage struct {
	token               uint64 // fencing token of the allocator that the claim is for
	generation          uint64 // generation of the proxy's process
	number              uint32 // rises with each claim of a generation
	lastGrant           uint32 // highest number of a grant under this fencing token that the proxy applied
	tableVersion        uint64 // version of the table by which the proxy admits requests
	fallbackSuspendable bool   // the allocator may suspend the proxy's fallback share
	name                string // the proxy's name
	items               []claimItem
}

// claimItem is a claim's part about one limit.
type claimItem struct {
	hash        uint64    // of the limit's name
	demand      float64   // units a second; for limits on concurrency, requests in flight
	leased      shareSize // the live lease; for limits on concurrency, at least the requests in flight
	grantNumber uint32    // number of the grant that the lease is from
}

// Sizes in bytes of a claim without name and items, and of one item.
const (
	claimHeaderSize = 6 + 8 + 8 + 4 + 4 + 8 + 1 + 1 + 1
	claimItemSize   = 8 + 4 + 4 + 4 + 4
)

// claimCapacity returns how many limits fit into one claim of the proxy with the name.
func claimCapacity(name string) int {
	return (MaxDatagram - claimHeaderSize - len(name)) / claimItemSize
}

// grantMessage is the allocator's answer to one claim.
type grantMessage struct {
	token                 uint64 // the allocator's fencing token
	generation            uint64 // generation of the proxy that the grant is for
	claimNumber           uint32 // number of the claim that the grant answers
	number                uint32 // rises with each grant to a proxy
	slot                  Slot   // the proxy's slot; Level noSlotLevel means that the grant assigns no slot
	fallbackSuspended     bool   // the proxy's fallback share is suspended
	extendsOnly           bool   // the grant only extends leases that the proxy had
	slotCoversConcurrency bool   // the slot is valid for limits on concurrency too
	items                 []grantItem
}

// grantItem is a grant's part about one limit: a lease.
type grantItem struct {
	hash           uint64    // of the limit's name
	size           shareSize // the share that is leased
	tokens         float64   // tokens that come with the lease
	fallbackAtOnce bool      // the fallback share of this limit is valid as soon as the lease ends
}

// announcementMessage notifies a proxy of the allocator's name and fencing token.
type announcementMessage struct {
	token uint64
	name  string
}

// leaveMessage says that a proxy's process admits no more requests.
type leaveMessage struct {
	generation uint64
	name       string
}

// borrowMessage requests an integer amount of a limit's tokens from another proxy.
type borrowMessage struct {
	nonce, hash uint64
	amount      float64
	name        string // the requesting proxy
}

// loanMessage carries lent tokens, in answer to the borrowMessage of the same nonce.
type loanMessage struct {
	nonce, hash uint64
	amount      float64
}

// writer appends fields to a datagram.
type writer []byte

// newWriter returns a writer that has written the header.
func newWriter(kind byte, fleet uint32) writer {
	return binary.BigEndian.AppendUint32(append(make(writer, 0, MaxDatagram), kind, formatVersion), fleet)
}

func (w *writer) u8(v uint8)    { *w = append(*w, v) }
func (w *writer) u32(v uint32)  { *w = binary.BigEndian.AppendUint32(*w, v) }
func (w *writer) u64(v uint64)  { *w = binary.BigEndian.AppendUint64(*w, v) }
func (w *writer) f32(v float64) { w.u32(math.Float32bits(float32(v))) }
func (w *writer) text(v string) { *w = append(append(*w, uint8(len(v))), v...) }

func (w *writer) flag(v bool) {
	if v {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

// reader reads fields from a datagram. failed is set once a field is missing or out of bounds; from then on
// all fields read as zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) next(n int) []byte {
	if r.failed || len(r.data) < n {
		r.failed = true
		return make([]byte, n)
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *reader) u8() uint8   { return r.next(1)[0] }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

// f32 reads an amount, which must be finite and not negative.
func (r *reader) f32() float64 {
	v := float64(math.Float32frombits(r.u32()))
	if !(v >= 0) || math.IsInf(v, 0) {
		r.failed = true
		return 0
	}
	return v
}

// text reads a name of 1 to MaxName bytes.
func (r *reader) text() string {
	n := int(r.u8())
	if n == 0 || n > MaxName {
		r.failed = true
		return ""
	}
	return string(r.next(n))
}

// readHeader checks a datagram's header. It returns the kind and a reader for the fields after the header.
func readHeader(data []byte, fleet uint32) (byte, *reader, error) {
	if len(data) < 6 || len(data) > MaxDatagram {
		return 0, nil, fmt.Errorf("decode quota datagram: %d bytes, want 6 to %d", len(data), MaxDatagram)
	}
	r := &reader{data: data[2:]}
	if data[1] != formatVersion || r.u32() != fleet {
		return 0, nil, fmt.Errorf("decode quota datagram: version %d is unsupported or fleet differs", data[1])
	}
	return data[0], r, nil
}

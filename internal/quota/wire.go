package quota

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Datagrams between proxies and the allocator, big-endian. The first byte is the kind, the second the
// version, the next four the fleet's name as a hash; what follows the known fields is ignored.
const (
	MaxDatagram = 256
	version     = 1

	kindClaim        = 0x60
	kindGrant        = 0x61
	kindAnnouncement = 0x62
	kindLeave        = 0x63
	kindBorrow       = 0x64
	kindLoan         = 0x65
)

// IsOurs reports whether a datagram's first byte is of this package.
func IsOurs(kind byte) bool { return kind >= 0x60 && kind <= 0x6f }

// claim is a proxy's message to the allocator: its demand and what it holds.
type claim struct {
	token               uint64 // the allocator that it is for
	generation          uint64 // of the proxy's process
	number              uint32 // grows with each claim of a generation
	lastGrant           uint32 // the highest number of a grant that the proxy took of this fencing token
	table               uint64 // the version by which it judges requests
	fallbackSuspendable bool   // its fallback share may be suspended
	name                string
	items               []claimItem
}

type claimItem struct {
	hash   uint64
	demand float64 // units a second, or at once, that came
	leased size    // by a live lease; of limits on concurrency, at least what is out
	number uint32  // the grant that its share is of
}

const (
	claimHead = 6 + 8 + 8 + 4 + 4 + 8 + 1 + 1 + 1
	claimSize = 8 + 4 + 4 + 4 + 4
)

// claimCapacity is how many limits fit into one claim of a proxy.
func claimCapacity(name string) int { return (MaxDatagram - claimHead - len(name)) / claimSize }

// grant answers one claim.
type grant struct {
	token                 uint64
	generation            uint64 // of the proxy that it is for
	claim                 uint32
	number                uint32 // grows with each grant to a proxy
	slot                  Slot   // Level slotNone: not known
	fallbackSuspended     bool   // the proxy's fallback share is suspended
	extendsOnly           bool   // the allocator only prolongs what the proxy had
	slotCoversConcurrency bool   // the slot holds for limits on concurrency too
	items                 []grantItem
}

type grantItem struct {
	hash           uint64
	size           size
	tokens         float64 // that come with it
	fallbackAtOnce bool    // without the lease the proxy has its fallback share of this limit at once
}

// announcement tells a proxy who holds the lease.
type announcement struct {
	token uint64
	name  string
}

// leave says that a process admits nothing any more.
type leave struct {
	generation uint64
	name       string
}

// borrowRequest and loan pass tokens from proxy to proxy.
type borrowRequest struct {
	nonce, hash uint64
	need        float64
	name        string
}

type loan struct {
	nonce, hash uint64
	amount      float64
}

// writer puts fields together.
type writer []byte

func begin(kind byte, fleet uint32) writer {
	return binary.BigEndian.AppendUint32(append(make(writer, 0, MaxDatagram), kind, version), fleet)
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

// reader takes fields apart; bad is set once something is missing or out of bounds, and zeros come from then
// on.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) next(n int) []byte {
	if r.bad || len(r.data) < n {
		r.bad = true
		return make([]byte, n)
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *reader) u8() uint8   { return r.next(1)[0] }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

// f32 is a finite amount of 0 or more.
func (r *reader) f32() float64 {
	v := float64(math.Float32frombits(r.u32()))
	if !(v >= 0) || math.IsInf(v, 0) {
		r.bad = true
		return 0
	}
	return v
}

func (r *reader) text() string {
	n := int(r.u8())
	if n == 0 || n > MaxName {
		r.bad = true
		return ""
	}
	return string(r.next(n))
}

// open checks what is common to all datagrams and gives the kind.
func open(data []byte, fleet uint32) (byte, *reader, error) {
	if len(data) < 6 || len(data) > MaxDatagram {
		return 0, nil, fmt.Errorf("quota datagram of %d bytes", len(data))
	}
	r := &reader{data: data[2:]}
	if data[1] != version || r.u32() != fleet {
		return 0, nil, fmt.Errorf("quota datagram of version %d or of another fleet", data[1])
	}
	return data[0], r, nil
}

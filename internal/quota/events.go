package quota

import (
	"time"

	"wrenspread/ratelimit"
)

// Event is an input of a core. Each core ignores the events of the other.
type Event interface{ event() }

// Events of both cores.
type (
	// Tick only passes the time to the core. The owner sends one about every 20 ms.
	Tick struct{}
	// Message is a received datagram; the core checks it.
	Message struct{ Data []byte }
	// TableChanged sets the table by which requests are admitted from now on. The allocator also needs the
	// Previous table (nil means none), since a proxy that doesn't know the current table yet has its fallback
	// share by the previous table.
	TableChanged struct{ Current, Previous *ratelimit.Table }
)

// Events of the Ledger.
type (
	// AllocatorKnown names the allocator, as the registry's watch reports it. The ledger follows the allocator
	// with the highest Token that it learns from this event or from a datagram.
	AllocatorKnown struct {
		Name  string
		Token uint64
	}
	// Peers names the other serving proxies, as membership reports them; tokens may be borrowed from them.
	Peers struct{ Names []string }
	// Leave says that the proxy admits no requests from now on.
	Leave struct{}
)

// Events of the Allocator.
type (
	// LeaseHeld says that the process holds the lease under Token and may act on it until Until, by the
	// process's clock, unless the lease is renewed.
	LeaseHeld struct {
		Token uint64
		Until time.Duration
	}
	// RecordRead has the record of slots, which was read or written under Token.
	RecordRead struct {
		Token uint64
		Slots []Slot
	}
	// Forget says that an operator has declared that a proxy will never come back.
	Forget struct{ Name string }
	// ExpectedProxies has the number of proxies that membership knows, which may be inexact.
	ExpectedProxies struct{ Count int }
	// WallClock has the wall-clock time, which scheduled limits depend on. The owner sends it every minute.
	WallClock struct{ Time time.Time }
)

func (Tick) event()            {}
func (Message) event()         {}
func (TableChanged) event()    {}
func (AllocatorKnown) event()  {}
func (Peers) event()           {}
func (Leave) event()           {}
func (LeaseHeld) event()       {}
func (RecordRead) event()      {}
func (Forget) event()          {}
func (ExpectedProxies) event() {}
func (WallClock) event()       {}

// Action is an output of a core; the core's owner carries it out.
type Action interface{ action() }

// Actions: both cores send, the Allocator also writes the record.
type (
	// Send sends a datagram to the named proxy or allocator.
	Send struct {
		To   string
		Data []byte
	}
	// WriteRecord replaces the record of slots under the fencing token. The owner reports success as a
	// RecordRead.
	WriteRecord struct {
		Token uint64
		Slots []Slot
	}
)

func (Send) action()        {}
func (WriteRecord) action() {}

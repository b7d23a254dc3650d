package quota

import (
	"time"

	"wrenspread/ratelimit"
)

// Event is what a core is notified of. Each core ignores events that are not for it.
type Event interface{ event() }

type (
	// Tick says that time has passed; it comes every 20 ms or so. Of both cores.
	Tick struct{}
	// Message is a datagram that has come; the core checks it. Of both cores.
	Message struct{ Data []byte }
	// TableChanged has the table by which requests are judged from now on. The allocator needs the Previous one,
	// too (nil: none), since proxies that don't know the new one yet have their fallback share of the old. Of
	// both cores.
	TableChanged struct{ Current, Previous *ratelimit.Table }
)

type (
	// AllocatorKnown tells the ledger which proxy's datagrams are the allocator's, as the registry's watch has
	// it. Datagrams of a later Token replace it.
	AllocatorKnown struct {
		Name  string
		Token uint64
	}
	// Peers tells the ledger which other proxies serve, as membership has it: they are asked for tokens.
	Peers struct{ Names []string }
	// Leave tells the ledger that nothing is admitted from now on.
	Leave struct{}
)

type (
	// LeaseHeld tells the allocator that its process holds the lease under Token, until Until by the process's
	// clock unless renewed.
	LeaseHeld struct {
		Token uint64
		Until time.Duration
	}
	// RecordRead tells the allocator the record of slots as read or written under Token.
	RecordRead struct {
		Token uint64
		Slots []Slot
	}
	// Forget tells the allocator that a proxy will never come back, as an operator says.
	Forget struct{ Name string }
	// ExpectedProxies tells the allocator about how many proxies membership knows.
	ExpectedProxies struct{ Count int }
	// WallClock tells the allocator the time of day, every minute, for limits that depend on it.
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

// Action is what is to be done.
type Action interface{ action() }

type (
	// Send is a datagram to a named proxy or allocator.
	Send struct {
		To   string
		Data []byte
	}
	// WriteRecord replaces the record fleet/proxies under the fencing token. Its success is reported as a
	// RecordRead.
	WriteRecord struct {
		Token uint64
		Slots []Slot
	}
)

func (Send) action()        {}
func (WriteRecord) action() {}

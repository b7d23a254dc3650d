package quota

import (
	"time"

	"wrenspread/ratelimit"
)

// Event is what a core is told. Each core ignores what is not for it.
type Event interface{ event() }

// Events of both cores.
type (
	Tick    struct{}              // time has passed; every 20 ms or so
	Message struct{ Data []byte } // a datagram has come; the core checks it
	// TableChanged is the one by which requests are judged from now on. A holder is told the one Before too
	// (nil: none), since proxies that don't know the new one yet have their fallback share of the old.
	TableChanged struct{ Current, Previous *ratelimit.Table }
)

// Events of the ledger.
type (
	AllocatorKnown struct { // as the registry's watch says; datagrams tell it too
		Name  string
		Token uint64
	}
	Peers struct{ Names []string } // other proxies that serve, by the view: who is asked for tokens
	Leave struct{}                 // nothing is admitted from now on
)

// Events of the allocator.
type (
	LeaseHeld struct { // the lease is held under Fence, until Until by this process's clock unless renewed
		Token uint64
		Until time.Duration
	}
	RecordRead struct { // the record fleet/proxies, as read or written under Fence
		Token uint64
		Slots []Slot
	}
	Forget          struct{ Name string }    // an operator says that the proxy will never come back
	ExpectedProxies struct{ Count int }      // about as many proxies as the view knows
	WallClock       struct{ Time time.Time } // every minute, for limits by time of day
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
	// Send is a datagram to a named proxy or holder.
	Send struct {
		To   string
		Data []byte
	}
	// WriteRecord replaces the record fleet/proxies under the fencing token. Its success is told as a Record.
	WriteRecord struct {
		Token uint64
		Slots []Slot
	}
)

func (Send) action()        {}
func (WriteRecord) action() {}

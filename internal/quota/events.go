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
	// Table is the one by which requests are judged from now on. A holder is told the one Before too (nil: none), since
	// nodes that don't know the new one yet have their safe share of the old.
	Table struct{ Now, Before *ratelimit.Table }
)

// Events of the ledger.
type (
	Holder struct { // as the list service's watch says; datagrams tell it too
		Name  string
		Fence uint64
	}
	Peers struct{ Names []string } // other nodes that serve, by the view: who is asked for tokens
	Leave struct{}                 // nothing is admitted from now on
)

// Events of the apportioner.
type (
	Held struct { // the duty is held under Fence, until Until by this process's clock unless renewed
		Fence uint64
		Until time.Duration
	}
	Record struct { // the record fleet/nodes, as read or written under Fence
		Fence uint64
		Seats []Seat
	}
	Forget struct{ Name string }    // an operator says that the node will never come back
	Expect struct{ Nodes int }      // about as many nodes as the view knows
	Wall   struct{ Time time.Time } // every minute, for limits by time of day
)

func (Tick) event()    {}
func (Message) event() {}
func (Table) event()   {}
func (Holder) event()  {}
func (Peers) event()   {}
func (Leave) event()   {}
func (Held) event()    {}
func (Record) event()  {}
func (Forget) event()  {}
func (Expect) event()  {}
func (Wall) event()    {}

// Action is what is to be done.
type Action interface{ action() }

type (
	// Send is a datagram to a named node or holder.
	Send struct {
		To   string
		Data []byte
	}
	// Write replaces the record fleet/nodes under the fence. Its success is told as a Record.
	Write struct {
		Fence uint64
		Seats []Seat
	}
)

func (Send) action()  {}
func (Write) action() {}

package membership

import (
	"net/netip"
	"time"
)

// Time is a reading of the owner's monotonic clock. All that a Core is given must not go back; what does is
// taken as no time.
type Time = time.Duration

// Event is something that happened to the node: Tick, Received, MetadataChanged, Leave or Join.
type Event interface{ event() }

// Tick says that the last Wake has run out. Further ticks do no harm.
type Tick struct{}

// Received is a datagram from the peer socket. From serves only to answer those whose name is not known.
type Received struct {
	From netip.AddrPort
	Data []byte
}

// MetadataChanged replaces the member's own metadata. Metadata out of bounds are dropped with a Log.
type MetadataChanged struct{ Metadata Metadata }

// Leave makes the node say that it goes on purpose. Gone follows when it has been said often enough.
type Leave struct{}

// Join replaces the addresses to join by.
type Join struct{ Addrs []netip.AddrPort }

func (Tick) event()            {}
func (Received) event()        {}
func (MetadataChanged) event() {}
func (Leave) event()           {}
func (Join) event()            {}

// Action is something that the server is to do: Send, Wake, Changed, Conflict, Gone or Log.
type Action interface{ action() }

// Send wants a datagram sent. Name is the member it is for; the server may know a better address for it than
// To. For a stranger or a seed Name is empty.
type Send struct {
	Name string
	To   netip.AddrPort
	Data []byte
}

// Wake wants a Tick after so long. It replaces the Wake before.
type Wake struct{ After time.Duration }

// MemberChanged tells that a member is seen differently now, load aside. Before has no Name if the member was
// not known.
type MemberChanged struct{ Member, Before Member }

// NameConflict tells that another living process has the node's own name. With Yielded set this one, having
// the lower generation, has fallen silent: it neither sends nor changes its view any more.
type NameConflict struct {
	Generation uint64 // the other's
	From       netip.AddrPort
	Yielded    bool
}

// LeaveDone tells that the node has said its leave; the socket may be closed.
type LeaveDone struct{}

// Log is a line for the operator.
type Log struct{ Text string }

func (Send) action()          {}
func (Wake) action()          {}
func (MemberChanged) action() {}
func (NameConflict) action()  {}
func (LeaveDone) action()     {}
func (Log) action()           {}

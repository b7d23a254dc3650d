package membership

import (
	"net/netip"
	"time"
)

// Time is a reading of the owner's monotonic clock. The times passed to a Core must not go back; a time
// before the last one counts as the last one.
type Time = time.Duration

// Event is an input of the core: Tick, Received, MetadataChanged, Leave or Join.
type Event interface{ event() }

// Tick says that the last Wake has expired. Additional ticks are harmless.
type Tick struct{}

// Received is a datagram from the peer socket. From is used only to answer senders whose name is not known.
type Received struct {
	From netip.AddrPort
	Data []byte
}

// MetadataChanged replaces the node's own metadata. Metadata out of bounds is not applied; a Log reports it.
type MetadataChanged struct{ Metadata Metadata }

// Leave makes the node broadcast that it leaves the fleet on purpose. LeaveDone follows once the leave has
// been broadcast often enough.
type Leave struct{}

// Join replaces the seeds, the addresses that the node pings to join the fleet.
type Join struct{ Addrs []netip.AddrPort }

func (Tick) event()            {}
func (Received) event()        {}
func (MetadataChanged) event() {}
func (Leave) event()           {}
func (Join) event()            {}

// Action is an output of the core, which its owner carries out: Send, Wake, MemberChanged, NameConflict,
// LeaveDone or Log.
type Action interface{ action() }

// Send sends a datagram to the member called Name at the address To. If the owner knows a better address of
// that member, the owner uses that address. Name is empty if the receiver is a stranger or a seed.
type Send struct {
	Name string
	To   netip.AddrPort
	Data []byte
}

// Wake requests a Tick after a duration. It replaces the previous Wake.
type Wake struct{ After time.Duration }

// MemberChanged reports that a member's view entry has changed, not only in its load. Before has no Name if
// the member was not known before, and Member has no Name if the member has been forgotten.
type MemberChanged struct{ Member, Before Member }

// NameConflict reports that another living process has the node's own name. If Yielded is set, this process
// has the lower generation and has yielded: from now on it sends nothing and does not change its view.
type NameConflict struct {
	Generation uint64 // of the other process
	From       netip.AddrPort
	Yielded    bool
}

// LeaveDone reports that the leave has been broadcast; the socket may be closed.
type LeaveDone struct{}

// Log is a log line for the operator.
type Log struct{ Text string }

func (Send) action()          {}
func (Wake) action()          {}
func (MemberChanged) action() {}
func (NameConflict) action()  {}
func (LeaveDone) action()     {}
func (Log) action()           {}

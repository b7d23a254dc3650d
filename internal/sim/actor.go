// Package sim plays many pure cores on a fake clock and a drawn network, with faults drawn by a seed. The
// same seed gives the same history. A schedule that breaks a check is cut down to the faults that it takes,
// and drawn as a timeline.
//
// The package knows no core: an Actor wraps one, or several on one node. The play of the view is in
// internal/sim/membership.
package sim

import (
	"time"

	"wrenspread/internal/registry"
)

// Actor is one process: a core, or several, with the little that their shell decides.
type Actor interface {
	// Handle takes an event at a time of the process's own monotonic clock.
	Handle(now time.Duration, e Event) []Effect
}

// Event is what happens to an Actor.
type Event interface{ event() }

// Started is the first event of each generation.
type Started struct{}

// Tick comes when the Wake of that timer has run out.
type Tick struct{ Timer string }

// Message is a datagram from a named end. The data is not to be changed.
type Message struct {
	From string
	Data []byte
}

// Told is a word from outside the network: an operator, a client, the play itself.
type Told struct{ What any }

// Answer is what a Call came to. With Lost set nobody knows whether a command was carried out.
type Answer struct {
	Call   Call
	Lost   bool
	Result registry.Result
	Seen   Seen
}

// Effect is what an Actor wants done.
type Effect interface{ effect() }

// Send wants a datagram sent to a named end. The data is not to be changed afterwards.
type Send struct {
	To   string
	Data []byte
}

// Wake wants a Tick after so long by the process's clock. It replaces the previous Wake of the same timer.
type Wake struct {
	Timer string
	After time.Duration
}

// Say puts a few words into the process's column of the timeline.
type Say struct{ What string }

// Call asks the registry. Its Answer comes, or comes as Lost, within CallMost.
type Call struct {
	Number  uint64            // the caller's own, to know the answer by
	Command *registry.Command // carried out; or
	Renew   string            // the session that gets its full TTL again; or
	Read    Read              // what is looked at
}

// Exit ends the process on purpose.
type Exit struct{}

func (Started) event() {}
func (Tick) event()    {}
func (Message) event() {}
func (Told) event()    {}
func (Answer) event()  {}

func (Send) effect() {}
func (Wake) effect() {}
func (Say) effect()  {}
func (Call) effect() {}
func (Exit) effect() {}

// Package sim simulates many cores (state machines without I/O or a clock of their own) on a simulated clock
// and network, with random faults. All draws follow from a seed, so that the same seed gives the same
// history. A schedule of faults that violates a check is reduced to the faults that are needed for the
// violation, and its history is drawn as a timeline.
//
// The package depends on no particular core: an Actor wraps one core, or several on one host. Package
// internal/sim/membership simulates the membership view, package internal/sim/subset the subscriptions to
// subsets of endpoints.
package sim

import (
	"time"

	"wrenspread/internal/registry"
)

// Actor is one simulated process: one or more cores, and a model of the code that drives them in a real
// process.
type Actor interface {
	// Handle takes an event and returns the effects that it causes. now is the time of the host's own monotonic
	// clock.
	Handle(now time.Duration, e Event) []Effect
}

// Event is something that happens to an Actor.
type Event interface{ event() }

// Started is the first event of each process.
type Started struct{}

// Tick arrives when the Wake of its timer has run out.
type Tick struct{ Timer string }

// Message is a datagram from a named host. Its data must not be changed.
type Message struct {
	From string
	Data []byte
}

// External is an event that does not come over the network, such as an operator's command or an event that a
// Play causes.
type External struct{ Value any }

// Answer is the result of a Call. If Lost is set, the caller cannot know whether its command was carried out.
type Answer struct {
	Call   Call
	Lost   bool
	Result registry.Result
	Read   ReadResult
}

// Effect is an action that an Actor requests.
type Effect interface{ effect() }

// Send sends a datagram to a named host. Its data must not be changed afterwards.
type Send struct {
	To   string
	Data []byte
}

// Wake requests a Tick when After has passed on the host's clock. It replaces the previous Wake of the same
// timer.
type Wake struct {
	Timer string
	After time.Duration
}

// Note adds an event to the host's column of the timeline.
type Note struct{ Text string }

// Call is a request to the registry. Its Answer arrives within CallTimeout, with Lost set if there was none.
type Call struct {
	Number  uint64            // chosen by the caller, to match the answer
	Command *registry.Command // a command to carry out; or
	Renew   string            // the session whose TTL starts again; or
	Read    Read              // what is read, at the time of the answer
}

// Exit ends the process on purpose.
type Exit struct{}

func (Started) event()  {}
func (Tick) event()     {}
func (Message) event()  {}
func (External) event() {}
func (Answer) event()   {}

func (Send) effect() {}
func (Wake) effect() {}
func (Note) effect() {}
func (Call) effect() {}
func (Exit) effect() {}

// Package decide makes the decisions of a load-balancing proxy node: which
// server gets a request, when another attempt is made, when a request is
// refused. It does no I/O, reads no clock and starts no goroutine: the caller
// feeds it events and carries out the actions it returns.
//
// The interface is here, in settings.go, events.go and actions.go. handle.go
// takes the events. The decisions on a request are in requests.go, choice.go,
// looks.go, shedding.go, attempts.go and retries.go; those on servers in
// lists.go, thresholds.go, modes.go, learning.go, suspicion.go and cold.go.
// What nodes tell each other of servers is in peers.go, in the form of notes.go;
// what a new process takes over from an old one is in handover.go; servers taken
// out by hand are in maintenance.go. ring.go keeps the servers and the nodes in
// order; state.go and module.go hold what all of them share.
package balancer

import "time"

// Time is a reading of the caller's monotonic clock. Its zero has no meaning.
type Time = time.Duration

// ServerID names a server, RequestID one try of a client's request. Both are
// opaque.
type (
	ServerID  uint32
	RequestID string
)

// Report is a server's own account of its load. It is late and not exact.
type Report struct {
	InFlight, Queue       float64 // requests held; requests waiting
	HasInFlight, HasQueue bool
	Utilisation           float64 // 0 if absent
	ServiceTime           time.Duration
	Rate, ErrorRate       float64 // each second
}

// ServerState is what discovery says of a server.
type ServerState int

const (
	// Ready servers take requests.
	Ready ServerState = iota
	// Draining servers finish what they have.
	Draining
	// Gone servers have been removed.
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID        ServerID
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Size      float64 // without unit; compare with other servers
	StartedAt Time    // 0: long ago
}

// Learned is what a module has learned, in a form that outlives its process. Its
// times are on the clock of both.
type Learned struct {
	Mean, Base, Unit, Peak, Answers, Running, Budget, Trials float64
	Classes                                                  []ClassLearned
	Servers                                                  []ServerLearned
}

// ClassLearned is what a module has learned of a class.
type ClassLearned struct {
	Name                                           string
	Hint, Hints, Count, Latency, Ambient, Relative float64
}

// ServerLearned is what a module has learned of a server, and has out there.
type ServerLearned struct {
	ID                                                          ServerID
	StartedAt, LatencyAt, RateAt, Since, TrialAt, ColdSince, At Time
	TrialWait                                                   time.Duration
	Excess, Rate, Failing, Load, Tokens                         float64
	Suspect, Away, Cold                                         bool
}

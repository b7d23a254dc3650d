package balancer

import "time"

// RequestID identifies one try of a client's request. The balancer does not interpret it.
type RequestID string

// request is an open request: it has no final answer yet, or an attempt that has not ended.
type request struct {
	id           RequestID
	class        *class
	arrived      Time
	deadline     Time
	waitedBefore time.Duration // by the client in its previous tries, estimated from the class's deadline
	relativeWork float64       // expected work, as a multiple of its class's mean
	priority     bool          // it is shed only after requests without priority

	received        bool // its last byte has arrived, so its deadline runs
	incomplete      bool // its last byte has not been sent to an endpoint
	responseStarted bool // the client has received the beginning of a response
	answered        bool // it has its final answer, or needs none
	recoveryProbe   bool // an attempt of it tests an ejected endpoint

	attempts         []attempt
	maxAttempts      int
	attemptsInFlight int

	loadQuery
	reservations [2]tableReservation // indexed by tableInForce and shadowTable
}

// loadQuery is the state of the load queries that a request waits for.
type loadQuery struct {
	awaitingLoad    bool
	loadQueryAt     Time        // when the last queries were sent
	loadQueryRounds int         // rounds of queries for the next attempt
	queried         []*endpoint // endpoints of the last round; once it has finished, those that answered
}

// attempt is the forwarding of a request to an endpoint.
type attempt struct {
	endpoint    *endpoint
	sentAt      Time
	queuedAhead float64 // requests that its endpoint was known to have at its start
	work        float64 // expected work, in mean requests
	ended       bool
	mayHaveRun  bool // it has not ended, or ended without proof that the endpoint did not run it
	uncounted   bool // it is not, or no longer, included in its endpoint's in-flight count
}

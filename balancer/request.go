package balancer

import "time"

// RequestID names one try of a client's request. It is opaque.
type RequestID string

// request is an open request: it has no final answer yet, or attempts that have not ended.
type request struct {
	id           RequestID
	class        *class
	arrived      Time
	deadline     Time
	waitedBefore time.Duration // how long its client has waited in earlier tries, at least
	relativeWork float64       // its expected work, as a multiple of its class's mean
	priority     bool          // it is shed after requests without priority

	incomplete      bool // its last byte has not been sent to an endpoint yet
	responseStarted bool // the client has got the beginning of a response
	answered        bool // it has had its final answer
	recoveryProbe   bool // it was used to test an ejected endpoint

	attempts         []attempt
	maxAttempts      int
	attemptsInFlight int

	loadQuery
	reservations [2]reservation // of limits: the table in force, the shadow table
}

// loadQuery is the query that a request waits for.
type loadQuery struct {
	awaitingLoad    bool
	loadQueryAt     Time        // when the last query was made
	loadQueryRounds int         // queries made for the next attempt
	queried         []*endpoint // in the last of them; afterwards those that have answered
}

// attempt is one forwarding of a request to an endpoint.
type attempt struct {
	endpoint    *endpoint
	sentAt      Time
	queuedAhead float64 // requests that its endpoint was known to have then
	work        float64 // expected, in mean requests
	ended       bool
	mayHaveRun  bool // it is in flight, or ended without proof that the endpoint did not run it
	uncounted   bool // it is not, or no longer, in its endpoint's in-flight count
}

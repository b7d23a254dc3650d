package balancer

import "time"

// Action is an instruction to the caller of Handle. The types in this file are its only implementations.
type Action interface{ action() }

// StartAttempt forwards a request to an endpoint. The attempts of a request are numbered 0, 1, 2 in the order
// of these actions.
type StartAttempt struct {
	ID       RequestID
	Endpoint EndpointID
	Timeout  time.Duration // for the attempt; 0: until the client stops waiting
	// No byte of the request may be written at or after this time, even if the connection is established late.
	WriteBy Time
}

// Reject is a final answer that promises the client that sending the request again does no harm.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // recommended wait before the client's next try; 0: no recommendation
	Status     int           // HTTP status; 0 means 503
}

// Fail is a final answer that, unlike Reject, does not promise that sending the request again does no harm:
// an endpoint may have run the request.
type Fail struct{ ID RequestID }

// CancelAttempt stops waiting for an attempt, which then ends with the outcome Cancelled.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer requests a TimerFired event with the same token once the time After has passed.
type SetTimer struct {
	After time.Duration
	Token int64
}

// QueryLoad requests a load report from an endpoint. The result arrives as a LoadQueryEnded event.
type QueryLoad struct{ Endpoint EndpointID }

// SendMessage sends a gossip message to one proxy or to all proxies.
type SendMessage struct {
	To    int // index of the receiving proxy, unless ToAll is set
	ToAll bool
	Data  []byte
}

// Subscribe starts a watch of the endpoint list or, with On false, ends it. An EndpointsUpdated event answers
// the start; its kind is UpdateFailed if the call fails.
type Subscribe struct{ On bool }

// FetchEndpoints requests the complete endpoint list from discovery once.
type FetchEndpoints struct{}

// CloseIdleConnections closes this proxy's idle connections to an endpoint.
type CloseIdleConnections struct{ Endpoint EndpointID }

// Log writes a line to the log that operators read.
type Log struct{ Line string }

func (StartAttempt) action()         {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (CancelAttempt) action()        {}
func (SetTimer) action()             {}
func (QueryLoad) action()            {}
func (SendMessage) action()          {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (Log) action()                  {}

package balancer

import "time"

// Action is something that the caller is to do. The types below are all there are.
type Action interface{ action() }

// StartAttempt forwards a request to an endpoint. A request's attempts are numbered 0, 1, 2 in the order of
// these actions.
type StartAttempt struct {
	ID       RequestID
	Endpoint EndpointID
	Timeout  time.Duration // 0: until the client stops waiting
	WriteBy  Time          // nothing of it may be written from then on, however late its connection comes up
}

// Reject is a final answer. It promises that a new try does no harm.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // how long the client should wait; 0: no advice
	Status     int           // HTTP status; 0: 503
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct{ ID RequestID }

// CancelAttempt stops waiting for an attempt, which then ends with Cancelled.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer asks for a TimerFired.
type SetTimer struct {
	After time.Duration
	Token int64
}

// QueryLoad asks an endpoint for a load report, which LoadQueryEnded brings.
type QueryLoad struct{ Endpoint EndpointID }

// SendMessage sends gossip to one proxy, or to all.
type SendMessage struct {
	To    int // index of the proxy
	ToAll bool
	Data  []byte
}

// Subscribe opens a watch of the endpoint list, or ends it. An EndpointsUpdated answers it sooner or later,
// of kind UpdateFailed if the call comes to nothing.
type Subscribe struct{ On bool }

// FetchEndpoints asks discovery for the complete list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes this proxy's idle connections to an endpoint.
type CloseIdleConnections struct{ Endpoint EndpointID }

// Log is a line for the operators.
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

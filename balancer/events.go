package balancer

import (
	"fmt"
	"time"

	"wrenspread/ratelimit"
)

// Event is an input to Handle. The types in this file are its only implementations.
type Event interface{ event() }

// RequestArrived announces a new request. The balancer must give the request one final answer: the response
// of an attempt, Reject or Fail.
type RequestArrived struct {
	ID               RequestID
	Class            string
	Tenant           string
	Key              string        // idempotency key; empty: none
	Timeout          time.Duration // until the client stops waiting for this try; see Incomplete
	WorkHint         time.Duration // expected work, if HasWorkHint is set
	HasWorkHint      bool
	ClientRetry      bool // the client marks the request as a retry
	PreviousSettings bool // its class is that of the previous settings
	// The last byte of the request has not arrived yet. Timeout counts only from RequestReceived on.
	Incomplete bool
	Write      bool
}

// RequestReceived reports that the last byte of an incomplete request has arrived. Its time runs from then
// on, though its attempt may still be sending it.
type RequestReceived struct {
	ID      RequestID
	Timeout time.Duration // that is left
}

// RequestSent reports that the last byte of an incomplete request has been sent in its attempt. If it was not
// reported as received before, its time runs from this event on.
type RequestSent struct {
	ID      RequestID
	Timeout time.Duration
}

// RequestAbandoned reports that the client has gone. The request needs no answer any more.
type RequestAbandoned struct{ ID RequestID }

// AttemptEnded reports the result of an attempt. There is one for each StartAttempt.
type AttemptEnded struct {
	ID              RequestID
	Attempt         int
	Endpoint        EndpointID
	RequestAnswered bool // the request has its final answer
	BodyDiscarded   bool // the sent part of the body was not kept, so no other attempt is possible
	Elapsed         time.Duration
	Outcome         Outcome
	LoadReport      *LoadReport // nil: none was received
}

// ResponseStarted reports that the client has received the beginning of a response that is streamed or long.
// No other response can replace it.
type ResponseStarted struct {
	ID       RequestID
	Attempt  int
	Endpoint EndpointID
	Elapsed  time.Duration
}

// LoadQueryEnded reports the result of a QueryLoad.
type LoadQueryEnded struct {
	Endpoint   EndpointID
	Outcome    Outcome
	Elapsed    time.Duration
	LoadReport *LoadReport
}

// SettingsChanged replaces the settings. Open requests keep their class and their maximum number of attempts.
type SettingsChanged struct{ Settings Settings }

// EndpointsUpdated changes the endpoint list. The list is either the complete one or the subset of it that
// this proxy was given, which begins at the ring position SubsetStart.
type EndpointsUpdated struct {
	Kind           UpdateKind
	Version        uint64
	Endpoints      []Endpoint
	TotalEndpoints int    // in the complete list, without removed ones; 0: this is the complete list
	SubsetStart    uint64 // ring position of the subset's start
}

// Maintenance starts or ends the maintenance of an endpoint by order of an operator. Maintenance continues
// whatever the endpoint list says.
type Maintenance struct {
	Endpoint EndpointID
	On       bool
}

// Restored passes on what a previous process of this proxy has learned. It precedes the first endpoint list.
type Restored struct{ Learned LearnedState }

// HandedOver reports that a new process of this proxy serves new requests, while this process finishes the
// requests that it has.
type HandedOver struct{}

// MessageReceived is a gossip message from another proxy.
type MessageReceived struct {
	From int // index of the sending proxy
	Data []byte
}

// TableChanged sets a table of limits and this proxy's tokens of the table, which must be ready for use. A
// nil table removes the present one.
type TableChanged struct {
	Table  *ratelimit.Table
	Tokens ratelimit.Tokens
	// The table is evaluated next to the table in force and its decisions are counted, but they have no effect.
	Shadow bool
}

// DegradationChanged sets the degradation level; 0 is normal operation.
type DegradationChanged struct{ Level int }

// TimerFired reports that the time of a SetTimer with this token has passed.
type TimerFired struct{ Token int64 }

func (RequestArrived) event()     {}
func (RequestReceived) event()    {}
func (RequestSent) event()        {}
func (RequestAbandoned) event()   {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (LoadQueryEnded) event()     {}
func (SettingsChanged) event()    {}
func (EndpointsUpdated) event()   {}
func (Maintenance) event()        {}
func (Restored) event()           {}
func (HandedOver) event()         {}
func (MessageReceived) event()    {}
func (TableChanged) event()       {}
func (DegradationChanged) event() {}
func (TimerFired) event()         {}

// UpdateKind says what the entries of an EndpointsUpdated are.
type UpdateKind int

const (
	// UpdateIncremental means that only changed entries are included.
	UpdateIncremental UpdateKind = iota
	// UpdateComplete means that all entries are included; an endpoint without an entry is removed.
	UpdateComplete
	// UpdateCached means that the entries are the last complete list that this proxy has cached. It may be old.
	UpdateCached
	// UpdateFailed means that a call failed or the watch ended. There are no entries.
	UpdateFailed
)

// Outcome is the result of an attempt or a load query.
type Outcome int

const (
	// OK means that the endpoint has responded.
	OK Outcome = iota
	// ServerError means that the endpoint failed; it may have run the request.
	ServerError
	// Rejected means that the endpoint shed the request without processing it.
	Rejected
	// TimedOut means that no response came in time; the endpoint may have run the request, or may still run it.
	TimedOut
	// ConnectFailed means that nothing was sent, as the endpoint refused or broke the connection.
	ConnectFailed
	// ConnectionReset means that the connection broke; the endpoint may have run the request.
	ConnectionReset
	// Cancelled means that the attempt was cancelled; the endpoint may have run the request.
	Cancelled
	// NotSent means that nothing was sent, as the request was over or the proxy had no connection available.
	// This says nothing about the endpoint.
	NotSent
	// ConnectTimedOut means that nothing was sent, as the connection was not established in time. The endpoint
	// may be unreachable or slow to accept connections.
	ConnectTimedOut
)

// ProvesNotRun reports whether an outcome proves that the endpoint did not run the request.
func (o Outcome) ProvesNotRun() bool {
	switch o {
	case Rejected, ConnectFailed, ConnectTimedOut, NotSent:
		return true
	}
	return false
}

// String returns the text of the outcome in log lines.
func (o Outcome) String() string {
	names := [...]string{
		OK:              "success",
		ServerError:     "server error",
		Rejected:        "rejection",
		TimedOut:        "timeout",
		ConnectFailed:   "connect failure",
		ConnectionReset: "connection reset",
		Cancelled:       "cancellation",
		NotSent:         "not sent",
		ConnectTimedOut: "connect timeout",
	}
	if o < 0 || int(o) >= len(names) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return names[o]
}

// LoadReport is the load that an endpoint reports of itself. It is delayed and inexact.
type LoadReport struct {
	InFlight       float64 // requests at the endpoint, if HasInFlight is set
	HasInFlight    bool
	QueueLength    float64 // requests that wait, if HasQueueLength is set
	HasQueueLength bool
	Utilization    float64 // 0: not reported
	ServiceTime    time.Duration
	RequestRate    float64 // per second
	ErrorRate      float64 // per second
}

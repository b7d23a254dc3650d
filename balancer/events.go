package balancer

import (
	"fmt"
	"time"

	"wrenspread/ratelimit"
)

// Event is something that happened. The types below are all there are.
type Event interface{ event() }

// RequestArrived is a new request. The balancer owes it one final answer: the response of an attempt, Reject
// or Fail.
type RequestArrived struct {
	ID               RequestID
	Class            string
	Tenant           string
	Key              string        // idempotency key; empty: none
	Timeout          time.Duration // until the client stops waiting for this try
	WorkHint         time.Duration // expected work, with HasWorkHint
	HasWorkHint      bool
	ClientRetry      bool // the client has tried before
	PreviousSettings bool // it has the form that its class had in the settings before
	Incomplete       bool // its last byte has not come: Timeout counts from RequestSent
	Write            bool
}

// RequestSent says that the last byte of a request that was incomplete has gone out in its open attempt. Its
// time runs from now on.
type RequestSent struct {
	ID      RequestID
	Timeout time.Duration
}

// RequestAbandoned says that the client is gone. Nothing is owed any more.
type RequestAbandoned struct{ ID RequestID }

// AttemptEnded tells how one attempt went. Each StartAttempt gets one.
type AttemptEnded struct {
	ID              RequestID
	Attempt         int
	Endpoint        EndpointID
	RequestAnswered bool // the request has had its final answer
	BodyDiscarded   bool // what was sent is not kept, so there can be no other attempt
	Elapsed         time.Duration
	Outcome         Outcome
	LoadReport      *LoadReport // nil: none came
}

// ResponseStarted says that the client has got the beginning of a response that no other can replace, as it
// is streamed or long.
type ResponseStarted struct {
	ID       RequestID
	Attempt  int
	Endpoint EndpointID
	Elapsed  time.Duration
}

// LoadQueryEnded is the result of a QueryLoad.
type LoadQueryEnded struct {
	Endpoint   EndpointID
	Outcome    Outcome
	Elapsed    time.Duration
	LoadReport *LoadReport
}

// SettingsChanged brings other settings. Open requests keep the class and the number of attempts that they
// came with.
type SettingsChanged struct{ Settings Settings }

// EndpointsUpdated changes the endpoint list. It may be about a subset of the list that this proxy was given,
// which begins at a position on the ring.
type EndpointsUpdated struct {
	Kind           UpdateKind
	Version        uint64
	Endpoints      []Endpoint
	TotalEndpoints int    // of the complete list that are not removed; 0: this is the complete list
	SubsetStart    uint64 // ring position
}

// Maintenance is an operator's order to take an endpoint out, or back. It holds whatever lists say.
type Maintenance struct {
	Endpoint EndpointID
	On       bool
}

// Restored brings what an earlier process of this proxy has learned. It comes before the first list.
type Restored struct{ Learned LearnedState }

// HandedOver says that a new process of this proxy serves, while this one ends what it has.
type HandedOver struct{}

// MessageReceived is gossip of another proxy.
type MessageReceived struct {
	From int // index of the proxy
	Data []byte
}

// TableChanged brings a table of limits, which must be ready for use, and the proxy's tokens of it. A nil
// table takes the present one away.
type TableChanged struct {
	Table  *ratelimit.Table
	Tokens ratelimit.Tokens
	Shadow bool // its decisions are counted beside those of the table in force, and change nothing
}

// DegradationChanged brings the level of degradation, 0 for none.
type DegradationChanged struct{ Level int }

// TimerFired answers a SetTimer.
type TimerFired struct{ Token int64 }

func (RequestArrived) event()     {}
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

// UpdateKind is the form of an EndpointsUpdated.
type UpdateKind int

const (
	// UpdateIncremental has the changed entries alone.
	UpdateIncremental UpdateKind = iota
	// UpdateComplete has all entries; an endpoint that is not among them is removed.
	UpdateComplete
	// UpdateCached is a complete list as this proxy had it last; it can be old.
	UpdateCached
	// UpdateFailed has no entries: a call failed or the watch ended.
	UpdateFailed
)

// Outcome tells how an attempt or a load query ended.
type Outcome int

const (
	// OK means that the endpoint has answered.
	OK Outcome = iota
	// ServerError means that the endpoint failed; it may have run the request.
	ServerError
	// Rejected means that the endpoint shed the request without looking at it.
	Rejected
	// TimedOut means that no response came in time; the endpoint may have run the request, and may still do so.
	TimedOut
	// ConnectFailed means that nothing was sent, as the endpoint refused the connection or broke it.
	ConnectFailed
	// ConnectionReset means that the connection broke; the endpoint may have run the request.
	ConnectionReset
	// Cancelled means that the attempt was called off; the endpoint may have run the request.
	Cancelled
	// NotSent means that nothing was sent, as the request was over or the proxy had no connection to spare. It
	// says nothing of the endpoint.
	NotSent
	// ConnectTimedOut means that nothing was sent, as the connection was not up in time. The endpoint may be out
	// of reach or slow to accept.
	ConnectTimedOut
)

// provesNotRun reports whether an outcome proves that the endpoint did not run the request.
func (o Outcome) provesNotRun() bool {
	switch o {
	case Rejected, ConnectFailed, ConnectTimedOut, NotSent:
		return true
	}
	return false
}

// String returns the outcome for log lines.
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

// LoadReport is an endpoint's own account of its load. It is late and not exact.
type LoadReport struct {
	InFlight       float64 // requests that it has, with HasInFlight
	HasInFlight    bool
	QueueLength    float64 // requests that wait, with HasQueueLength
	HasQueueLength bool
	Utilization    float64 // 0 if absent
	ServiceTime    time.Duration
	RequestRate    float64 // per second
	ErrorRate      float64 // per second
}

package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
)

// rig feeds one balancer with events of endpoints whose latencies and outcomes the test sets.
type rig struct {
	t        *testing.T
	balancer *balancer.Balancer
	now      time.Duration
	// delay returns the latency and the outcome of an attempt at an endpoint.
	delay        func(s balancer.EndpointID) (time.Duration, balancer.Outcome)
	dueEvents    []rigEvent
	sent         map[balancer.EndpointID]int            // attempts by endpoint
	lastAnswer   map[balancer.RequestID]balancer.Action // Reject or Fail by request
	attempts     map[balancer.RequestID]int             // attempts by request
	answered     map[balancer.RequestID]bool
	retries      int                                    // retries of a rejected client, each after the Retry-After
	timeout      time.Duration                          // of a request's first try
	extraLatency func(balancer.RequestID) time.Duration // added to delay, by request
	retryAfters  []time.Duration                        // of all rejections
	inTime       map[string]int                         // requests answered within 600 ms, by class
	arrivedAt    map[balancer.RequestID]time.Duration
	rejected, failed,
	polls, nextID, logLines int // number of Log actions
}

type rigEvent struct {
	at    time.Duration
	event balancer.Event
}

func rigSettings() balancer.Settings {
	return balancer.Settings{Proxies: 1, MaxAttempts: 3, AllowCancel: true, MinEventInterval: 5 * time.Millisecond, PollInterval: 10 * time.Second,
		ConnectTimeout: 100 * time.Millisecond, SlowStartInitial: 0.3, SlowStartDuration: 8 * time.Second, OverloadFactor: 2.5,
		OverloadDuration: time.Second, SendRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []balancer.Class{
			{Name: "dear", PriorityWeight: 12, LatencyObjective: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: balancer.Idempotent},
			{Name: "cheap", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 4 * time.Second, Idempotency: balancer.Idempotent},
			{Name: "once", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: balancer.NotIdempotent}}}
}

func newRig(t *testing.T, s balancer.Settings, endpoints int) *rig {
	r := &rig{t: t, balancer: balancer.New(s, 5+7*int64(s.ProxyIndex)), now: time.Hour, sent: map[balancer.EndpointID]int{}, answered: map[balancer.RequestID]bool{},
		lastAnswer: map[balancer.RequestID]balancer.Action{}, attempts: map[balancer.RequestID]int{}, timeout: 2 * time.Second,
		inTime: map[string]int{}, arrivedAt: map[balancer.RequestID]time.Duration{}}
	r.extraLatency = func(balancer.RequestID) time.Duration { return 0 }
	r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		return 50 * time.Millisecond, balancer.OK
	}
	var list []balancer.Endpoint
	for i := range endpoints {
		list = append(list, balancer.Endpoint{ID: balancer.EndpointID(i + 1), Zone: "z"})
	}
	r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateCached, Endpoints: list})
	return r
}

func (r *rig) feed(e balancer.Event) {
	for _, a := range r.balancer.Handle(r.now, e) {
		switch a := a.(type) {
		case balancer.StartAttempt:
			r.sent[a.Endpoint]++
			attempt := r.attempts[a.ID]
			r.attempts[a.ID]++
			d, outcome := r.delay(a.Endpoint)
			d += r.extraLatency(a.ID)
			if d > a.Timeout {
				d, outcome = a.Timeout, balancer.TimedOut
			}
			r.dueEvents = append(r.dueEvents, rigEvent{r.now + d, balancer.AttemptEnded{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Outcome: outcome, Elapsed: d}})
		case balancer.CancelAttempt:
			r.dueEvents = append(r.dueEvents, rigEvent{r.now + time.Millisecond, balancer.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: balancer.Cancelled}})
		case balancer.Reject:
			r.rejected++
			r.answered[a.ID], r.lastAnswer[a.ID] = true, a
			r.retryAfters = append(r.retryAfters, a.RetryAfter)
			class, try, _ := strings.Cut(string(a.ID), "/")
			if remaining := r.timeout - (r.now + a.RetryAfter - r.arrivedAt[balancer.RequestID(class)]); len(try) < r.retries && remaining > 0 {
				id := balancer.RequestID(class + "/" + try + "x")
				r.dueEvents = append(r.dueEvents, rigEvent{r.now + a.RetryAfter, balancer.RequestArrived{ID: id, Class: strings.TrimRight(class,
					"0123456789"), Timeout: remaining}})
			}
		case balancer.Fail:
			r.failed++
			r.answered[a.ID], r.lastAnswer[a.ID] = true, a
		case balancer.SetTimer:
			r.dueEvents = append(r.dueEvents, rigEvent{r.now + a.After, balancer.TimerFired{Token: a.Token}})
		case balancer.Log:
			r.logLines++
		case balancer.Subscribe:
			r.polls++
			r.dueEvents = append(r.dueEvents, rigEvent{r.now + time.Second, balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}})
		}
	}
}

// run simulates some time with arrivals of a class, at a rate per second.
func (r *rig) run(length time.Duration, rate float64, class string) {
	arrived := 0.0
	for end := r.now + length; r.now < end; r.now += 5 * time.Millisecond {
		var later, due []rigEvent
		for _, d := range r.dueEvents {
			if d.at <= r.now {
				due = append(due, d)
			} else {
				later = append(later, d)
			}
		}
		r.dueEvents = later
		for _, d := range due {
			if e, ok := d.event.(balancer.AttemptEnded); ok {
				e.RequestAnswered = r.answered[e.ID] || e.Outcome == balancer.OK
				first, _, _ := strings.Cut(string(e.ID), "/")
				if e.Outcome == balancer.OK && !r.answered[e.ID] && r.now-r.arrivedAt[balancer.RequestID(first)] < 600*time.Millisecond {
					r.inTime[strings.TrimRight(first, "0123456789")]++
				}
				r.answered[e.ID] = e.RequestAnswered
				d.event = e
			}
			r.feed(d.event)
		}
		for arrived += rate * 0.005; arrived >= 1; arrived-- {
			r.nextID++
			id := balancer.RequestID(fmt.Sprint(class, r.nextID))
			r.arrivedAt[id] = r.now
			r.feed(balancer.RequestArrived{ID: id, Class: class, Timeout: r.timeout})
		}
	}
}

func (r *rig) reset() { r.sent, r.rejected, r.failed = map[balancer.EndpointID]int{}, 0, 0 }

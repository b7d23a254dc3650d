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
	delay        func(id balancer.EndpointID) (time.Duration, balancer.Outcome)
	dueEvents    []rigEvent
	sent         map[balancer.EndpointID]int            // attempts by endpoint, since the last reset
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
	polls, nextID, logLines int // polls counts Subscribe actions, logLines counts Log actions
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
			{Name: "high", PriorityWeight: 12, LatencyObjective: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: balancer.Idempotent},
			{Name: "low", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 4 * time.Second, Idempotency: balancer.Idempotent},
			{Name: "nonidempotent", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: balancer.NotIdempotent}}}
}

func newRig(t *testing.T, settings balancer.Settings, endpoints int) *rig {
	r := &rig{t: t, balancer: balancer.New(settings, 5+7*int64(settings.ProxyIndex)), now: time.Hour, sent: map[balancer.EndpointID]int{}, answered: map[balancer.RequestID]bool{},
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

// feed passes an event to the balancer and carries out the actions.
func (r *rig) feed(e balancer.Event) {
	for _, a := range r.balancer.Handle(r.now, e) {
		switch a := a.(type) {
		case balancer.StartAttempt:
			r.sent[a.Endpoint]++
			attempt := r.attempts[a.ID]
			r.attempts[a.ID]++
			latency, outcome := r.delay(a.Endpoint)
			latency += r.extraLatency(a.ID)
			if latency > a.Timeout {
				latency, outcome = a.Timeout, balancer.TimedOut
			}
			r.dueEvents = append(r.dueEvents, rigEvent{r.now + latency, balancer.AttemptEnded{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Outcome: outcome, Elapsed: latency}})
		case balancer.CancelAttempt:
			r.dueEvents = append(r.dueEvents, rigEvent{r.now + time.Millisecond, balancer.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: balancer.Cancelled}})
		case balancer.Reject:
			r.rejected++
			r.answered[a.ID], r.lastAnswer[a.ID] = true, a
			r.retryAfters = append(r.retryAfters, a.RetryAfter)
			firstTry, triesSuffix, _ := strings.Cut(string(a.ID), "/")
			if remaining := r.timeout - (r.now + a.RetryAfter - r.arrivedAt[balancer.RequestID(firstTry)]); len(triesSuffix) < r.retries && remaining > 0 {
				id := balancer.RequestID(firstTry + "/" + triesSuffix + "x")
				r.dueEvents = append(r.dueEvents, rigEvent{r.now + a.RetryAfter, balancer.RequestArrived{ID: id, Class: strings.TrimRight(firstTry,
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
		for _, event := range r.dueEvents {
			if event.at <= r.now {
				due = append(due, event)
			} else {
				later = append(later, event)
			}
		}
		r.dueEvents = later
		for _, event := range due {
			if e, ok := event.event.(balancer.AttemptEnded); ok {
				e.RequestAnswered = r.answered[e.ID] || e.Outcome == balancer.OK
				firstTry, _, _ := strings.Cut(string(e.ID), "/")
				if e.Outcome == balancer.OK && !r.answered[e.ID] && r.now-r.arrivedAt[balancer.RequestID(firstTry)] < 600*time.Millisecond {
					r.inTime[strings.TrimRight(firstTry, "0123456789")]++
				}
				r.answered[e.ID] = e.RequestAnswered
				event.event = e
			}
			r.feed(event.event)
		}
		// The conversion keeps processors that fuse the two operations from sending fewer requests.
		for arrived += float64(rate * 0.005); arrived >= 1; arrived-- {
			r.nextID++
			id := balancer.RequestID(fmt.Sprint(class, r.nextID))
			r.arrivedAt[id] = r.now
			r.feed(balancer.RequestArrived{ID: id, Class: class, Timeout: r.timeout})
		}
	}
}

func (r *rig) reset() { r.sent, r.rejected, r.failed = map[balancer.EndpointID]int{}, 0, 0 }

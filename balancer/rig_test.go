package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
)

// rig feeds one module with a fleet of servers whose delays the test sets.
type rig struct {
	t        *testing.T
	m        *balancer.Balancer
	now      time.Duration
	delay    func(s balancer.EndpointID) (time.Duration, balancer.Outcome)
	due      []rigEvent
	sent     map[balancer.EndpointID]int
	last     map[balancer.RequestID]balancer.Action
	legs     map[balancer.RequestID]int
	over     map[balancer.RequestID]bool
	retries  int           // of a refused client, after its hold-off
	patience time.Duration // of a first try
	work     func(balancer.RequestID) time.Duration
	waits    []time.Duration // that refused clients were told
	inTime   map[string]int
	came     map[balancer.RequestID]time.Duration
	refused, failed,
	asks, next, accused int
}

type rigEvent struct {
	at time.Duration
	e  balancer.Event
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

func newRig(t *testing.T, s balancer.Settings, servers int) *rig {
	r := &rig{t: t, m: balancer.New(s, 5+7*int64(s.ProxyIndex)), now: time.Hour, sent: map[balancer.EndpointID]int{}, over: map[balancer.RequestID]bool{},
		last: map[balancer.RequestID]balancer.Action{}, legs: map[balancer.RequestID]int{}, patience: 2 * time.Second,
		inTime: map[string]int{}, came: map[balancer.RequestID]time.Duration{}}
	r.work = func(balancer.RequestID) time.Duration { return 0 }
	r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		return 50 * time.Millisecond, balancer.OK
	}
	var list []balancer.Endpoint
	for i := range servers {
		list = append(list, balancer.Endpoint{ID: balancer.EndpointID(i + 1), Zone: "z"})
	}
	r.feed(balancer.EndpointsUpdated{Kind: balancer.UpdateCached, Endpoints: list})
	return r
}

func (r *rig) feed(e balancer.Event) {
	for _, a := range r.m.Handle(r.now, e) {
		switch a := a.(type) {
		case balancer.StartAttempt:
			r.sent[a.Endpoint]++
			leg := r.legs[a.ID]
			r.legs[a.ID]++
			d, code := r.delay(a.Endpoint)
			d += r.work(a.ID)
			if d > a.Timeout {
				d, code = a.Timeout, balancer.TimedOut
			}
			r.due = append(r.due, rigEvent{r.now + d, balancer.AttemptEnded{ID: a.ID, Attempt: leg, Endpoint: a.Endpoint, Outcome: code, Elapsed: d}})
		case balancer.CancelAttempt:
			r.due = append(r.due, rigEvent{r.now + time.Millisecond, balancer.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: balancer.Cancelled}})
		case balancer.Reject:
			r.refused++
			r.over[a.ID], r.last[a.ID] = true, a
			r.waits = append(r.waits, a.RetryAfter)
			class, try, _ := strings.Cut(string(a.ID), "/")
			if left := r.patience - (r.now + a.RetryAfter - r.came[balancer.RequestID(class)]); len(try) < r.retries && left > 0 {
				id := balancer.RequestID(class + "/" + try + "x")
				r.due = append(r.due, rigEvent{r.now + a.RetryAfter, balancer.RequestArrived{ID: id, Class: strings.TrimRight(class,
					"0123456789"), Timeout: left}})
			}
		case balancer.Fail:
			r.failed++
			r.over[a.ID], r.last[a.ID] = true, a
		case balancer.SetTimer:
			r.due = append(r.due, rigEvent{r.now + a.After, balancer.TimerFired{Token: a.Token}})
		case balancer.Log:
			r.accused++
		case balancer.Subscribe:
			r.asks++
			r.due = append(r.due, rigEvent{r.now + time.Second, balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}})
		}
	}
}

// run plays some time with so many arrivals a second of a class.
func (r *rig) run(length time.Duration, rate float64, class string) {
	arrived := 0.0
	for end := r.now + length; r.now < end; r.now += 5 * time.Millisecond {
		var rest, now []rigEvent
		for _, d := range r.due {
			if d.at <= r.now {
				now = append(now, d)
			} else {
				rest = append(rest, d)
			}
		}
		r.due = rest
		for _, d := range now {
			if e, ok := d.e.(balancer.AttemptEnded); ok {
				e.RequestAnswered = r.over[e.ID] || e.Outcome == balancer.OK
				first, _, _ := strings.Cut(string(e.ID), "/")
				if e.Outcome == balancer.OK && !r.over[e.ID] && r.now-r.came[balancer.RequestID(first)] < 600*time.Millisecond {
					r.inTime[strings.TrimRight(first, "0123456789")]++
				}
				r.over[e.ID] = e.RequestAnswered
				d.e = e
			}
			r.feed(d.e)
		}
		for arrived += rate * 0.005; arrived >= 1; arrived-- {
			r.next++
			id := balancer.RequestID(fmt.Sprint(class, r.next))
			r.came[id] = r.now
			r.feed(balancer.RequestArrived{ID: id, Class: class, Timeout: r.patience})
		}
	}
}

func (r *rig) reset() { r.sent, r.refused, r.failed = map[balancer.EndpointID]int{}, 0, 0 }

package balancer_test

import (
	"fmt"
	"time"

	"wrenspread/balancer"
)

// A caller passes events to the balancer and carries out the returned actions.
func Example() {
	proxy := balancer.New(balancer.Settings{
		Proxies: 1, MaxAttempts: 3, SlowStartInitial: 0.5, SlowStartDuration: 5 * time.Second,
		Classes: []balancer.Class{{Name: "page", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: balancer.Idempotent}},
	}, 1)
	clock := 10 * time.Second
	proxy.Handle(clock, balancer.EndpointsUpdated{Kind: balancer.UpdateCached, Endpoints: []balancer.Endpoint{{ID: 7, State: balancer.Ready}}})
	for _, a := range proxy.Handle(clock, balancer.RequestArrived{ID: "r1", Class: "page", Timeout: time.Second}) {
		if s, ok := a.(balancer.StartAttempt); ok {
			fmt.Printf("send %s to endpoint %d with timeout %v\n", s.ID, s.Endpoint, s.Timeout)
		}
	}
	// Output: send r1 to endpoint 7 with timeout 1s
}

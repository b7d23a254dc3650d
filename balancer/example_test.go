package balancer_test

import (
	"fmt"
	"time"

	"wrenspread/balancer"
)

// A node asks the module where a request goes, with no wire in between.
func Example() {
	m := balancer.New(balancer.Settings{
		Nodes: 1, MaxAttempts: 3, ColdFrom: 0.5, ColdTime: 5 * time.Second,
		Classes: []balancer.Class{{Name: "page", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: balancer.Safe}},
	}, 1)
	clock := 10 * time.Second
	m.Handle(clock, balancer.ListUpdate{Kind: balancer.ListCached, Entries: []balancer.Server{{ID: 7, State: balancer.Ready}}})
	for _, a := range m.Handle(clock, balancer.RequestArrived{ID: "r1", Class: "page", Patience: time.Second}) {
		if s, ok := a.(balancer.Send); ok {
			fmt.Printf("send %s to server %d for %v\n", s.ID, s.Server, s.Timeout)
		}
	}
	// Output: send r1 to server 7 for 1s
}

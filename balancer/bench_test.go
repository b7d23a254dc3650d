package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/balancer"
)

// BenchmarkRequest measures a request that arrives, is sent and is answered, at a steady 1,000 requests per
// second, together with its part of the round of checks every 25 ms.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{10, 200, 1000} {
		b.Run(fmt.Sprintf("servers=%d", endpoints), func(b *testing.B) { benchmarkRequest(b, endpoints) })
	}
}

func benchmarkRequest(b *testing.B, endpoints int) {
	proxy, now := balancer.New(rigSettings(), 1), time.Hour
	var list []balancer.Endpoint
	for i := range endpoints {
		list = append(list, balancer.Endpoint{ID: balancer.EndpointID(i + 1)})
	}
	proxy.Handle(now, balancer.EndpointsUpdated{Kind: balancer.UpdateCached, Endpoints: list})
	ids := make([]balancer.RequestID, 1000) // created in advance, as formatting them is the caller's cost
	for i := range ids {
		ids[i] = balancer.RequestID(fmt.Sprint(i))
	}
	cycle := func(i int) {
		id, sent := ids[i%len(ids)], false
		now += time.Millisecond
		for _, a := range proxy.Handle(now, balancer.RequestArrived{ID: id, Class: "low", Timeout: time.Second}) {
			if attempt, ok := a.(balancer.StartAttempt); ok {
				proxy.Handle(now, balancer.AttemptEnded{ID: id, Endpoint: attempt.Endpoint, Outcome: balancer.OK, RequestAnswered: true, Elapsed: time.Millisecond})
				sent = true
			}
		}
		if !sent {
			b.Fatalf("request %d was not sent", i)
		}
		if i%25 == 0 {
			proxy.Handle(now, balancer.TimerFired{})
		}
	}
	for i := range 5 * endpoints { // until the balancer has estimates for its endpoints
		cycle(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		cycle(i)
	}
}

package quota

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// BenchmarkRequest is what a request pays the ledger for each limit that it touches.
func BenchmarkRequest(b *testing.B) {
	for _, limits := range []int{10, 9_999} {
		b.Run(fmt.Sprint(limits), func(b *testing.B) {
			l := NewLedger(LedgerConfig{Name: "n", Generation: 1})
			l.Handle(0, TableChanged{Current: books(ratelimit.Limit{}, make([]ratelimit.Limit, limits)...)})
			b.ReportAllocs()
			for i := range b.N {
				l.AdvanceTo(time.Duration(i))
				if l.Available(i%limits) >= 1 {
					l.Take(i%limits, 1)
				} else {
					l.Rejected(i%limits, 1)
				}
			}
		})
	}
}

// BenchmarkClaim is what a holder pays for a claim of one busy limit, of as many proxies.
func BenchmarkClaim(b *testing.B) {
	for _, nodes := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			a := NewAllocator(AllocatorConfig{Name: "h"})
			table := books(ratelimit.Limit{}, ratelimit.Limit{Rate: 1e5, Burst: 1e5}, ratelimit.Limit{Rate: 10, Burst: 10})
			a.Handle(0, TableChanged{Current: table})
			a.Handle(0, ExpectedProxies{nodes})
			a.Handle(0, LeaseHeld{1, time.Hour * 1000})
			a.Handle(0, RecordRead{Token: 1})
			c := claimMessage{token: 1, generation: 1, table: 1, fallbackSuspendable: true, items: []claimItem{{hash: a.limits.all[0].hash, demand: 10}}}
			now := 2 * time.Second
			b.ReportAllocs()
			for i := range 3*nodes + b.N {
				if i == 3*nodes { // all have joined and settled
					b.ResetTimer()
				}
				now += a.times.renewInterval / time.Duration(nodes)
				c.name, c.number = fmt.Sprintf("n%d", i%nodes), uint32(i/nodes+1)
				a.Handle(now, Message{c.encode(0)})
			}
		})
	}
}

package quota

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// BenchmarkRequest measures the ledger's cost of a request for each limit that applies to the request.
func BenchmarkRequest(b *testing.B) {
	for _, limitCount := range []int{10, 9_999} {
		b.Run(fmt.Sprint(limitCount), func(b *testing.B) {
			l := NewLedger(LedgerConfig{Name: "n", Generation: 1})
			l.Handle(0, TableChanged{Current: tableOf(ratelimit.Limit{}, make([]ratelimit.Limit, limitCount)...)})
			b.ReportAllocs()
			for i := range b.N {
				l.AdvanceTo(time.Duration(i))
				if l.Available(i%limitCount) >= 1 {
					l.Take(i%limitCount, 1)
				} else {
					l.Rejected(i%limitCount, 1)
				}
			}
		})
	}
}

// BenchmarkClaim measures the allocator's cost of a claim of one busy limit, by the number of proxies.
func BenchmarkClaim(b *testing.B) {
	for _, proxies := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			a := NewAllocator(AllocatorConfig{Name: "h"})
			table := tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 1e5, Burst: 1e5}, ratelimit.Limit{Rate: 10, Burst: 10})
			a.Handle(0, TableChanged{Current: table})
			a.Handle(0, ExpectedProxies{proxies})
			a.Handle(0, LeaseHeld{1, time.Hour * 1000})
			a.Handle(0, RecordRead{Token: 1})
			c := claimMessage{token: 1, generation: 1, tableVersion: 1, fallbackSuspendable: true, items: []claimItem{{hash: a.limits.byIndex[0].hash, demand: 10}}}
			now := 2 * time.Second
			b.ReportAllocs()
			for i := range 3*proxies + b.N {
				if i == 3*proxies { // by then all proxies have joined and settled
					b.ResetTimer()
				}
				now += a.times.renewInterval / time.Duration(proxies)
				c.name, c.number = fmt.Sprintf("n%d", i%proxies), uint32(i/proxies+1)
				a.Handle(now, Message{c.encode(0)})
			}
		})
	}
}

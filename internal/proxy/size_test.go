package proxy

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
)

// BenchmarkFollow is what a list of some size costs a whole proxy: one change of it, what runs at rest, memory for a server.
func BenchmarkFollow(b *testing.B) {
	var kept []*Server // their timers hold them for a while, which must not spoil the memory of the next
	defer func() { runtime.KeepAlive(kept) }()
	for _, servers := range []int{200, 2000, 20000, 54000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cfg := testConfig("127.0.0.1:1")
		cfg.Settings.Proxies, cfg.Settings.ProxyIndex, cfg.Settings.AllowGossip = 300, 100, true
		n := New(cfg, quiet)
		kept = append(kept, n)
		close(n.ended) // no loop runs: what timers post is dropped
		entry := func(i int, status string) registry.Endpoint {
			return registry.Endpoint{Name: fmt.Sprint("service-a-", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Zone: "zone-a", Type: "m2", Status: status}
		}
		whole := registry.ListResponse{Index: 1, Snapshot: true}
		for i := range servers {
			whole.Endpoints = append(whole.Endpoints, entry(i, registry.Ready))
		}
		n.applyList(whole, balancer.UpdateComplete)
		whole.Endpoints = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprintf("change/servers=%d", servers), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				status := registry.Removed
				if i%2 > 0 {
					status = registry.Ready
				}
				n.applyList(registry.ListResponse{Index: uint64(i + 2), Endpoints: []registry.Endpoint{entry(i/2*7919%servers, status)}}, balancer.UpdateIncremental)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(servers), "B/server")
		})
		b.Run(fmt.Sprintf("rest/servers=%d", servers), func(b *testing.B) { // a round of checks, one of idle connections
			for b.Loop() {
				n.handle(balancer.TimerFired{})
				n.pool.expire(time.Now())
			}
		})
	}
}

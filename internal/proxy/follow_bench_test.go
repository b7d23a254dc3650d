package proxy

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
)

// BenchmarkFollow measures the cost of an endpoint list in a complete proxy: the time of one change of the
// list, the time of the periodic work without changes, and the memory per endpoint.
func BenchmarkFollow(b *testing.B) {
	var retained []*Server // timers retain the servers for some time; keep all of them, so that a freed one does not distort the next memory figure
	defer func() { runtime.KeepAlive(retained) }()
	for _, servers := range []int{200, 2000, 20000, 54000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cfg := testConfig("127.0.0.1:1")
		cfg.Settings.Proxies, cfg.Settings.ProxyIndex, cfg.Settings.AllowGossip = 300, 100, true
		srv := New(cfg, discardLog)
		retained = append(retained, srv)
		close(srv.ended) // no loop runs: functions posted by timers are dropped
		entry := func(i int, status string) registry.Endpoint {
			return registry.Endpoint{Name: fmt.Sprint("service-a-", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Zone: "zone-a", Type: "m2", Status: status}
		}
		snapshot := registry.ListResponse{Index: 1, Snapshot: true}
		for i := range servers {
			snapshot.Endpoints = append(snapshot.Endpoints, entry(i, registry.Ready))
		}
		srv.applyList(snapshot, balancer.UpdateComplete)
		snapshot.Endpoints = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprintf("change/servers=%d", servers), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				status := registry.Removed
				if i%2 > 0 {
					status = registry.Ready
				}
				srv.applyList(registry.ListResponse{Index: uint64(i + 2), Endpoints: []registry.Endpoint{entry(i/2*7919%servers, status)}}, balancer.UpdateIncremental)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(servers), "B/server")
		})
		b.Run(fmt.Sprintf("rest/servers=%d", servers), func(b *testing.B) { // one round of the balancer's timer and one of the expiry of idle connections
			for b.Loop() {
				srv.handle(balancer.TimerFired{})
				srv.pool.expire(time.Now())
			}
		})
	}
}

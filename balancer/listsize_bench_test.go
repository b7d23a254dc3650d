package balancer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wrenspread/balancer"
)

// newProxyWithMemoryUse returns a proxy that shares a list of endpoints with other proxies, and the memory
// that it uses for each endpoint, in bytes.
func newProxyWithMemoryUse(proxies, endpoints int) (proxy *balancer.Balancer, bytesPerEndpoint float64) {
	settings := rigSettings()
	settings.Proxies, settings.ProxyIndex, settings.AllowGossip = proxies, proxies/3, true
	list := make([]balancer.Endpoint, endpoints)
	for i := range list {
		list[i] = balancer.Endpoint{ID: balancer.EndpointID(i + 1), Zone: "a", MachineType: "k"}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	proxy = balancer.New(settings, 1)
	proxy.Handle(time.Hour, balancer.EndpointsUpdated{Kind: balancer.UpdateComplete, Endpoints: list})
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(list)
	return proxy, (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(endpoints)
}

// BenchmarkSize measures what a list of some size costs a proxy: a change of one entry, a round of checks,
// and the memory for an endpoint.
func BenchmarkSize(b *testing.B) {
	for _, proxies := range []int{300, 4300} {
		for _, endpoints := range []int{200, 2000, 20000, 54000} {
			proxy, bytesPerEndpoint := newProxyWithMemoryUse(proxies, endpoints)
			now := time.Hour
			b.Run(fmt.Sprintf("change/nodes=%d/servers=%d", proxies, endpoints), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					e := balancer.Endpoint{ID: balancer.EndpointID(1 + i/2*7919%endpoints), Zone: "a", MachineType: "k", State: balancer.EndpointState(2 - i%2*2)}
					proxy.Handle(now, balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: []balancer.Endpoint{e}})
				}
				b.ReportMetric(bytesPerEndpoint, "B/server")
			})
			b.Run(fmt.Sprintf("tick/nodes=%d/servers=%d", proxies, endpoints), func(b *testing.B) {
				for b.Loop() {
					now += 25 * time.Millisecond
					proxy.Handle(now, balancer.TimerFired{})
					proxy.Unavailable()
				}
			})
		}
	}
}

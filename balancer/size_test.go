package balancer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wrenspread/balancer"
)

// sized is a module of a node that shares its servers with others and knows so many, and what it holds for each.
func sized(nodes, servers int) (m *balancer.Balancer, each float64) {
	s := rigSettings()
	s.Proxies, s.ProxyIndex, s.AllowGossip = nodes, nodes/3, true
	list := make([]balancer.Endpoint, servers)
	for i := range list {
		list[i] = balancer.Endpoint{ID: balancer.EndpointID(i + 1), Zone: "a", MachineType: "k"}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m = balancer.New(s, 1)
	m.Handle(time.Hour, balancer.EndpointsUpdated{Kind: balancer.UpdateComplete, Endpoints: list})
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(list)
	return m, (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(servers)
}

// BenchmarkSize is what a list of some size costs a node: one change of it, one round of checks, memory for a server.
func BenchmarkSize(b *testing.B) {
	for _, nodes := range []int{300, 4300} {
		for _, servers := range []int{200, 2000, 20000, 54000} {
			m, each := sized(nodes, servers)
			now := time.Hour
			b.Run(fmt.Sprintf("change/nodes=%d/servers=%d", nodes, servers), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					e := balancer.Endpoint{ID: balancer.EndpointID(1 + i/2*7919%servers), Zone: "a", MachineType: "k", State: balancer.EndpointState(2 - i%2*2)}
					m.Handle(now, balancer.EndpointsUpdated{Kind: balancer.UpdateIncremental, Endpoints: []balancer.Endpoint{e}})
				}
				b.ReportMetric(each, "B/server")
			})
			b.Run(fmt.Sprintf("tick/nodes=%d/servers=%d", nodes, servers), func(b *testing.B) {
				for b.Loop() {
					now += 25 * time.Millisecond
					m.Handle(now, balancer.TimerFired{})
					m.Ejected()
				}
			})
		}
	}
}

package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/balancer"
)

// fallen gives the node of a fleet after ten seconds of traffic, from when on all servers refuse or are silent. Each
// attempt from then on is told.
func fallen(t *testing.T, nodes, node, servers int, rate float64, class string, code balancer.Outcome, sent func(at time.Duration)) *rig {
	s := rigSettings()
	s.Proxies, s.ProxyIndex = nodes, node
	r := newRig(t, s, servers)
	r.run(10*time.Second, rate, class)
	start := r.now
	r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		sent(r.now - start)
		if code == balancer.TimedOut {
			return time.Hour, code
		}
		return time.Millisecond, code
	}
	return r
}

// A node whose every server refuses or is silent makes an attempt all the same: 3 s after the one before at the latest,
// with the next request that may be repeated. Where none may, nothing is tried, and the first that may is.
func TestNodeWithoutServersIsNotIdle(t *testing.T) {
	for _, servers := range []int{1, 2, 10, 40} {
		for code, name := range map[balancer.Outcome]string{balancer.ConnectFailed: "refusing", balancer.TimedOut: "silent"} {
			for _, rate := range []float64{4, 10, 40} {
				t.Run(fmt.Sprint(servers, " servers, ", name, ", ", rate, " requests a second"), func(t *testing.T) {
					for node := range 3 {
						last, longest := time.Duration(0), time.Duration(0)
						r := fallen(t, 3, node, servers, rate, "cheap", code, func(at time.Duration) { last, longest = at, max(longest, at-last) })
						r.run(time.Minute, rate, "cheap")
						longest = max(longest, time.Minute-last)
						if limit := 3*time.Second + time.Duration(float64(time.Second)/rate) + 10*time.Millisecond; longest > limit {
							t.Errorf("%v without an attempt, want %v at most", longest, limit)
						}
					}
				})
			}
		}
	}
	sends := 0
	r := fallen(t, 1, 0, 2, 40, "once", balancer.ConnectFailed, func(time.Duration) { sends++ })
	r.run(10*time.Second, 40, "once")
	before := sends
	if r.run(time.Minute, 40, "once"); sends != before {
		t.Errorf("%d trials of requests that must not run twice", sends-before)
	}
	if r.run(10*time.Millisecond, 100, "cheap"); sends == before {
		t.Error("no trial of the first that may")
	}
}

// Nodes that lost all servers together are no herd: each makes two attempts in 5 s, and they spread.
func TestNodesWithoutServersAreNoHerd(t *testing.T) {
	for _, nodes := range []int{30, 300} {
		seconds, all := map[time.Duration]int{}, 0
		for node := range nodes {
			r := fallen(t, nodes, node, 2, 4, "cheap", balancer.ConnectFailed, func(at time.Duration) { seconds[at/time.Second]++ })
			r.run(time.Minute, 4, "cheap")
		}
		for second, n := range seconds {
			if second >= 20 {
				all += n
				if float64(n) > 0.8*float64(nodes) {
					t.Errorf("%d nodes: %d attempts in one second", nodes, n)
				}
			}
		}
		if each := float64(all) / 40 / float64(nodes); each > 0.42 {
			t.Errorf("%d nodes: %.2f attempts a second of each", nodes, each)
		}
	}
}

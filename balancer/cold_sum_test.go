package balancer_test

import (
	"fmt"
	"testing"
	"time"
)

// A starting endpoint fails if all proxies together send it more than N + 2 sqrt(N) + 2 within the overload
// duration. The proxies know nothing of each other's attempts, so this must hold for any number of proxies,
// also if the endpoint's latency shows no queue that would keep proxies away. On the other hand the endpoint
// has to get the work that it can do, which is a third of N here, or nearly so much where it is needed.
func TestAllProxiesTogetherDoNotOverloadSlowStart(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name     string
		scenario slowStartScenario
		used     float64 // smallest fraction of all N that the endpoint gets, on average over the runs
	}{
		{"joined", slowStartScenario{load: 0.7}, 0.15},
		{"joined, busy", slowStartScenario{load: 1.1}, 0.25},
		{"returned, busy", slowStartScenario{load: 1.1, downFor: s}, 0.2},
		{"returned into a burst", slowStartScenario{load: 0.7, downFor: s, burstAt: 1}, 0.15},
		{"told late, burst", slowStartScenario{load: 0.7, downFor: 2 * s, listingDelay: 6 * s, burstAt: 6 * s}, 0.15},
		{"nodes restart, burst", slowStartScenario{load: 0.7, downFor: 2 * s, proxiesRestart: true, burstAt: 8 * s}, 0.15},
		{"suspects, burst", slowStartScenario{load: 0.7, downFor: 2 * s, refusalsAt: 1, burstAt: 3 * s}, 0.1},
		{"cut off in its ramp", slowStartScenario{load: 0.7, cutOffAt: 3 * s}, 0.15},
		{"cut off, busy", slowStartScenario{load: 1.1, cutOffAt: 3 * s}, 0.25},
		{"suspects after a quiet time", slowStartScenario{load: 0.25, downFor: s, refusalsAt: 4 * s, burstAt: 4 * s}, 0.08},
		{"small, returned, busy", slowStartScenario{load: 1.1, downFor: s, endpointSize: 0.3}, 0.15},
		{"large, busy", slowStartScenario{load: 1.1, endpointSize: 2}, 0.25},
		{"half of the nodes are dead, busy", slowStartScenario{load: 1.1, deadProxies: 0.5}, 0.25},
		{"heavy requests, burst", slowStartScenario{load: 0.7, downFor: 2 * s, mixedWork: true, burstAt: 3 * s}, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			total, plays := 0.0, 0.0
			for _, n := range []int{1, 3, 10, 20, 30, 300} {
				for _, flat := range []bool{true, false} {
					if n == 300 && (!flat || c.scenario.load < 1 && c.scenario.listingDelay == 0) {
						continue // the simulation is slow: only the hard scenarios
					}
					d := c.scenario
					d.proxies, d.endpoints, d.hidesQueue, d.endpointRate, d.minLatency = n, max(8, n/6), flat, 16, 30*time.Millisecond
					d.overloadFactor, d.overloadDuration, d.slowStartDuration = 3, 1500*time.Millisecond, 20*s
					name := fmt.Sprintf("%d nodes, flat %v", n, flat)
					windows, over, worst, used := playSlowStart(d, int64(n)).countOverloadedWindows()
					t.Logf("%s: %.0f%% of its budget used, at most %.2f of the bound", name, 100*used, worst)
					if over > 0 {
						t.Errorf("%s: %d of %d windows over the bound, the worst at %.2f of it", name, over, windows, worst)
					}
					total, plays = total+used, plays+1
				}
			}
			if total < c.used*plays {
				t.Errorf("the endpoint got %.3f of its budget, want %.2f", total/plays, c.used)
			}
		})
	}
}

// The bound depends only on the settings, so it holds for slow endpoints and short windows, too, where N is
// about one.
func TestAllProxiesTogetherDoNotOverloadSlowStartAtLowRates(t *testing.T) {
	for seed := range int64(3) {
		for _, n := range []int{3, 10, 30} {
			for _, heavy := range []bool{true, false} {
				windows, over, worst, _ := playSlowStart(slowStartScenario{proxies: n, endpoints: 8, load: 1.1, endpointRate: 4, minLatency: 30 * time.Millisecond,
					hidesQueue: true, downFor: time.Second, burstAt: 1, mixedWork: heavy, overloadFactor: 1.5, overloadDuration: 750 * time.Millisecond, slowStartDuration: 20 * time.Second}, seed).countOverloadedWindows()
				if over > 0 {
					t.Errorf("%d proxies: %d of %d windows over the bound, the worst at %.2f of it", n, over, windows, worst)
				}
			}
		}
	}
}

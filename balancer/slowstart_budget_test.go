package balancer_test

import (
	"fmt"
	"testing"
	"time"
)

// A starting endpoint fails if all proxies together send it more than N + 2 sqrt(N) + 2 requests within the
// overload duration, with N as in countOverloadedWindows. The proxies know nothing of each other's attempts,
// so this must hold for any number of proxies, and also if the endpoint's latency shows no queue that would
// keep proxies away. On the other hand, the endpoint must get about as much work as it can do, which is a
// third of N here, where the work is needed.
func TestAllProxiesTogetherDoNotOverloadSlowStart(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name     string
		scenario slowStartScenario
		minUsed  float64 // smallest fraction of what the settings allow that the endpoint gets, on average over the simulations
	}{
		{"new endpoint", slowStartScenario{load: 0.7}, 0.15},
		{"new endpoint, high load", slowStartScenario{load: 1.1}, 0.25},
		{"returned endpoint, high load", slowStartScenario{load: 1.1, downFor: s}, 0.2},
		{"returned endpoint, burst at its start", slowStartScenario{load: 0.7, downFor: s, burstAt: 1}, 0.15},
		{"late listing, burst", slowStartScenario{load: 0.7, downFor: 2 * s, listingDelay: 6 * s, burstAt: 6 * s}, 0.15},
		{"proxies restart, burst", slowStartScenario{load: 0.7, downFor: 2 * s, proxiesRestart: true, burstAt: 8 * s}, 0.15},
		{"other endpoints ejected, burst", slowStartScenario{load: 0.7, downFor: 2 * s, refusalsAt: 1, burstAt: 3 * s}, 0.1},
		{"connections fail during the slow start", slowStartScenario{load: 0.7, connectionsFailAt: 3 * s}, 0.15},
		{"connections fail, high load", slowStartScenario{load: 1.1, connectionsFailAt: 3 * s}, 0.25},
		{"other endpoints ejected after low load", slowStartScenario{load: 0.25, downFor: s, refusalsAt: 4 * s, burstAt: 4 * s}, 0.08},
		{"small returned endpoint, high load", slowStartScenario{load: 1.1, downFor: s, endpointCapacity: 0.3}, 0.15},
		{"large new endpoint, high load", slowStartScenario{load: 1.1, endpointCapacity: 2}, 0.25},
		{"half of the proxies stopped, high load", slowStartScenario{load: 1.1, stoppedProxies: 0.5}, 0.25},
		{"mixed work, burst", slowStartScenario{load: 0.7, downFor: 2 * s, mixedWork: true, burstAt: 3 * s}, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			totalUsed, simulations := 0.0, 0.0
			for _, proxies := range []int{1, 3, 10, 20, 30, 300} {
				for _, hidesQueue := range []bool{true, false} {
					if proxies == 300 && (!hidesQueue || c.scenario.load < 1 && c.scenario.listingDelay == 0) {
						continue // the simulation is slow: only the hard scenarios
					}
					scenario := c.scenario
					scenario.proxies, scenario.endpoints, scenario.hidesQueue, scenario.endpointRate, scenario.minLatency = proxies, max(8, proxies/6), hidesQueue, 16, 30*time.Millisecond
					scenario.overloadFactor, scenario.overloadDuration, scenario.slowStartDuration = 3, 1500*time.Millisecond, 20*s
					name := fmt.Sprintf("%d proxies, queue hidden: %v", proxies, hidesQueue)
					windows, overloaded, worst, used := simulateSlowStart(scenario, int64(proxies)).countOverloadedWindows()
					t.Logf("%s: %.0f%% of its budget used, at most %.2f of the bound", name, 100*used, worst)
					if overloaded > 0 {
						t.Errorf("%s: %d of %d windows over the bound, the worst at %.2f of it", name, overloaded, windows, worst)
					}
					totalUsed, simulations = totalUsed+used, simulations+1
				}
			}
			if totalUsed < c.minUsed*simulations {
				t.Errorf("the endpoint got %.3f of its budget, want %.2f", totalUsed/simulations, c.minUsed)
			}
		})
	}
}

// The bound depends only on the settings, so it holds for slow endpoints and short windows, too, where N is
// about one.
func TestAllProxiesTogetherDoNotOverloadSlowStartAtLowRates(t *testing.T) {
	for seed := range int64(3) {
		for _, proxies := range []int{3, 10, 30} {
			for _, mixedWork := range []bool{true, false} {
				windows, overloaded, worst, _ := simulateSlowStart(slowStartScenario{proxies: proxies, endpoints: 8, load: 1.1, endpointRate: 4, minLatency: 30 * time.Millisecond,
					hidesQueue: true, downFor: time.Second, burstAt: 1, mixedWork: mixedWork, overloadFactor: 1.5, overloadDuration: 750 * time.Millisecond, slowStartDuration: 20 * time.Second}, seed).countOverloadedWindows()
				if overloaded > 0 {
					t.Errorf("%d proxies: %d of %d windows over the bound, the worst at %.2f of it", proxies, overloaded, windows, worst)
				}
			}
		}
	}
}

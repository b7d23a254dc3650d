package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/balancer"
)

// newRigWithFailingEndpoints returns the rig of a proxy after ten seconds of traffic. From then on all
// endpoints fail with the outcome, and sent is called with the time of each attempt since then.
func newRigWithFailingEndpoints(t *testing.T, proxies, proxyIndex, endpoints int, rate float64, class string, outcome balancer.Outcome, sent func(at time.Duration)) *rig {
	settings := rigSettings()
	settings.Proxies, settings.ProxyIndex = proxies, proxyIndex
	r := newRig(t, settings, endpoints)
	r.run(10*time.Second, rate, class)
	start := r.now
	r.delay = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		sent(r.now - start)
		if outcome == balancer.TimedOut {
			return time.Hour, outcome
		}
		return time.Millisecond, outcome
	}
	return r
}

// A proxy whose endpoints all refuse connections or do not respond still makes an attempt every 3 s at least,
// with the next request that may be repeated. It never uses a request that must not run twice.
func TestProxyWithoutWarmEndpointsKeepsProbing(t *testing.T) {
	for _, endpoints := range []int{1, 2, 10, 40} {
		for outcome, name := range map[balancer.Outcome]string{balancer.ConnectFailed: "refused", balancer.TimedOut: "unanswered"} {
			for _, rate := range []float64{4, 10, 40} {
				t.Run(fmt.Sprint(endpoints, " endpoints, attempts ", name, ", ", rate, " requests per second"), func(t *testing.T) {
					for proxyIndex := range 3 {
						lastAttempt, longestPause := time.Duration(0), time.Duration(0)
						r := newRigWithFailingEndpoints(t, 3, proxyIndex, endpoints, rate, "low", outcome, func(at time.Duration) { lastAttempt, longestPause = at, max(longestPause, at-lastAttempt) })
						r.run(time.Minute, rate, "low")
						longestPause = max(longestPause, time.Minute-lastAttempt)
						if limit := 3*time.Second + time.Duration(float64(time.Second)/rate) + 10*time.Millisecond; longestPause > limit {
							t.Errorf("%v without an attempt, want at most %v", longestPause, limit)
						}
					}
				})
			}
		}
	}
	attempts := 0
	r := newRigWithFailingEndpoints(t, 1, 0, 2, 40, "nonidempotent", balancer.ConnectFailed, func(time.Duration) { attempts++ })
	r.run(10*time.Second, 40, "nonidempotent")
	attemptsBefore := attempts
	if r.run(time.Minute, 40, "nonidempotent"); attempts != attemptsBefore {
		t.Errorf("%d recovery probes of requests that must not run twice", attempts-attemptsBefore)
	}
	if r.run(10*time.Millisecond, 100, "low"); attempts == attemptsBefore {
		t.Error("no recovery probe with the first request that may be repeated")
	}
}

// Proxies that have lost all endpoints at the same time do not all probe at the same time: each makes
// two attempts in 5 s, and the attempts are spread.
func TestProxiesWithoutWarmEndpointsSpreadTheirProbes(t *testing.T) {
	for _, proxies := range []int{30, 300} {
		attemptsBySecond, total := map[time.Duration]int{}, 0
		for proxyIndex := range proxies {
			r := newRigWithFailingEndpoints(t, proxies, proxyIndex, 2, 4, "low", balancer.ConnectFailed, func(at time.Duration) { attemptsBySecond[at/time.Second]++ })
			r.run(time.Minute, 4, "low")
		}
		for second, n := range attemptsBySecond {
			if second >= 20 {
				total += n
				if float64(n) > 0.8*float64(proxies) {
					t.Errorf("%d proxies: %d attempts in one second", proxies, n)
				}
			}
		}
		if perProxy := float64(total) / 40 / float64(proxies); perProxy > 0.42 {
			t.Errorf("%d proxies: %.2f attempts per second and proxy", proxies, perProxy)
		}
	}
}

package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// newProxyOfMany returns one of many proxies, without estimates.
func newProxyOfMany(proxyIndex, proxies, endpoints int) *Balancer {
	proxy := New(Settings{Proxies: proxies, ProxyIndex: proxyIndex, MaxAttempts: 3, MinEventInterval: 5 * time.Millisecond, SlowStartInitial: 0.3,
		SlowStartDuration: 8 * time.Second, OverloadFactor: 2.5, OverloadDuration: time.Second, ConnectTimeout: 100 * time.Millisecond,
		Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent}}}, int64(proxyIndex))
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z"})
	}
	proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: list})
	return proxy
}

// Endpoints accept few connections: each of many proxies uses a subset of them, and all endpoints are used by
// about the same number of proxies.
func TestSubsetsSpreadProxiesEvenlyOverEndpoints(t *testing.T) {
	const proxies, endpoints = 360, 60
	count := map[EndpointID]int{}
	for proxyIndex := range proxies {
		proxy := newProxyOfMany(proxyIndex, proxies, endpoints)
		if len(proxy.placements[0].candidates) != 5 {
			t.Fatalf("proxy %d uses %d endpoints, want %v", proxyIndex, len(proxy.placements[0].candidates), 5)
		}
		for _, ep := range proxy.placements[0].candidates {
			count[ep.ID]++
		}
	}
	want := proxies * 5 / endpoints
	for id := range endpoints {
		if n := count[EndpointID(id+1)]; n < want-3 || n > want+3 {
			t.Errorf("endpoint %d is used by %d proxies, want about %d", id+1, n, want)
		}
	}
	if proxy := newProxyOfMany(2, 3, 20); len(proxy.placements[0].candidates) != 20 {
		t.Errorf("one of 3 proxies uses %d of 20 endpoints", len(proxy.placements[0].candidates))
	}
}

// An endpoint that leaves the list changes few of the endpoints that a proxy uses. The next endpoint replaces
// an ejected one.
func TestSubsetChangesLittleWhenAnEndpointLeaves(t *testing.T) {
	for proxyIndex := range 50 {
		proxy := newProxyOfMany(proxyIndex, 360, 60)
		before := map[EndpointID]bool{}
		for _, ep := range proxy.placements[0].candidates {
			before[ep.ID] = true
		}
		proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 7, State: Removed}}})
		changed := 0
		for _, ep := range proxy.placements[0].candidates {
			if !before[ep.ID] {
				changed++
			}
		}
		if changed > 2 {
			t.Errorf("proxy %d: %d of %d candidates changed when one endpoint left", proxyIndex, changed, len(proxy.placements[0].candidates))
		}
		first := proxy.placements[0].candidates[0]
		proxy.eject(first, "test")
		if proxy.updateCandidates(); len(proxy.placements[0].candidates) != 5 || proxy.placements[0].candidates[0] == first {
			t.Errorf("proxy %d: an ejected endpoint remains a candidate", proxyIndex)
		}
	}
}

// newPooledProxy returns one of many proxies, with 0.5 responses per second of 100 ms from each of its
// endpoints.
func newPooledProxy(t *testing.T) *Balancer {
	proxy := newProxyOfMany(1, 360, 60)
	proxy.hasEstimates, proxy.meanLatency, proxy.baseLatency, proxy.tightestObjective, proxy.meanRate, proxy.peakRate = true, 0.1, 0.1, 1, 0.5, 0.5
	for _, ep := range proxy.placements[0].candidates {
		ep.responseRate, ep.responseRateAt, ep.observedSince = 0.5, proxy.now, proxy.now-time.Hour
		ep.inFlightLimit = proxy.computeInFlightLimit(ep)
	}
	if proxy.updatePooledMode(proxy.placements[0]); !proxy.placements[0].usesPooledMode {
		t.Fatalf("in-flight limit %v, but no pooled mode", proxy.computeInFlightLimit(proxy.placements[0].candidates[0]))
	}
	return proxy
}

// A proxy with few requests at each endpoint must not shed because some of them coincide by chance. It must
// shed if their number stays high. The counts are therefore added up and smoothed.
func TestPooledModeUsesSmoothedSums(t *testing.T) {
	proxy := newPooledProxy(t)
	limit := 0.0
	for _, ep := range proxy.placements[0].candidates {
		limit += proxy.computeInFlightLimit(ep)
	}
	proxy.placements[0].candidates[0].inFlight = 1
	if proxy.updatePooledMode(proxy.placements[0]); proxy.placements[0].mode != Normal || proxy.updateMode(proxy.placements[0], proxy.placements[0].candidates[0]) != Normal {
		t.Errorf("one request, just sent, at a common limit of %.2f: mode %v", limit, proxy.placements[0].mode)
	}
	proxy.placements[0].candidates[0].inFlight, proxy.placements[0].candidates[1].inFlight = 2, 2
	if proxy.updatePooledMode(proxy.placements[0]); proxy.placements[0].mode == Normal {
		t.Errorf("four requests at once at a common limit of %.2f: normal mode", limit)
	}
	proxy = newPooledProxy(t)
	for _, ep := range proxy.placements[0].candidates {
		ep.inFlight = 0.25 // 1.5 in total
	}
	proxy.placements[0].smoothedInFlight = 0
	for range 200 {
		proxy.now += tickInterval
		for _, ep := range proxy.placements[0].candidates {
			ep.responseRateAt = proxy.now
		}
		proxy.updatePooledMode(proxy.placements[0])
	}
	if proxy.placements[0].mode != Overloaded {
		t.Errorf("1.5 requests for 5 s: mode %v", proxy.placements[0].mode)
	}
	for _, ep := range proxy.placements[0].candidates {
		ep.inFlight = 0
	}
	for range 500 {
		proxy.now += tickInterval
		proxy.updatePooledMode(proxy.placements[0])
	}
	if proxy.placements[0].mode != Normal {
		t.Errorf("no requests for 12 s: mode %v", proxy.placements[0].mode)
	}
}

// A rejection blocks its endpoint also while the endpoints have a common mode.
func TestImposedModeAppliesWhilePooled(t *testing.T) {
	proxy := newPooledProxy(t)
	proxy.imposeMode(proxy.placements[0].candidates[0], Blocking)
	if proxy.updateMode(proxy.placements[0], proxy.placements[0].candidates[0]) != Blocking || proxy.updateMode(proxy.placements[0], proxy.placements[0].candidates[1]) != Normal {
		t.Error("the imposed mode does not apply, or applies to another endpoint")
	}
	if proxy.now += imposedModeTTL; proxy.updateMode(proxy.placements[0], proxy.placements[0].candidates[0]) != Normal {
		t.Error("imposed mode did not lapse")
	}
}

// If each of thirty proxies could send one request to an endpoint that has just started, the burst would
// overload it. After an hour without attempts, the sum of the tokens that the proxies have saved must still
// stay within the budget.
func TestSlowStartTokensOfManyProxiesStayWithinTheBudget(t *testing.T) {
	initialAttempts, savedTokens, budget := 0, 0.0, 0.0
	for proxyIndex := range 36 {
		proxy := newProxyOfMany(proxyIndex, 360, 60)
		proxy.hasEstimates, proxy.meanLatency, proxy.meanRate, proxy.peakRate, proxy.baseLatency, proxy.tightestObjective = true, 0.1, 0.5, 0.5, 0.1, 1
		ep := proxy.endpointFor(1)
		ep.inBaseSubset = true
		proxy.beginSlowStart(ep, proxy.now)
		if !proxy.limitedBySlowStart(ep) {
			initialAttempts++
		}
		budget += proxy.settings.SlowStartInitial * proxy.meanRate * proxy.settings.OverloadFactor * proxy.settings.OverloadDuration.Seconds()
		if ep.slowStartTokensAt -= time.Hour; !proxy.limitedBySlowStart(ep) {
			savedTokens += math.Floor(ep.slowStartTokens)
		}
	}
	if initialAttempts > 4 {
		t.Errorf("%d of 36 proxies may send to an endpoint at the moment of its start", initialAttempts)
	}
	if savedTokens < 1 || savedTokens > 0.6*budget {
		t.Errorf("36 proxies saved %v attempts, of %.1f that the settings allow in the overload duration", savedTokens, budget)
	}
}

// With many ejected endpoints, recovery probes must stay a small part of the traffic: each delays a request
// and costs a connection.
func TestRecoveryProbesAreFew(t *testing.T) {
	proxy := newProxyOfMany(1, 360, 60)
	for _, ep := range proxy.ring.endpoints[:20] {
		proxy.eject(ep, "test")
	}
	probes := 0
	for i := range 400 {
		id := RequestID(fmt.Sprint(i))
		proxy.Handle(proxy.now+100*time.Millisecond, RequestArrived{ID: id, Class: "page", Timeout: 2 * time.Second})
		if r := proxy.requests[id]; r != nil && r.recoveryProbe {
			probes++
		}
	}
	if probes < 5 || probes > 25 {
		t.Errorf("%d recovery probes in 400 requests", probes)
	}
}

// If the rounding of limits were drawn only once, some endpoints with a limit below one would never get
// requests.
func TestRoundingOfLimitsChangesOverTime(t *testing.T) {
	proxy := newProxyOfMany(0, 5, 15)
	proxy.hasEstimates, proxy.meanLatency, proxy.baseLatency, proxy.tightestObjective, proxy.meanRate, proxy.peakRate = true, 0.1, 0.1, 1, 1.5, 1.5
	for _, ep := range proxy.ring.endpoints {
		normalCount := 0
		for range 200 {
			proxy.now += sheddingPeriod
			proxy.periodStart = proxy.now
			proxy.placements[0].usesPooledMode, ep.localMode, ep.responseRate, ep.responseRateAt, ep.observedSince = false, Normal, 1.5, proxy.now, proxy.now-time.Hour
			if ep.inFlightLimit = proxy.computeInFlightLimit(ep); proxy.updateMode(proxy.placements[0], ep) == Normal {
				normalCount++
			}
		}
		limit := proxy.computeInFlightLimit(ep)
		if fraction := float64(normalCount) / 200; limit >= 1 || fraction < limit-0.1 || fraction > limit+0.1 {
			t.Errorf("endpoint %d is in normal mode %.2f of the time at a limit of %.2f", ep.ID, fraction, limit)
		}
	}
}

// Guards against overloading an endpoint that has just restarted when most endpoints are ejected (after
// dropped idle connections or slow handshakes). The candidates of every proxy then include the few endpoints
// that are not ejected, and the sum of all proxies' attempts made such an endpoint fail.
func TestSlowStartingEndpointIsUsedOnlyInBaseSubsets(t *testing.T) {
	const proxies = 360
	senders := 0
	for proxyIndex := range proxies {
		proxy := newProxyOfMany(proxyIndex, proxies, 60)
		for _, ep := range proxy.ring.endpoints {
			if ep.ID != 1 {
				proxy.eject(ep, "test")
			}
		}
		proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 1, Zone: "z", StartedAt: proxy.now}}})
		ep := proxy.endpoints[1]
		if ep.slowStartTokens = 1; !proxy.limitedBySlowStart(ep) {
			senders++
		}
	}
	if senders < 20 || senders > 40 {
		t.Errorf("%d of %d proxies may send to an endpoint that has just started, want about 30", senders, proxies)
	}
}

// A proxy must get enough responses from an endpoint to estimate its latency: its observations are valid for
// about the time in which a fault does harm. On the other hand, several proxies must use an endpoint, so that
// their traffic evens out.
func TestProxySeesEnoughResponsesOfItsEndpoints(t *testing.T) {
	const proxies, endpoints, rate = 80, 60, 20.0 // requests per second of a proxy
	count := map[EndpointID]int{}
	for proxyIndex := range proxies {
		proxy := newProxyOfMany(proxyIndex, proxies, endpoints)
		for _, ep := range proxy.placements[0].candidates {
			count[ep.ID]++
		}
		if responses := rate * observationDecay / proxy.placements[0].subsetSize; responses < 10 {
			t.Fatalf("proxy %d sees %.1f responses of an endpoint within observationDecay, want 10", proxyIndex, responses)
		}
	}
	for id := range endpoints {
		if n := count[EndpointID(id+1)]; n < 5 {
			t.Errorf("%d proxies use endpoint %d, want 5 or more", n, id+1)
		}
	}
}

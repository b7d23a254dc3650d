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
	const nodes, servers = 360, 60
	count := map[EndpointID]int{}
	for proxyIndex := range nodes {
		proxy := newProxyOfMany(proxyIndex, nodes, servers)
		if len(proxy.placements[0].candidates) != 5 {
			t.Fatalf("proxy %d uses %d endpoints, want %v", proxyIndex, len(proxy.placements[0].candidates), 5)
		}
		for _, s := range proxy.placements[0].candidates {
			count[s.ID]++
		}
	}
	want := nodes * 5 / servers
	for id := range servers {
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
		for _, s := range proxy.placements[0].candidates {
			before[s.ID] = true
		}
		proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 7, State: Removed}}})
		changed := 0
		for _, s := range proxy.placements[0].candidates {
			if !before[s.ID] {
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
	for _, s := range proxy.placements[0].candidates {
		s.responseRate, s.responseRateAt, s.observedSince = 0.5, proxy.now, proxy.now-time.Hour
		s.inFlightLimit = proxy.computeInFlightLimit(s)
	}
	if proxy.updatePooledMode(proxy.placements[0]); !proxy.placements[0].usesPooledMode {
		t.Fatalf("in-flight limit %v, but no pooled mode", proxy.computeInFlightLimit(proxy.placements[0].candidates[0]))
	}
	return proxy
}

// A proxy with few requests at each endpoint must not shed because some coincide by chance, but must if they
// persist: counts are added up and smoothed.
func TestPooledModeUsesSmoothedSums(t *testing.T) {
	proxy := newPooledProxy(t)
	limit := 0.0
	for _, s := range proxy.placements[0].candidates {
		limit += proxy.computeInFlightLimit(s)
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
	for _, s := range proxy.placements[0].candidates {
		s.inFlight = 0.25 // 1.5 in total
	}
	proxy.placements[0].smoothedInFlight = 0
	for range 200 {
		proxy.now += tickInterval
		for _, s := range proxy.placements[0].candidates {
			s.responseRateAt = proxy.now
		}
		proxy.updatePooledMode(proxy.placements[0])
	}
	if proxy.placements[0].mode != Overloaded {
		t.Errorf("1.5 requests for 5 s: mode %v", proxy.placements[0].mode)
	}
	for _, s := range proxy.placements[0].candidates {
		s.inFlight = 0
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
// overload it. Also after an hour without attempts, the tokens that the proxies have saved must stay within
// the budget in total.
func TestSlowStartTokensOfManyProxiesStayWithinTheBudget(t *testing.T) {
	sends, saved, budget := 0, 0.0, 0.0
	for proxyIndex := range 36 {
		proxy := newProxyOfMany(proxyIndex, 360, 60)
		proxy.hasEstimates, proxy.meanLatency, proxy.meanRate, proxy.peakRate, proxy.baseLatency, proxy.tightestObjective = true, 0.1, 0.5, 0.5, 0.1, 1
		s := proxy.endpointFor(1)
		s.inBaseSubset = true
		proxy.beginSlowStart(s, proxy.now)
		if !proxy.limitedBySlowStart(s) {
			sends++
		}
		budget += proxy.settings.SlowStartInitial * proxy.meanRate * proxy.settings.OverloadFactor * proxy.settings.OverloadDuration.Seconds()
		if s.slowStartTokensAt -= time.Hour; !proxy.limitedBySlowStart(s) {
			saved += math.Floor(s.slowStartTokens)
		}
	}
	if sends > 4 {
		t.Errorf("%d of 36 proxies may send to an endpoint at the moment of its start", sends)
	}
	if saved < 1 || saved > 0.6*budget {
		t.Errorf("36 proxies saved %v attempts, where the rule allows %.1f in the overload duration", saved, budget)
	}
}

// With many ejected endpoints, recovery probes must stay a small part of the traffic: each delays a request
// and costs a connection.
func TestRecoveryProbesAreFew(t *testing.T) {
	proxy := newProxyOfMany(1, 360, 60)
	for _, s := range proxy.ring.endpoints[:20] {
		proxy.eject(s, "test")
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
	for _, s := range proxy.ring.endpoints {
		open := 0
		for range 200 {
			proxy.now += sheddingPeriod
			proxy.periodStart = proxy.now
			proxy.placements[0].usesPooledMode, s.localMode, s.responseRate, s.responseRateAt, s.observedSince = false, Normal, 1.5, proxy.now, proxy.now-time.Hour
			if s.inFlightLimit = proxy.computeInFlightLimit(s); proxy.updateMode(proxy.placements[0], s) == Normal {
				open++
			}
		}
		limit := proxy.computeInFlightLimit(s)
		if fraction := float64(open) / 200; limit >= 1 || fraction < limit-0.1 || fraction > limit+0.1 {
			t.Errorf("endpoint %d is in normal mode %.2f of the time at a limit of %.2f", s.ID, fraction, limit)
		}
	}
}

// Guards against overloading an endpoint that has just restarted when most endpoints are ejected (dropped
// idle connections, slow handshakes): the candidates of every proxy then extend to the few that are not, and
// the sum of all proxies' attempts made such an endpoint fail.
func TestSlowStartingEndpointIsUsedOnlyInBaseSubsets(t *testing.T) {
	const nodes = 360
	senders := 0
	for proxyIndex := range nodes {
		proxy := newProxyOfMany(proxyIndex, nodes, 60)
		for _, s := range proxy.ring.endpoints {
			if s.ID != 1 {
				proxy.eject(s, "test")
			}
		}
		proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 1, Zone: "z", StartedAt: proxy.now}}})
		s := proxy.endpoints[1]
		if s.slowStartTokens = 1; !proxy.limitedBySlowStart(s) {
			senders++
		}
	}
	if senders < 20 || senders > 40 {
		t.Errorf("%d of %d proxies may send to an endpoint that has just started, want about 30", senders, nodes)
	}
}

// A proxy must get enough responses of an endpoint to know it: its observations are valid for about the time
// in which a fault does harm. Yet an endpoint must have several proxies, so that their traffic evens out.
func TestProxySeesEnoughResponsesOfItsEndpoints(t *testing.T) {
	const nodes, servers, rate = 80, 60, 20.0 // requests per second of a proxy
	count := map[EndpointID]int{}
	for proxyIndex := range nodes {
		proxy := newProxyOfMany(proxyIndex, nodes, servers)
		for _, s := range proxy.placements[0].candidates {
			count[s.ID]++
		}
		if seen := rate * observationDecay / proxy.placements[0].subsetSize; seen < 10 {
			t.Fatalf("proxy %d sees %.1f responses of an endpoint within observationDecay, want 10", proxyIndex, seen)
		}
	}
	for id := range servers {
		if n := count[EndpointID(id+1)]; n < 5 {
			t.Errorf("%d proxies use endpoint %d, want 5 or more", n, id+1)
		}
	}
}

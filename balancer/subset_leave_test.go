package balancer

import (
	"fmt"
	"testing"
	"time"
)

// newSubsetProxy returns a proxy that knows a subset of 40 endpoints, and a function that updates the list
// with the given entries. A complete update also contains endpoints 1 to 4.
func newSubsetProxy(t *testing.T) (proxy *Balancer, updateList func(kind UpdateKind, entries ...Endpoint)) {
	proxy = newLearnedProxy(t)
	return proxy, func(kind UpdateKind, entries ...Endpoint) {
		if kind == UpdateComplete {
			entries = append(entries, Endpoint{ID: 1, Zone: "z"}, Endpoint{ID: 2, Zone: "z"}, Endpoint{ID: 3, Zone: "z"}, Endpoint{ID: 4, Zone: "z"})
		}
		proxy.Handle(proxy.now, EndpointsUpdated{Kind: kind, Endpoints: entries, TotalEndpoints: 40, SubsetStart: startPosition(proxy.settings.ProxyIndex)})
	}
}

// Maintenance applies to an endpoint that enters the subset after the maintenance began, however often it
// leaves and enters. If the maintenance ends while the endpoint is outside the subset, the endpoint is in
// slow start when it enters the subset, as it is at the proxies that had it in their subset.
func TestMaintenanceAppliesOutsideTheSubset(t *testing.T) {
	proxy, updateList := newSubsetProxy(t)
	updateList(UpdateComplete)
	proxy.Handle(proxy.now, Maintenance{Endpoint: 9, On: true})
	for range 2 {
		for _, kind := range []UpdateKind{UpdateComplete, UpdateIncremental} {
			if updateList(kind, Endpoint{ID: 9, Zone: "z", StartedAt: proxy.now}); proxy.Unavailable() != 1 || len(proxy.placements[0].ring.endpoints) != 5 {
				t.Errorf("%d ejected of %d", proxy.Unavailable(), len(proxy.placements[0].ring.endpoints))
			}
			if got := countAttempts(t, proxy, 50); got[9] != 0 || got[1]+got[2]+got[3]+got[4] != 50 {
				t.Errorf("maintenance begun outside the subset, entered by update kind %v: attempts %v", kind, got)
			}
			if updateList(kind, Endpoint{ID: 9, State: Removed}); proxy.Unavailable() != 0 {
				t.Errorf("%d endpoints count as ejected after the endpoint was removed", proxy.Unavailable())
			}
		}
	}
	proxy.Handle(proxy.now, Maintenance{Endpoint: 9})
	endedAt := proxy.now
	proxy.Handle(proxy.now+time.Second, Maintenance{Endpoint: 9}) // the maintenance has ended already
	proxy.Handle(proxy.now, Maintenance{Endpoint: 8})             // never was in maintenance
	updateList(UpdateComplete, Endpoint{ID: 8, Zone: "z"}, Endpoint{ID: 9, Zone: "z", StartedAt: endedAt - time.Minute})
	ep := proxy.endpoints[9]
	if !ep.slowStarting || ep.slowStartSince != endedAt || ep.slowStartTokens >= 1 || proxy.endpoints[8].slowStarting {
		t.Errorf("maintenance ended outside the subset, then entered: slow start %v since %v ago, %v tokens", ep.slowStarting, proxy.now-ep.slowStartSince, ep.slowStartTokens)
	}
	if got := countAttempts(t, proxy, 70); got[9] == 0 || got[9] >= 14 { // warm endpoints get 14 each
		t.Errorf("attempts %v, want those of a slow start at endpoint 9", got)
	}
	updateList(UpdateComplete)
	updateList(UpdateIncremental, Endpoint{ID: 9, Zone: "z"})
	if returned := proxy.endpoints[9]; returned == ep || !returned.slowStarting || returned.slowStartSince != endedAt {
		t.Errorf("removed and listed again within its slow start: %+v", returned)
	}
	updateList(UpdateIncremental, Endpoint{ID: 9, Zone: "z", StartedAt: proxy.now})
	if ep := proxy.endpoints[9]; !ep.slowStarting || ep.slowStartSince != proxy.now {
		t.Errorf("started again: %+v", ep)
	}
	updateList(UpdateComplete)
	proxy.Handle(proxy.now+proxy.settings.SlowStartDuration, TimerFired{})
	updateList(UpdateComplete, Endpoint{ID: 9, Zone: "z"})
	if proxy.warmFraction(proxy.endpoints[9]) < 1 {
		t.Errorf("entered long after the slow start: %+v", proxy.endpoints[9])
	}
	for id := EndpointID(10); id < 100; id++ {
		proxy.Handle(proxy.now+proxy.settings.SlowStartDuration, Maintenance{Endpoint: id, On: true})
		if proxy.Handle(proxy.now, Maintenance{Endpoint: id}); len(proxy.maintenanceEnded) > 2 {
			t.Fatalf("%d ended maintenances are stored", len(proxy.maintenanceEnded))
		}
	}
}

// An endpoint that enters the subset during its slow start has the same warm fraction as at other proxies.
// Its initial tokens are drawn again each time.
func TestEndpointEnteringTheSubsetContinuesItsSlowStart(t *testing.T) {
	proxy, updateList := newSubsetProxy(t)
	startedAt, drawnTokens := proxy.now-proxy.settings.SlowStartDuration/4, map[float64]bool{}
	for range 5 {
		updateList(UpdateComplete, Endpoint{ID: 9, Zone: "z", StartedAt: startedAt})
		ep := proxy.endpoints[9]
		if want := proxy.settings.SlowStartInitial + (1-proxy.settings.SlowStartInitial)/4; proxy.warmFraction(ep) != want || ep.slowStartTokens < 0 || ep.slowStartTokens >= 1 || !ep.inBaseSubset {
			t.Errorf("warm fraction %v, want %v; %v tokens; in base subset: %v", proxy.warmFraction(ep), want, ep.slowStartTokens, ep.inBaseSubset)
		}
		drawnTokens[ep.slowStartTokens] = true
		updateList(UpdateIncremental, Endpoint{ID: 9, State: Removed})
	}
	if len(drawnTokens) != 5 {
		t.Errorf("tokens %v", drawnTokens)
	}
}

// An ejection ends when the endpoint leaves the subset. When it returns, only new attempts count; attempts in
// flight from before have no effect. If it still refuses connections, it is ejected after few attempts.
func TestEjectionEndsWhenEndpointLeavesTheSubset(t *testing.T) {
	proxy, updateList := newSubsetProxy(t)
	updateList(UpdateComplete, Endpoint{ID: 9, Zone: "z"})
	previous := proxy.endpoints[9]
	proxy.eject(previous, "test")
	for _, kind := range []UpdateKind{UpdateComplete, UpdateIncremental} {
		if updateList(kind, Endpoint{ID: 9, Zone: "z"}); proxy.endpoints[9] != previous || !previous.ejected || proxy.Unavailable() != 1 {
			t.Errorf("listed again by update kind %v: %+v", kind, proxy.endpoints[9])
		}
	}
	updateList(UpdateComplete)
	if proxy.Unavailable() != 0 || len(proxy.ejected.endpoints) != 0 {
		t.Errorf("%d ejected endpoints after it has left", len(proxy.ejected.endpoints))
	}
	updateList(UpdateComplete, Endpoint{ID: 9, Zone: "z"})
	proxy.recordFailure(previous, ConnectFailed)
	proxy.eject(previous, "an attempt from before")
	if ep := proxy.endpoints[9]; ep == previous || ep.ejected || ep.consecutiveFailures > 0 || len(proxy.ejected.endpoints) != 0 {
		t.Errorf("after the return: %+v", ep)
	}
	sent := 0
	for i := range 100 {
		proxy.Handle(proxy.now+50*time.Millisecond, TimerFired{})
		id := RequestID(fmt.Sprint("r", i))
		out := proxy.Handle(proxy.now, RequestArrived{ID: id, Class: "a", Timeout: time.Second})
		for n := 0; len(attemptedEndpoints(out)) > 0; n++ {
			end := AttemptEnded{ID: id, Attempt: n, Endpoint: attemptedEndpoints(out)[0], RequestAnswered: true, Elapsed: 20 * time.Millisecond}
			if end.Endpoint == 9 {
				end.Outcome, end.RequestAnswered, sent = ConnectFailed, false, sent+1
			}
			out = proxy.Handle(proxy.now, end)
		}
	}
	if sent == 0 || sent > ejectAfterFailures {
		t.Errorf("%d attempts at an endpoint that refuses connections", sent)
	}
}

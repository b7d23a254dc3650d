package balancer

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// newProcess creates the balancer of a new process with the JSON encoding of the old one's learned state,
// modified by change.
func newProcess(t *testing.T, proxy *Balancer, change func(*LearnedState)) *Balancer {
	t.Helper()
	raw, err := json.Marshal(proxy.Learned(proxy.now))
	if err != nil {
		t.Fatal(err)
	}
	var learned LearnedState
	if err := json.Unmarshal(raw, &learned); err != nil {
		t.Fatal(err)
	}
	change(&learned)
	successor := New(proxy.settings, 9)
	successor.Handle(proxy.now, Restored{Learned: learned})
	return successor
}

func listedEndpoints(proxy *Balancer) (list []Endpoint) {
	for _, ep := range proxy.ring.endpoints {
		list = append(list, ep.Endpoint)
	}
	return list
}

// A new process continues with the learned state, whatever the order of the list, and also if the first list
// is outdated.
func TestNewProcessInheritsLearnedState(t *testing.T) {
	proxy := newLearnedProxy(t)
	proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 4, Zone: "z", StartedAt: proxy.now - time.Second}}})
	proxy.endpoints[2].ejected, proxy.endpoints[2].nextProbeAt, proxy.endpoints[2].probeBackoff = true, proxy.now+time.Second, time.Second
	startRequest(t, proxy, RequestArrived{ID: "out", Class: "a", Timeout: time.Second})
	proxy.retryBudget = 3
	successor := newProcess(t, proxy, func(*LearnedState) {})
	successor.Handle(proxy.now, EndpointsUpdated{Kind: UpdateCached, Endpoints: []Endpoint{{ID: 1, Zone: "z"}, {ID: 4, Zone: "z"}}})
	successor.Handle(proxy.now, EndpointsUpdated{Kind: UpdateComplete, Endpoints: listedEndpoints(proxy)})
	if successor.meanLatency != proxy.meanLatency || successor.responses != proxy.responses || successor.retryBudget != 3 || !successor.hasEstimates ||
		successor.classes["a"].meanLatency != proxy.classes["a"].meanLatency {
		t.Errorf("mean latency %v, want %v; %v responses, retry budget %v, has estimates: %v", successor.meanLatency, proxy.meanLatency, successor.responses, successor.retryBudget, successor.hasEstimates)
	}
	load := 0.0
	for id, ep := range successor.endpoints {
		old := proxy.endpoints[id]
		if ep.responseRate != old.responseRate || ep.ejected != old.ejected || ep.slowStarting != old.slowStarting || ep.slowStartSince != old.slowStartSince {
			t.Errorf("endpoint %d: %+v, before %+v", id, ep, old)
		}
		load += successor.knownLoad(ep)
	}
	if load < 0.9 {
		t.Errorf("the work in flight of the old process counts as %v, want at least 0.9", load)
	}
	successor.Handle(proxy.now+time.Minute, TimerFired{})
	for id, ep := range successor.endpoints {
		if successor.knownLoad(ep) != 0 {
			t.Errorf("endpoint %d: work of the old process still counts a minute later", id)
		}
	}
}

// An endpoint that has restarted since the old process learned of it counts as new, and an endpoint that no
// list names gets no attempts.
func TestNewProcessPrefersTheListToInheritedState(t *testing.T) {
	proxy := newLearnedProxy(t)
	proxy.endpoints[1].ejected = true
	successor := newProcess(t, proxy, func(*LearnedState) {})
	successor.Handle(proxy.now, EndpointsUpdated{Kind: UpdateComplete, Endpoints: []Endpoint{{ID: 1, Zone: "z", StartedAt: proxy.now}}})
	if s := successor.endpoints[1]; s.ejected || !s.slowStarting || len(successor.endpoints) != 1 {
		t.Errorf("%d endpoints, restarted endpoint: %+v", len(successor.endpoints), s)
	}
}

// Learned state with implausible values, as of a faulty process, must not prevent attempts or lead to
// infinite delays.
func TestImplausibleLearnedStateDoesNotPreventAttempts(t *testing.T) {
	for _, change := range []func(*LearnedState){
		func(l *LearnedState) { l.MeanLatency = -1 },
		func(l *LearnedState) { l.Responses = math.Inf(1) },
		func(l *LearnedState) { l.Endpoints[0].InFlightWork = -4 },
		func(l *LearnedState) { l.Endpoints[0].ExcessLatency = 1e300 },
		func(l *LearnedState) { l.Classes[0].RelativeCost = 0 },
		func(l *LearnedState) { l.Endpoints[0].ProbeBackoff, l.Endpoints[0].NextProbeAt = -time.Hour, 1<<62 },
		func(l *LearnedState) { l.Endpoints[0].ExcessLatencyAt, l.Endpoints[0].ResponseRateAt = 1<<62, -1<<62 },
		func(l *LearnedState) { *l = LearnedState{} },
	} {
		proxy := newLearnedProxy(t)
		successor := newProcess(t, proxy, change)
		successor.Handle(proxy.now, EndpointsUpdated{Kind: UpdateComplete, Endpoints: listedEndpoints(proxy)})
		if got := countAttempts(t, successor, 60); got[1]+got[2]+got[3]+got[4] != 60 || len(got) != 4 {
			t.Errorf("attempts %v", got)
		}
		for _, ep := range successor.endpoints {
			if x := successor.expectedDelay(&request{class: successor.classes["a"], relativeWork: 1}, ep); !(x > 0) || math.IsInf(x, 0) {
				t.Errorf("expected delay of %v", x)
			}
		}
	}
}

// The old process leaves endpoints in slow start to the new one, as both together would send too much.
func TestHandedOverProcessSendsNothingToSlowStartingEndpoint(t *testing.T) {
	proxy := newLearnedProxy(t)
	proxy.Handle(proxy.now, EndpointsUpdated{Kind: UpdateIncremental, Endpoints: []Endpoint{{ID: 4, Zone: "z", StartedAt: proxy.now}}})
	proxy.Handle(proxy.now, HandedOver{})
	if got := countAttempts(t, proxy, 100); got[4] != 0 || len(got) != 3 {
		t.Errorf("attempts %v", got)
	}
}

package balancer

import (
	"slices"
	"testing"
	"time"
)

func gossipSettings(proxyIndex, proxies int) Settings {
	return Settings{Proxies: proxies, ProxyIndex: proxyIndex, MaxAttempts: 3, AllowGossip: true, AllowCancel: true, MinEventInterval: time.Millisecond,
		SlowStartInitial: 0.3, SlowStartDuration: 8 * time.Second, OverloadFactor: 3, Prices: Prices{Message: 0.01},
		Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, Idempotency: Idempotent}}}
}

func newGossipingProxy(proxyIndex, proxies, endpoints int) *Balancer {
	proxy := New(gossipSettings(proxyIndex, proxies), int64(proxyIndex))
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z"})
	}
	proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: list})
	proxy.meanLatency = 0.03
	return proxy
}

func sentMessages(actions []Action) (out []SendMessage) {
	for _, a := range actions {
		if a, ok := a.(SendMessage); ok {
			out = append(out, a)
		}
	}
	return out
}

// Each proxy alone sees a part of an endpoint's load, so an idle endpoint looks like one that other proxies
// keep busy. The work that a proxy has in flight must be reported to the proxies that use the endpoint and to
// no others, in a fleet of any size.
func TestGossipReachesTheProxiesThatShareTheEndpoint(t *testing.T) {
	for _, size := range []struct{ proxies, endpoints int }{{2, 3}, {3, 10}, {80, 60}} {
		var fleet []*Balancer
		for proxyIndex := range size.proxies {
			fleet = append(fleet, newGossipingProxy(proxyIndex, size.proxies, size.endpoints))
		}
		for proxyIndex, proxy := range fleet {
			out := proxy.Handle(proxy.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
			sent := attemptedEndpoints(out)
			if len(sent) != 1 {
				t.Fatalf("%v", out)
			}
			var want, got []int
			for other, o := range fleet {
				if other != proxyIndex && o.endpoints[sent[0]].inBaseSubset {
					want = append(want, other)
				}
			}
			for _, a := range sentMessages(out) {
				got = append(got, a.To)
				o := fleet[a.To]
				o.Handle(o.now, MessageReceived{From: proxyIndex, Data: a.Data})
				if l := o.knownLoad(o.endpoints[sent[0]]); l < 1 {
					t.Errorf("proxy %d takes the load to be %v", a.To, l)
				}
			}
			if !slices.Equal(got, want) {
				t.Errorf("%d proxies: proxy %d reports to %v about endpoint %d, which is shared by %v", size.proxies, proxyIndex, got, sent[0], want)
			}
			out = proxy.Handle(proxy.now, AttemptEnded{ID: "a", Endpoint: sent[0], Elapsed: time.Millisecond, Outcome: OK, RequestAnswered: true})
			for _, a := range sentMessages(out) {
				o := fleet[a.To]
				o.Handle(o.now, MessageReceived{From: proxyIndex, Data: a.Data})
				o.Handle(o.now, MessageReceived{From: proxyIndex, Data: a.Data}) // a duplicate must not add up
				if l := o.knownLoad(o.endpoints[sent[0]]); l != o.endpoints[sent[0]].inFlightWork {
					t.Errorf("proxy %d still takes the load to be %v", a.To, l)
				}
			}
		}
	}
}

// Of two equal endpoints, the one where another proxy reports work in flight gets no attempts.
func TestEndpointLoadedByOtherProxiesIsAvoided(t *testing.T) {
	proxy := newGossipingProxy(0, 2, 2)
	note := []byte{loadMessageKind, 0, 0, 0, 1, 8}
	proxy.Handle(proxy.now, MessageReceived{From: 1, Data: note})
	for i := range 20 {
		id := RequestID(rune('a' + i))
		sent := attemptedEndpoints(proxy.Handle(proxy.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second}))
		if !slices.Equal(sent, []EndpointID{2}) {
			t.Fatalf("request %d goes to %v", i, sent)
		}
		proxy.Handle(proxy.now, AttemptEnded{ID: id, Endpoint: 2, Elapsed: time.Millisecond, Outcome: Cancelled, RequestAnswered: true})
	}
	proxy.now += time.Hour // the message about the end of the work was lost
	if l := proxy.knownLoad(proxy.endpoints[1]); l != 0 {
		t.Errorf("an old message still counts as %v", l)
	}
}

// A message may be truncated, of an unknown kind, about an unknown endpoint or from a proxy that does not
// exist.
func TestInvalidGossipIsIgnored(t *testing.T) {
	proxy := newGossipingProxy(0, 3, 2)
	for _, e := range []MessageReceived{
		{From: 1}, {From: 1, Data: []byte{loadMessageKind}}, {From: 1, Data: []byte{loadMessageKind, 0, 0, 0, 1}},
		{From: 1, Data: []byte{loadMessageKind, 0, 0, 0, 1, 8, 0, 0}}, {From: 1, Data: []byte{2, 0, 0, 0, 1, 8}},
		{From: 1, Data: []byte{loadMessageKind, 0, 0, 0, 9, 8}}, {From: -1, Data: []byte{loadMessageKind, 0, 0, 0, 1, 8}},
		{From: 3, Data: []byte{loadMessageKind, 0, 0, 0, 1, 8}}, {From: 0, Data: []byte{loadMessageKind, 0, 0, 0, 1, 8}},
		{From: 1, Data: make([]byte, 256)},
	} {
		if out := proxy.Handle(proxy.now, e); len(out) != 0 {
			t.Errorf("%v: %v", e, out)
		}
		if proxy.knownLoad(proxy.endpoints[1]) != 0 || len(proxy.endpoints) != 2 {
			t.Errorf("%v has an effect", e)
		}
	}
}

// Proxies do not gossip where messages are expensive or not allowed, or where there is only one proxy.
func TestNoGossipWhereExpensiveOrForbidden(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.AllowGossip = false }, func(s *Settings) { s.Prices.Message = 1 }, func(s *Settings) { s.Proxies = 1 },
	} {
		s := gossipSettings(0, 3)
		change(&s)
		proxy := New(s, 1)
		proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
		out := proxy.Handle(proxy.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
		if len(attemptedEndpoints(out)) != 1 || len(sentMessages(out)) != 0 {
			t.Errorf("%+v", out)
		}
	}
}

// All proxies that use an endpoint learn that it has become slow by the responses to each of them: one proxy
// alone has too few.
func TestLatencySeenByOtherProxiesCounts(t *testing.T) {
	for _, c := range []struct {
		name    string
		took    time.Duration
		outcome Outcome
		want    bool
	}{
		{"slow answers", 300 * time.Millisecond, OK, true},
		{"fast failures", time.Millisecond, ServerError, true},
		{"usual answers", 30 * time.Millisecond, OK, false},
		{"called off", 300 * time.Millisecond, Cancelled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newGossipingProxy(0, 2, 2), newGossipingProxy(1, 2, 2)
			for i := range 20 {
				id := RequestID(rune('a' + i))
				sent := attemptedEndpoints(a.Handle(a.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second}))
				a.endpoints[sent[0]].ejected = false
				for _, note := range sentMessages(a.Handle(a.now, AttemptEnded{ID: id, Endpoint: sent[0], Elapsed: c.took,
					Outcome: c.outcome, RequestAnswered: true})) {
					b.Handle(b.now, MessageReceived{From: 0, Data: note.Data})
				}
			}
			slow := 0
			for _, s := range b.ring.endpoints {
				if b.expectedLatency(s) > 1.5*b.meanLatency {
					slow++
				}
			}
			if (slow > 0) != c.want {
				t.Errorf("%d of 2 endpoints count as slow at the proxy that received the messages", slow)
			}
		})
	}
}

// An implausible number of proxies, and messages without a price, must not keep a proxy busy or make it send
// to all.
func TestNoGossipWithImplausibleNumberOfProxies(t *testing.T) {
	s := gossipSettings(0, 1<<40)
	s.Prices.Message = 0
	proxy := New(s, 1)
	proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
	if out := proxy.Handle(proxy.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}); len(sentMessages(out)) != 0 {
		t.Errorf("%d messages", len(sentMessages(out)))
	}
}

// Messages take processor time, which is limited. Where it is short, the ends of attempts are still reported.
func TestGossipKeepsToTheProcessorTime(t *testing.T) {
	for _, c := range []struct {
		cpu         time.Duration // a second
		starts, all bool          // whether some starts are reported, and whether all are
	}{{0, true, true}, {100 * time.Millisecond, true, true}, {3 * time.Millisecond, true, false}, {time.Millisecond, false, false}} {
		proxy := newGossipingProxy(0, 2, 3)
		proxy.settings.CPUPerSecond = c.cpu
		starts, ends := 0, 0
		for range 200 { // within one second
			out := proxy.Handle(proxy.now+5*time.Millisecond, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
			at := attemptedEndpoints(out)
			if len(at) != 1 {
				t.Fatalf("%v", out)
			}
			starts += len(sentMessages(out))
			ends += len(sentMessages(proxy.Handle(proxy.now, AttemptEnded{ID: "a", Endpoint: at[0], Elapsed: time.Millisecond, Outcome: OK, RequestAnswered: true})))
		}
		if ends != 200 || (starts == 200) != c.all || (starts > 50) != c.starts {
			t.Errorf("with %v a second: %d starts and %d ends are reported", c.cpu, starts, ends)
		}
	}
}

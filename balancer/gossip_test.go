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

// Each proxy alone sees only its part of an endpoint's load, so it can't tell an idle endpoint from one that
// other proxies keep busy. The work that a proxy has in flight must therefore be reported to the proxies that
// use the endpoint, and to no others, in a fleet of any size.
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
				t.Fatalf("actions %v, want one attempt", out)
			}
			var want, got []int
			for other, otherProxy := range fleet {
				if other != proxyIndex && otherProxy.endpoints[sent[0]].inBaseSubset {
					want = append(want, other)
				}
			}
			for _, a := range sentMessages(out) {
				got = append(got, a.To)
				receiver := fleet[a.To]
				receiver.Handle(receiver.now, MessageReceived{From: proxyIndex, Data: a.Data})
				if load := receiver.knownLoad(receiver.endpoints[sent[0]]); load < 1 {
					t.Errorf("proxy %d takes the load to be %v", a.To, load)
				}
			}
			if !slices.Equal(got, want) {
				t.Errorf("%d proxies: proxy %d reports to %v about endpoint %d, which is shared by %v", size.proxies, proxyIndex, got, sent[0], want)
			}
			out = proxy.Handle(proxy.now, AttemptEnded{ID: "a", Endpoint: sent[0], Elapsed: time.Millisecond, Outcome: OK, RequestAnswered: true})
			for _, a := range sentMessages(out) {
				receiver := fleet[a.To]
				receiver.Handle(receiver.now, MessageReceived{From: proxyIndex, Data: a.Data})
				receiver.Handle(receiver.now, MessageReceived{From: proxyIndex, Data: a.Data}) // a duplicate must not add up
				if load := receiver.knownLoad(receiver.endpoints[sent[0]]); load != receiver.endpoints[sent[0]].inFlightWork {
					t.Errorf("proxy %d still takes the load to be %v", a.To, load)
				}
			}
		}
	}
}

// Of two equal endpoints, the one where another proxy reports work in flight gets no attempts.
func TestEndpointLoadedByOtherProxiesIsAvoided(t *testing.T) {
	proxy := newGossipingProxy(0, 2, 2)
	message := []byte{loadMessageKind, 0, 0, 0, 1, 8}
	proxy.Handle(proxy.now, MessageReceived{From: 1, Data: message})
	for i := range 20 {
		id := RequestID(rune('a' + i))
		sent := attemptedEndpoints(proxy.Handle(proxy.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second}))
		if !slices.Equal(sent, []EndpointID{2}) {
			t.Fatalf("request %d goes to %v", i, sent)
		}
		proxy.Handle(proxy.now, AttemptEnded{ID: id, Endpoint: 2, Elapsed: time.Millisecond, Outcome: Cancelled, RequestAnswered: true})
	}
	proxy.now += time.Hour // the message about the end of the work was lost
	if load := proxy.knownLoad(proxy.endpoints[1]); load != 0 {
		t.Errorf("an old message still counts as %v", load)
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
			t.Errorf("actions after message %v: %v, want none", e, out)
		}
		if proxy.knownLoad(proxy.endpoints[1]) != 0 || len(proxy.endpoints) != 2 {
			t.Errorf("message %v changes the known load or the endpoints", e)
		}
	}
}

// Proxies do not gossip where messages are expensive or not allowed, or where there is only one proxy.
func TestNoGossipWhereExpensiveOrForbidden(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.AllowGossip = false }, func(s *Settings) { s.Prices.Message = 1 }, func(s *Settings) { s.Proxies = 1 },
	} {
		settings := gossipSettings(0, 3)
		change(&settings)
		proxy := New(settings, 1)
		proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
		out := proxy.Handle(proxy.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
		if len(attemptedEndpoints(out)) != 1 || len(sentMessages(out)) != 0 {
			t.Errorf("actions %+v, want one attempt and no message", out)
		}
	}
}

// The responses that one proxy gets from an endpoint are reported to all proxies that use it, so that all
// learn when it has become slow: one proxy alone has too few responses.
func TestLatencySeenByOtherProxiesCounts(t *testing.T) {
	for _, c := range []struct {
		name     string
		elapsed  time.Duration
		outcome  Outcome
		wantSlow bool
	}{
		{"slow responses", 300 * time.Millisecond, OK, true},
		{"fast failures", time.Millisecond, ServerError, true},
		{"normal responses", 30 * time.Millisecond, OK, false},
		{"cancelled attempts", 300 * time.Millisecond, Cancelled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender, receiver := newGossipingProxy(0, 2, 2), newGossipingProxy(1, 2, 2)
			for i := range 20 {
				id := RequestID(rune('a' + i))
				sent := attemptedEndpoints(sender.Handle(sender.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second}))
				sender.endpoints[sent[0]].ejected = false
				for _, message := range sentMessages(sender.Handle(sender.now, AttemptEnded{ID: id, Endpoint: sent[0], Elapsed: c.elapsed,
					Outcome: c.outcome, RequestAnswered: true})) {
					receiver.Handle(receiver.now, MessageReceived{From: 0, Data: message.Data})
				}
			}
			slow := 0
			for _, ep := range receiver.ring.endpoints {
				if receiver.expectedLatency(ep) > 1.5*receiver.meanLatency {
					slow++
				}
			}
			if (slow > 0) != c.wantSlow {
				t.Errorf("%d of 2 endpoints count as slow at the proxy that received the messages", slow)
			}
		})
	}
}

// An implausible number of proxies, and messages without a price, must not keep a proxy busy or make it send
// to all.
func TestNoGossipWithImplausibleNumberOfProxies(t *testing.T) {
	settings := gossipSettings(0, 1<<40)
	settings.Prices.Message = 0
	proxy := New(settings, 1)
	proxy.Handle(time.Hour, EndpointsUpdated{Kind: UpdateCached, Endpoints: []Endpoint{{ID: 1}, {ID: 2}}})
	if out := proxy.Handle(proxy.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}); len(sentMessages(out)) != 0 {
		t.Errorf("%d messages", len(sentMessages(out)))
	}
}

// Messages take processor time, which is limited. Where processor time is short, the ends of attempts are
// still reported.
func TestGossipStaysWithinTheProcessorTime(t *testing.T) {
	for _, c := range []struct {
		cpu                   time.Duration // a second
		someStarts, allStarts bool          // whether some starts are reported, and whether all are
	}{{0, true, true}, {100 * time.Millisecond, true, true}, {3 * time.Millisecond, true, false}, {time.Millisecond, false, false}} {
		proxy := newGossipingProxy(0, 2, 3)
		proxy.settings.CPUPerSecond = c.cpu
		starts, ends := 0, 0
		for range 200 { // within one second
			out := proxy.Handle(proxy.now+5*time.Millisecond, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})
			at := attemptedEndpoints(out)
			if len(at) != 1 {
				t.Fatalf("actions %v, want one attempt", out)
			}
			starts += len(sentMessages(out))
			ends += len(sentMessages(proxy.Handle(proxy.now, AttemptEnded{ID: "a", Endpoint: at[0], Elapsed: time.Millisecond, Outcome: OK, RequestAnswered: true})))
		}
		if ends != 200 || (starts == 200) != c.allStarts || (starts > 50) != c.someStarts {
			t.Errorf("with %v a second: %d starts and %d ends are reported", c.cpu, starts, ends)
		}
	}
}

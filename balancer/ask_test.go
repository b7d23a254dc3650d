package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sharedDiscovery serves calls one after the other. A caller gives up after a wait, but its call still takes its turn.
type sharedDiscovery struct {
	each, patience, freeAt Time
}

// call tells when a call is answered and whether it was served.
func (d *sharedDiscovery) call(now Time) (answered Time, served bool) {
	d.freeAt = max(d.freeAt, now) + d.each
	return min(d.freeAt, now+d.patience), d.freeAt <= now+d.patience
}

// Nodes that start together must not hold up discovery together: a queue of calls that have been given up on, and are
// made again, serves nobody.
func TestMassStartGetsItsLists(t *testing.T) {
	for _, c := range []struct {
		name    string
		nodes   int
		within  Time
		patient Time
	}{
		{"a fleet", 80, 9 * time.Second, 2 * time.Second},
		{"a fleet and an impatient discovery", 80, 15 * time.Second, time.Second},
		{"a few", 3, time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := sharedDiscovery{each: 60 * time.Millisecond, patience: c.patient}
			type answer struct {
				at     Time
				served bool
			}
			modules, pending := make([]*Balancer, c.nodes), make([]*answer, c.nodes)
			set := Settings{Proxies: c.nodes, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}
			start := time.Hour
			for i := range modules {
				modules[i] = New(set, int64(i+1))
				modules[i].Handle(start, EndpointsUpdated{Kind: UpdateCached, Endpoints: []Endpoint{{ID: 1}}})
			}
			for now := start; now < start+c.within; now += tickInterval {
				for i, m := range modules {
					if p := pending[i]; p != nil && now >= p.at {
						kind := UpdateFailed
						if p.served {
							kind = UpdateIncremental
						}
						pending[i] = nil
						m.Handle(now, EndpointsUpdated{Kind: kind})
					}
					for _, a := range m.Handle(now, TimerFired{}) {
						if _, ok := a.(Subscribe); ok {
							if pending[i] != nil {
								t.Fatalf("node %d asks again while its call waits", i)
							}
							at, served := d.call(now)
							pending[i] = &answer{at, served}
						}
					}
				}
			}
			for i, m := range modules {
				if !m.watching {
					t.Errorf("node %d has no list after %v", i, c.within)
				}
			}
		})
	}
}

// A watch that discovery has taken may be held until there is news. Asking again would end it and cost a call.
func TestHeldWatchIsLeftAlone(t *testing.T) {
	m := New(Settings{Proxies: 1, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}, 1)
	calls, now := 0, time.Hour
	run := func(length time.Duration) {
		for end := now + length; now < end; now += tickInterval {
			for _, a := range m.Handle(now, TimerFired{}) {
				if _, ok := a.(Subscribe); ok {
					calls++
				}
			}
		}
	}
	run(time.Minute)
	if calls != 1 {
		t.Errorf("%d calls while the first is held", calls)
	}
	m.Handle(now, EndpointsUpdated{Kind: UpdateFailed})
	run(time.Minute)
	if calls != 2 {
		t.Errorf("%d calls after one has failed and the next is held", calls)
	}
}

// asksAgain feeds a node with calls that fail, after one that was answered after took, if that is above 0: so many or
// for so long. It gives the longest wait for the next.
func asksAgain(t *testing.T, set Settings, seed int64, took Time, failures int, storm Time, failed func() Time) (longest Time) {
	t.Helper()
	m, now := New(set, seed), time.Hour
	for at, first := Time(-1), time.Hour; failures >= 0 && now <= first+storm; now += tickInterval {
		for _, a := range m.Handle(now, TimerFired{}) {
			if _, ok := a.(Subscribe); !ok {
				continue
			}
			if at >= 0 {
				longest = max(longest, now-at)
			}
			if at < 0 && took > 0 {
				m.Handle(now+took, EndpointsUpdated{Kind: UpdateIncremental})
			}
			now += max(took, failed())
			if at < 0 {
				first = now
			}
			at, failures = now, failures-1
			m.Handle(now, EndpointsUpdated{Kind: UpdateFailed})
		}
		if at >= 0 && now > at+time.Minute {
			t.Fatalf("%d nodes: no call in a minute after one that failed", set.Proxies)
		}
	}
	return longest
}

// A call that failed is made again in time, however many have failed before, of however many nodes, and sooner still
// where the settings want lists asked for more often. Only a fleet that would fill the queue of a slow discovery for
// ever spreads its calls wider, after a storm of failures: not where they are refused or broken at once, and later
// where an answer has shown that the calls of all nodes fit.
func TestFailedCallIsMadeAgainInTime(t *testing.T) {
	chance := rand.New(rand.NewPCG(28, 1))
	for _, nodes := range []int{1, 3, 30, 80, 300} {
		for _, within := range []Time{10 * time.Second, time.Second} {
			for _, c := range []struct {
				name    string
				longest Time // that a call takes to fail
				took    Time // that one took to be answered before
				storm   Time // up to which the bound holds, and no longer
			}{
				{"waited for", 4 * time.Second, 0, congestionTimeout},
				{"refused", immediateFailure, 0, 0},
				{"waited for, after a soon answer", 4 * time.Second, maxPollRoundTime / Time(nodes), provenCongestionTimeout},
				{"waited for, after a late answer", 4 * time.Second, maxPollRoundTime/Time(nodes) + time.Millisecond, congestionTimeout},
			} {
				if nodes <= 36 {
					c.storm = 0
				}
				set := Settings{Proxies: nodes, PollForEndpoints: true, PollInterval: within, MinEventInterval: time.Millisecond}
				limit := min(MaxPollBackoff, within) + tickInterval
				failed := func() Time { return Time(chance.Int64N(int64(c.longest))) }
				for seed := range int64(20) {
					storm, failures := time.Hour, 1+chance.IntN(30)
					if c.storm > 0 {
						storm, failures = c.storm, 1000
					}
					if longest := asksAgain(t, set, seed, c.took, failures, storm, failed); longest > limit {
						t.Errorf("%d nodes that ask within %v, %s: asked again after %v, want %v at most", nodes, within, c.name, longest, limit)
					}
				}
				if c.storm == 0 || within < MaxPollBackoff {
					continue
				}
				if longest := asksAgain(t, set, 1, c.took, 1000, c.storm+time.Minute, failed); longest <= limit {
					t.Errorf("%d nodes, %s: a slow discovery's queue is filled for ever", nodes, c.name)
				}
			}
		}
	}
}

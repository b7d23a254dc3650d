package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sequentialDiscovery is a discovery service that serves calls one after the other. A caller gives up after
// callTimeout, but its call is served all the same.
type sequentialDiscovery struct {
	serviceTime, callTimeout, freeAt Time
}

// call returns when a call ends for its caller, and whether it was served by then.
func (d *sequentialDiscovery) call(now Time) (answered Time, served bool) {
	d.freeAt = max(d.freeAt, now) + d.serviceTime
	return min(d.freeAt, now+d.callTimeout), d.freeAt <= now+d.callTimeout
}

// Guards against proxies that start together and poll discovery at the same rate: discovery's queue then
// consists of calls whose callers have given up and call again, so no proxy is ever served.
func TestProxiesStartingTogetherAllGetTheList(t *testing.T) {
	for _, c := range []struct {
		name        string
		proxies     int
		timeLimit   Time
		callTimeout Time
	}{
		{"80 proxies", 80, 9 * time.Second, 2 * time.Second},
		{"80 proxies, short call timeout", 80, 15 * time.Second, time.Second},
		{"3 proxies", 3, time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			discovery := sequentialDiscovery{serviceTime: 60 * time.Millisecond, callTimeout: c.callTimeout}
			type answer struct {
				at     Time
				served bool
			}
			balancers, pending := make([]*Balancer, c.proxies), make([]*answer, c.proxies)
			settings := Settings{Proxies: c.proxies, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}
			start := time.Hour
			for i := range balancers {
				balancers[i] = New(settings, int64(i+1))
				balancers[i].Handle(start, EndpointsUpdated{Kind: UpdateCached, Endpoints: []Endpoint{{ID: 1}}})
			}
			for now := start; now < start+c.timeLimit; now += tickInterval {
				for i, proxy := range balancers {
					if poll := pending[i]; poll != nil && now >= poll.at {
						kind := UpdateFailed
						if poll.served {
							kind = UpdateIncremental
						}
						pending[i] = nil
						proxy.Handle(now, EndpointsUpdated{Kind: kind})
					}
					for _, a := range proxy.Handle(now, TimerFired{}) {
						if _, ok := a.(Subscribe); ok {
							if pending[i] != nil {
								t.Fatalf("proxy %d polls again while its poll waits for its answer", i)
							}
							at, served := discovery.call(now)
							pending[i] = &answer{at, served}
						}
					}
				}
			}
			for i, proxy := range balancers {
				if !proxy.watching {
					t.Errorf("proxy %d has no list after %v", i, c.timeLimit)
				}
			}
		})
	}
}

// A watch stays open until the list changes. Another poll would end the watch and cost a call.
func TestOpenWatchIsNotReplaced(t *testing.T) {
	proxy := New(Settings{Proxies: 1, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}, 1)
	calls, now := 0, time.Hour
	run := func(length time.Duration) {
		for end := now + length; now < end; now += tickInterval {
			for _, a := range proxy.Handle(now, TimerFired{}) {
				if _, ok := a.(Subscribe); ok {
					calls++
				}
			}
		}
	}
	run(time.Minute)
	if calls != 1 {
		t.Errorf("%d polls while the first watch is open, want 1", calls)
	}
	proxy.Handle(now, EndpointsUpdated{Kind: UpdateFailed})
	run(time.Minute)
	if calls != 2 {
		t.Errorf("%d polls after the watch has failed and the next is open, want 2", calls)
	}
}

// longestPollWait simulates a proxy whose polls fail, each after failureTime(). It stops after the given
// number of failures, or once polls have failed for failingFor. If answerTime is above 0, one poll is
// answered after answerTime before the failures. The result is the longest wait from a failure to the next
// poll.
func longestPollWait(t *testing.T, settings Settings, seed int64, answerTime Time, failures int, failingFor Time, failureTime func() Time) (longestWait Time) {
	t.Helper()
	proxy, now := New(settings, seed), time.Hour
	for lastFailure, firstFailure := Time(-1), time.Hour; failures >= 0 && now <= firstFailure+failingFor; now += tickInterval {
		for _, a := range proxy.Handle(now, TimerFired{}) {
			if _, ok := a.(Subscribe); !ok {
				continue
			}
			if lastFailure >= 0 {
				longestWait = max(longestWait, now-lastFailure)
			}
			if lastFailure < 0 && answerTime > 0 {
				proxy.Handle(now+answerTime, EndpointsUpdated{Kind: UpdateIncremental})
			}
			now += max(answerTime, failureTime())
			if lastFailure < 0 {
				firstFailure = now
			}
			lastFailure, failures = now, failures-1
			proxy.Handle(now, EndpointsUpdated{Kind: UpdateFailed})
		}
		if lastFailure >= 0 && now > lastFailure+time.Minute {
			t.Fatalf("%d proxies: no poll within a minute of a failed one", settings.Proxies)
		}
	}
	return longestWait
}

// A failed poll is repeated within MaxPollBackoff, however many polls have failed before and however many
// proxies there are, and sooner where the settings require a shorter poll interval. There is one exception:
// proxies so many that their polls would keep the queue of a slow discovery filled forever poll less often
// after congestionTimeout. The exception does not apply to polls that fail at once, and applies only after
// provenCongestionTimeout if an answer has shown that the polls of all proxies fit.
func TestFailedPollIsRepeatedWithinMaxPollBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(28, 1))
	for _, proxies := range []int{1, 3, 30, 80, 300} {
		for _, pollInterval := range []Time{10 * time.Second, time.Second} {
			for _, c := range []struct {
				name           string
				maxFailureTime Time // longest time that a poll takes to fail
				answerTime     Time // time in which one poll was answered before; 0: none was
				failingFor     Time // time for which the bound holds, but no longer; 0: it always holds
			}{
				{"slow failures", 4 * time.Second, 0, congestionTimeout},
				{"immediate failures", slowFailureThreshold, 0, 0},
				{"slow failures after a fast answer", 4 * time.Second, maxPollRoundTime / Time(proxies), provenCongestionTimeout},
				{"slow failures after a slow answer", 4 * time.Second, maxPollRoundTime/Time(proxies) + time.Millisecond, congestionTimeout},
			} {
				if proxies <= 36 {
					c.failingFor = 0
				}
				settings := Settings{Proxies: proxies, PollForEndpoints: true, PollInterval: pollInterval, MinEventInterval: time.Millisecond}
				limit := min(MaxPollBackoff, pollInterval) + tickInterval
				failureTime := func() Time { return Time(random.Int64N(int64(c.maxFailureTime))) }
				for seed := range int64(20) {
					failingFor, failures := time.Hour, 1+random.IntN(30)
					if c.failingFor > 0 {
						failingFor, failures = c.failingFor, 1000
					}
					if longestWait := longestPollWait(t, settings, seed, c.answerTime, failures, failingFor, failureTime); longestWait > limit {
						t.Errorf("%d proxies, poll interval %v, %s: polled again after %v, want at most %v", proxies, pollInterval, c.name, longestWait, limit)
					}
				}
				if c.failingFor == 0 || pollInterval < MaxPollBackoff {
					continue
				}
				if longestWait := longestPollWait(t, settings, 1, c.answerTime, 1000, c.failingFor+time.Minute, failureTime); longestWait <= limit {
					t.Errorf("%d proxies, %s: polls are so frequent that the queue of a slow discovery never empties", proxies, c.name)
				}
			}
		}
	}
}

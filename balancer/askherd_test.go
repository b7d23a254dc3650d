package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// pollingProxy is a proxy that polls: its balancer, and a model of its client in package
// internal/registry/client. A call without an answer ends after callTimeout and is repeated once, within 250
// ms. A poll that is answered is followed by a watch.
type pollingProxy struct {
	balancer      *Balancer
	dueAt         Time // when the present call ends, or the repeated call begins; 0: there is none
	dueResult     int  // result of the present call
	silentCalls   int  // calls in a row without an answer
	informedAt    Time // since when the proxy has the list; 0: it does not have it
	waitsToRepeat bool // it waits before it repeats a call
}

const (
	callServed = iota
	callSilent
	callRefused
)

// outageFleet simulates proxies that share one discovery service, which serves calls in turn and fails from
// lostAt to restoredAt.
type outageFleet struct {
	proxies            []*pollingProxy
	discovery          sequentialDiscovery
	lostAt, restoredAt Time
	outageResult       int // result of calls during the outage
	random             *rand.Rand
	callsBySecond      map[Time]int // calls by second since the end of the outage; negative during it
	timedOut           int          // calls since then that timed out in discovery's queue
}

// call starts a call of a proxy and schedules its end.
func (f *outageFleet) call(c *pollingProxy, now Time) {
	second := (now - f.restoredAt) / time.Second
	if now < f.restoredAt {
		second--
	}
	f.callsBySecond[second]++
	switch {
	case now >= f.lostAt && now < f.restoredAt && f.outageResult == callSilent:
		c.dueAt, c.dueResult = now+f.discovery.callTimeout, callSilent
	case now >= f.lostAt && now < f.restoredAt:
		c.dueAt, c.dueResult = now+time.Millisecond, callRefused
	default:
		at, served := f.discovery.call(now)
		if c.dueAt, c.dueResult = at, callServed; !served {
			c.dueResult = callSilent
			if now >= f.restoredAt {
				f.timedOut++
			}
		}
	}
}

// step handles the end of a proxy's call, or begins a repeated call.
func (f *outageFleet) step(c *pollingProxy, now Time) {
	switch {
	case c.waitsToRepeat:
		c.waitsToRepeat = false
		f.call(c, now)
	case c.dueResult == callServed:
		c.silentCalls, c.dueAt = 0, 0
		if c.informedAt == 0 {
			c.informedAt = now
		}
		f.discovery.call(now) // the watch takes a turn of discovery, too
		f.callsBySecond[(now-f.restoredAt)/time.Second]++
		c.balancer.Handle(now, EndpointsUpdated{Kind: UpdateIncremental})
	default:
		if c.silentCalls++; c.dueResult == callSilent && c.silentCalls < 2 {
			c.waitsToRepeat, c.dueAt = true, now+Time(f.random.Int64N(int64(250*time.Millisecond)))
			return
		}
		c.silentCalls, c.dueAt = 0, 0
		c.balancer.Handle(now, EndpointsUpdated{Kind: UpdateFailed})
	}
}

// run simulates the proxies from one time to another. Each proxy ticks at a phase of its own. At lostAt all
// watches are reset and the list counts as lost.
func (f *outageFleet) run(from, to Time) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for i, c := range f.proxies {
			if now == f.lostAt {
				c.informedAt, c.silentCalls, c.waitsToRepeat, c.dueAt = 0, 0, true, now+Time(f.random.Int64N(int64(250*time.Millisecond)))
			}
			if c.dueAt > 0 && now >= c.dueAt {
				f.step(c, now)
			}
			if (now+Time(i)*5*time.Millisecond)%tickInterval > 0 {
				continue
			}
			for _, a := range c.balancer.Handle(now, TimerFired{}) {
				if _, ok := a.(Subscribe); ok {
					f.call(c, now)
				}
			}
		}
	}
}

// After an outage of any kind and length, all proxies of one discovery that serves calls in turn know the
// list within 6 s, the calls do not time out in its queue, and they remain few. In a large fleet, proxies
// that never had an answer fast enough to prove that discovery is not congested may take longer after a long
// outage without answers. Where discovery really is too slow for the fleet, all may.
func TestEndOfDiscoveryOutageCausesNoThunderingHerd(t *testing.T) {
	for _, c := range []struct {
		proxies                     int
		serviceTime                 Time
		shortest, longest           Time // length of the outage
		informedWithin              Time // bound on the time after which all proxies know the list
		timedOut                    int
		busiestDuring, busiestAfter int // bounds on calls in the busiest of the outage's last 5 s, and after the outage
	}{
		{3, 60 * time.Millisecond, 5 * time.Second, time.Minute, 6 * time.Second, 0, 8, 8},
		{30, 60 * time.Millisecond, 5 * time.Second, time.Minute, 6 * time.Second, 0, 30, 40},
		{300, 5 * time.Millisecond, 5 * time.Second, 15 * time.Second, 6 * time.Second, 0, 300, 330},
		{300, 5 * time.Millisecond, 25 * time.Second, time.Minute, 6 * time.Second, 0, 300, 330},
		{80, 60 * time.Millisecond, 5 * time.Second, 12 * time.Second, time.Minute, 2000, 80, 80},
		{80, 60 * time.Millisecond, 25 * time.Second, time.Minute, 25 * time.Second, 200, 80, 80},
	} {
		for name, outageResult := range map[string]int{"silent": callSilent, "refusing": callRefused} {
			t.Run(fmt.Sprint(c.proxies, " nodes, ", name, " up to ", c.longest), func(t *testing.T) {
				latest, timedOut, busiestDuring, busiestAfter, lateProxies, proxies := Time(0), 0, 0, 0, 0, 0
				for seed := range uint64(max(4, 600/c.proxies)) {
					random, start := rand.New(rand.NewPCG(seed, 28)), time.Hour
					f := &outageFleet{lostAt: start, restoredAt: start + (c.shortest + Time(random.Int64N(int64(c.longest-c.shortest)))).Truncate(tickInterval),
						outageResult: outageResult, random: random, callsBySecond: map[Time]int{}, discovery: sequentialDiscovery{serviceTime: c.serviceTime, callTimeout: 1500 * time.Millisecond}}
					settings := Settings{Proxies: c.proxies, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}
					for i := range c.proxies {
						f.proxies = append(f.proxies, &pollingProxy{balancer: New(settings, int64(seed)*1000+int64(i))})
					}
					f.run(start-12*time.Second, f.restoredAt)
					mayBeCongested := outageResult == callSilent && f.restoredAt > start+congestionTimeout && c.proxies*int(pollSpacing) > int(MaxPollBackoff*2/3)
					late := map[*pollingProxy]bool{}
					for _, n := range f.proxies {
						if late[n] = mayBeCongested && (n.balancer.fastestAnswer == 0 || Time(c.proxies)*n.balancer.fastestAnswer > maxPollRoundTime); late[n] {
							lateProxies++
						}
					}
					proxies += c.proxies
					f.run(f.restoredAt, f.restoredAt+c.informedWithin+15*time.Second)
					for _, n := range f.proxies {
						took := n.informedAt - f.restoredAt
						if n.informedAt == 0 || took > max(c.informedWithin, 20*time.Second) || took > c.informedWithin && !late[n] {
							t.Fatalf("a proxy has the list %v after the end of the outage", took)
						}
						if !late[n] {
							latest = max(latest, took)
						}
					}
					timedOut = max(timedOut, f.timedOut)
					for second, calls := range f.callsBySecond {
						if second >= 0 {
							busiestAfter = max(busiestAfter, calls)
						} else if second >= -5 {
							busiestDuring = max(busiestDuring, calls)
						}
					}
				}
				t.Logf("list received after %v, except by %d of %d proxies; %d polls timed out, %d polls in the busiest second of the outage, %d after it", latest, lateProxies, proxies, timedOut, busiestDuring, busiestAfter)
				if timedOut > c.timedOut || busiestDuring > c.busiestDuring || busiestAfter > c.busiestAfter || c.serviceTime < 10*time.Millisecond && lateProxies > proxies/3 {
					t.Errorf("want at most %d polls timed out, %d in a second of the outage, %d after it", c.timedOut, c.busiestDuring, c.busiestAfter)
				}
			})
		}
	}
}

package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// pollingProxy is a proxy that polls discovery: its balancer, and a model of its client in package
// internal/registry/client. A call without an answer ends after callTimeout and is repeated once, within 250
// ms. A poll that is answered is followed by a watch.
type pollingProxy struct {
	balancer        *Balancer
	dueAt           Time // when the present call ends, or the repeated call begins; 0: there is none
	dueResult       int  // result of the present call
	unansweredCalls int  // calls in a row without an answer
	informedAt      Time // when the proxy got the list; 0: it does not have the list
	waitsToRepeat   bool // the proxy waits before it repeats a call
}

const (
	callServed = iota
	callUnanswered
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
	timedOut           int          // calls since the end of the outage that timed out in discovery's queue
}

// call starts a call of a proxy and schedules its end.
func (f *outageFleet) call(p *pollingProxy, now Time) {
	second := (now - f.restoredAt) / time.Second
	if now < f.restoredAt {
		second--
	}
	f.callsBySecond[second]++
	switch {
	case now >= f.lostAt && now < f.restoredAt && f.outageResult == callUnanswered:
		p.dueAt, p.dueResult = now+f.discovery.callTimeout, callUnanswered
	case now >= f.lostAt && now < f.restoredAt:
		p.dueAt, p.dueResult = now+time.Millisecond, callRefused
	default:
		at, served := f.discovery.call(now)
		if p.dueAt, p.dueResult = at, callServed; !served {
			p.dueResult = callUnanswered
			if now >= f.restoredAt {
				f.timedOut++
			}
		}
	}
}

// step handles the end of a proxy's call, or begins a repeated call.
func (f *outageFleet) step(p *pollingProxy, now Time) {
	switch {
	case p.waitsToRepeat:
		p.waitsToRepeat = false
		f.call(p, now)
	case p.dueResult == callServed:
		p.unansweredCalls, p.dueAt = 0, 0
		if p.informedAt == 0 {
			p.informedAt = now
		}
		f.discovery.call(now) // the watch takes a turn of discovery, too
		f.callsBySecond[(now-f.restoredAt)/time.Second]++
		p.balancer.Handle(now, EndpointsUpdated{Kind: UpdateIncremental})
	default:
		if p.unansweredCalls++; p.dueResult == callUnanswered && p.unansweredCalls < 2 {
			p.waitsToRepeat, p.dueAt = true, now+Time(f.random.Int64N(int64(250*time.Millisecond)))
			return
		}
		p.unansweredCalls, p.dueAt = 0, 0
		p.balancer.Handle(now, EndpointsUpdated{Kind: UpdateFailed})
	}
}

// run simulates the proxies from one time to another. The ticks of the proxies are at different times. At
// lostAt all watches are reset and the proxies count as not having the list.
func (f *outageFleet) run(from, to Time) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for i, p := range f.proxies {
			if now == f.lostAt {
				p.informedAt, p.unansweredCalls, p.waitsToRepeat, p.dueAt = 0, 0, true, now+Time(f.random.Int64N(int64(250*time.Millisecond)))
			}
			if p.dueAt > 0 && now >= p.dueAt {
				f.step(p, now)
			}
			if (now+Time(i)*5*time.Millisecond)%tickInterval > 0 {
				continue
			}
			for _, a := range p.balancer.Handle(now, TimerFired{}) {
				if _, ok := a.(Subscribe); ok {
					f.call(p, now)
				}
			}
		}
	}
}

// After an outage of any kind and length, all proxies know the list within 6 s, no call times out in
// discovery's queue, and calls are few. There are two exceptions. After a long outage in which calls were
// unanswered, a proxy of a large fleet may take longer if it never had an answer fast enough to prove that
// discovery is not congested. Where discovery really is too slow for the fleet, all proxies may take longer,
// and calls may time out.
func TestEndOfDiscoveryOutageCausesNoBurstOfPolls(t *testing.T) {
	for _, c := range []struct {
		proxies              int
		serviceTime          Time
		minOutage, maxOutage Time // length of the outage
		informedWithin       Time // bound on the time after which all proxies know the list
		maxTimedOut          int
		maxDuring, maxAfter  int // bounds on the calls in the busiest second: of the outage's last 5 s, and after the outage
	}{
		{3, 60 * time.Millisecond, 5 * time.Second, time.Minute, 6 * time.Second, 0, 8, 8},
		{30, 60 * time.Millisecond, 5 * time.Second, time.Minute, 6 * time.Second, 0, 30, 40},
		{300, 5 * time.Millisecond, 5 * time.Second, 15 * time.Second, 6 * time.Second, 0, 300, 330},
		{300, 5 * time.Millisecond, 25 * time.Second, time.Minute, 6 * time.Second, 0, 300, 330},
		{80, 60 * time.Millisecond, 5 * time.Second, 12 * time.Second, time.Minute, 2000, 80, 80},
		{80, 60 * time.Millisecond, 25 * time.Second, time.Minute, 25 * time.Second, 200, 80, 80},
	} {
		for name, outageResult := range map[string]int{"unanswered": callUnanswered, "refused": callRefused} {
			t.Run(fmt.Sprint(c.proxies, " proxies, calls ", name, ", outages up to ", c.maxOutage), func(t *testing.T) {
				latestListTime, timedOut, busiestDuring, busiestAfter, lateProxies, proxies := Time(0), 0, 0, 0, 0, 0
				for seed := range uint64(max(4, 600/c.proxies)) {
					random, start := rand.New(rand.NewPCG(seed, 28)), time.Hour
					f := &outageFleet{lostAt: start, restoredAt: start + (c.minOutage + Time(random.Int64N(int64(c.maxOutage-c.minOutage)))).Truncate(tickInterval),
						outageResult: outageResult, random: random, callsBySecond: map[Time]int{}, discovery: sequentialDiscovery{serviceTime: c.serviceTime, callTimeout: 1500 * time.Millisecond}}
					settings := Settings{Proxies: c.proxies, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}
					for i := range c.proxies {
						f.proxies = append(f.proxies, &pollingProxy{balancer: New(settings, int64(seed)*1000+int64(i))})
					}
					f.run(start-12*time.Second, f.restoredAt)
					mayBeCongested := outageResult == callUnanswered && f.restoredAt > start+congestionTimeout && c.proxies*int(pollSpacing) > int(MaxPollBackoff*2/3)
					late := map[*pollingProxy]bool{}
					for _, p := range f.proxies {
						if late[p] = mayBeCongested && (p.balancer.fastestAnswer == 0 || Time(c.proxies)*p.balancer.fastestAnswer > maxPollRoundTime); late[p] {
							lateProxies++
						}
					}
					proxies += c.proxies
					f.run(f.restoredAt, f.restoredAt+c.informedWithin+15*time.Second)
					for _, p := range f.proxies {
						listTime := p.informedAt - f.restoredAt
						if p.informedAt == 0 || listTime > max(c.informedWithin, 20*time.Second) || listTime > c.informedWithin && !late[p] {
							t.Fatalf("a proxy has the list %v after the end of the outage", listTime)
						}
						if !late[p] {
							latestListTime = max(latestListTime, listTime)
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
				t.Logf("list received after %v, except by %d of %d proxies; %d polls timed out, %d polls in the busiest second of the outage, %d after it", latestListTime, lateProxies, proxies, timedOut, busiestDuring, busiestAfter)
				if timedOut > c.maxTimedOut || busiestDuring > c.maxDuring || busiestAfter > c.maxAfter || c.serviceTime < 10*time.Millisecond && lateProxies > proxies/3 {
					t.Errorf("want at most %d polls timed out, %d in a second of the outage, %d after it", c.maxTimedOut, c.maxDuring, c.maxAfter)
				}
			})
		}
	}
}

package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetCaller is a node that asks: its module, and of its client what the package internal/registry/client does with the
// module's word. A call that isn't held is given up after patience; one that fell silent is made once more within
// spread; the first that is answered is followed by one that is held.
type fleetCaller struct {
	m       *Balancer
	due     Time // what was begun ends, or begins, then; 0: the module has not asked
	end     int  // how
	silent  int  // calls in a row
	knows   Time // since when it has the list; 0: it has not
	waiting bool // between two silent calls
}

const (
	callServed = iota
	callSilent
	callRefused
)

// fleet plays nodes that lost one discovery together, which is down in one way and then back, and serves calls in turn.
type fleet struct {
	nodes      []*fleetCaller
	discovery  sharedDiscovery
	lost, back Time
	down       int // how calls end in between
	chance     *rand.Rand
	made       map[Time]int // calls, in each second since the outage's end
	timedOut   int          // in discovery's queue, since then
}

func (f *fleet) call(c *fleetCaller, now Time) {
	second := (now - f.back) / time.Second
	if now < f.back {
		second--
	}
	f.made[second]++
	switch {
	case now >= f.lost && now < f.back && f.down == callSilent:
		c.due, c.end = now+f.discovery.patience, callSilent
	case now >= f.lost && now < f.back:
		c.due, c.end = now+time.Millisecond, callRefused
	default:
		at, served := f.discovery.call(now)
		if c.due, c.end = at, callServed; !served {
			c.end = callSilent
			if now >= f.back {
				f.timedOut++
			}
		}
	}
}

// step carries a node on by what was due.
func (f *fleet) step(c *fleetCaller, now Time) {
	switch {
	case c.waiting:
		c.waiting = false
		f.call(c, now)
	case c.end == callServed:
		c.silent, c.due = 0, 0
		if c.knows == 0 {
			c.knows = now
		}
		f.discovery.call(now) // the watch: held, it takes its turn, too
		f.made[(now-f.back)/time.Second]++
		c.m.Handle(now, EndpointsUpdated{Kind: UpdateIncremental})
	default:
		if c.silent++; c.end == callSilent && c.silent < 2 {
			c.waiting, c.due = true, now+Time(f.chance.Int64N(int64(250*time.Millisecond)))
			return
		}
		c.silent, c.due = 0, 0
		c.m.Handle(now, EndpointsUpdated{Kind: UpdateFailed})
	}
}

// run plays nodes that start together and get their lists, and lose them as all watches are reset, from one moment up
// to another. Each has its own clock.
func (f *fleet) run(from, to Time) {
	for now := from; now < to; now += 5 * time.Millisecond {
		for i, c := range f.nodes {
			if now == f.lost {
				c.knows, c.silent, c.waiting, c.due = 0, 0, true, now+Time(f.chance.Int64N(int64(250*time.Millisecond)))
			}
			if c.due > 0 && now >= c.due {
				f.step(c, now)
			}
			if (now+Time(i)*5*time.Millisecond)%tickInterval > 0 {
				continue
			}
			for _, a := range c.m.Handle(now, TimerFired{}) {
				if _, ok := a.(Subscribe); ok {
					f.call(c, now)
				}
			}
		}
	}
}

// Nodes that ask one discovery, which serves them in turn, all know what it has 6 s after it is back, however it was
// down and for however long; their queue does not time out the calls in it, and calls stay few. Of a large fleet those
// know it later, after a long silence, that have never had an answer soon enough; of one for which discovery is too
// slow, all.
func TestReturnOfDiscoveryIsNoHerd(t *testing.T) {
	for _, c := range []struct {
		nodes             int
		each              Time
		shortest, longest Time // outage
		known             Time // by all, after the return
		timedOut          int
		before, after     int // calls in the busiest second of the last five of the outage, and after it
	}{
		{3, 60 * time.Millisecond, 5 * time.Second, time.Minute, 6 * time.Second, 0, 8, 8},
		{30, 60 * time.Millisecond, 5 * time.Second, time.Minute, 6 * time.Second, 0, 30, 40},
		{300, 5 * time.Millisecond, 5 * time.Second, 15 * time.Second, 6 * time.Second, 0, 300, 330},
		{300, 5 * time.Millisecond, 25 * time.Second, time.Minute, 6 * time.Second, 0, 300, 330},
		{80, 60 * time.Millisecond, 5 * time.Second, 12 * time.Second, time.Minute, 2000, 80, 80},
		{80, 60 * time.Millisecond, 25 * time.Second, time.Minute, 25 * time.Second, 200, 80, 80},
	} {
		for name, down := range map[string]int{"silent": callSilent, "refusing": callRefused} {
			t.Run(fmt.Sprint(c.nodes, " nodes, ", name, " up to ", c.longest), func(t *testing.T) {
				latest, out, before, after, unknown, all := Time(0), 0, 0, 0, 0, 0
				for seed := range uint64(max(4, 600/c.nodes)) {
					chance, start := rand.New(rand.NewPCG(seed, 28)), time.Hour
					f := &fleet{lost: start, back: start + (c.shortest + Time(chance.Int64N(int64(c.longest-c.shortest)))).Truncate(tickInterval),
						down: down, chance: chance, made: map[Time]int{}, discovery: sharedDiscovery{each: c.each, patience: 1500 * time.Millisecond}}
					set := Settings{Proxies: c.nodes, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}
					for i := range c.nodes {
						f.nodes = append(f.nodes, &fleetCaller{m: New(set, int64(seed)*1000+int64(i))})
					}
					f.run(start-12*time.Second, f.back)
					spread := down == callSilent && f.back > start+congestionTimeout && c.nodes*int(pollSpacing) > int(MaxPollBackoff*2/3)
					late := map[*fleetCaller]bool{}
					for _, n := range f.nodes {
						if late[n] = spread && (n.m.fastestAnswer == 0 || Time(c.nodes)*n.m.fastestAnswer > maxPollRoundTime); late[n] {
							unknown++
						}
					}
					all += c.nodes
					f.run(f.back, f.back+c.known+15*time.Second)
					for _, n := range f.nodes {
						took := n.knows - f.back
						if n.knows == 0 || took > max(c.known, 20*time.Second) || took > c.known && !late[n] {
							t.Fatalf("a node knows after %v", took)
						}
						if !late[n] {
							latest = max(latest, took)
						}
					}
					out = max(out, f.timedOut)
					for second, calls := range f.made {
						if second >= 0 {
							after = max(after, calls)
						} else if second >= -5 {
							before = max(before, calls)
						}
					}
				}
				t.Logf("known after %v, but for %d of %d; %d calls timed out, %d calls in the busiest second of the outage, %d after it", latest, unknown, all, out, before, after)
				if out > c.timedOut || before > c.before || after > c.after || c.each < 10*time.Millisecond && unknown > all/3 {
					t.Errorf("want %d calls timed out, %d in a second of the outage, %d after it, at most", c.timedOut, c.before, c.after)
				}
			})
		}
	}
}

package quota

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

var firstSchedule = flag.Int("first", 0, "seed of the first schedule of TestBoundHoldsInRandomSchedules")
var scheduleCount = flag.Int("schedules", 32, "end, exclusive, of the seeds of TestBoundHoldsInRandomSchedules")

// randomScheduleTable returns a table of two limits that are used up, a limit with few tokens and a limit on
// concurrency, within a limit of the fleet.
func randomScheduleTable(safe float64) *ratelimit.Table {
	return tableOf(ratelimit.Limit{Rate: 300, Burst: 60, FallbackShare: safe},
		ratelimit.Limit{Rate: 200, Burst: 30, Floor: 100, Borrow: true, FallbackShare: safe},
		ratelimit.Limit{Rate: 150, Burst: 15, Floor: 100, Borrow: true, FallbackShare: safe},
		ratelimit.Limit{Rate: 5, Burst: 3, FallbackShare: safe},
		ratelimit.Limit{Unit: ratelimit.UnitConcurrency, Rate: 30})
}

// runRandomSchedule runs 14 s of random events and faults: each fault begins, and most faults end, at a
// random time.
func runRandomSchedule(seed uint64, drift float64, h hooks) *simulation {
	sim := newSimulation(seed, drift, randomScheduleTable(randomElement(rand.New(rand.NewPCG(seed, 2)), []float64{0.25, 1})))
	sim.hooks = h
	sim.lossRate, sim.duplicateRate = sim.rng.Float64()*0.3*float64(sim.rng.IntN(2)), sim.rng.Float64()*0.3
	sim.meanDelay = time.Duration(sim.rng.Int64N(int64(60*time.Millisecond))) + time.Millisecond
	sim.times.maxRequestTime = 5 * time.Second
	sim.times.warmUp = time.Duration(sim.rng.Int64N(int64(3 * time.Second)))
	sim.startRegistry()
	sim.watchInvariant()
	for i := range 2 + sim.rng.IntN(2) {
		sim.startHost(fmt.Sprintf("h%d", i))
	}
	for i := range 3 + sim.rng.IntN(6) {
		sim.startProxy(fmt.Sprintf("n%d", i))
	}
	sim.registry.onWrite = func(h *host) {
		if sim.rng.IntN(6) == 0 { // the process dies after the write and before its result
			h.dead = true
			sim.after(2*time.Second, h.start)
		}
	}
	for sim.now < 14*time.Second {
		sim.injectRandomEvent()
		sim.run(time.Duration(sim.rng.ExpFloat64() * float64(400*time.Millisecond)))
	}
	return sim
}

func randomElement[T any](rng *rand.Rand, of []T) T { return of[rng.IntN(len(of))] }

// injectRandomEvent injects a random event or fault.
func (sim *simulation) injectRandomEvent() {
	p, h := sim.proxies[randomElement(sim.rng, sim.names)], randomElement(sim.rng, sim.hosts)
	duration := min(time.Duration(sim.rng.ExpFloat64()*float64(1500*time.Millisecond)), 4*time.Second)
	switch sim.rng.IntN(13) {
	case 0, 1, 2, 3: // demand jumps
		p.setLoad(1+sim.rng.IntN(4), randomElement(sim.rng, []float64{0, 0, 3, 60, 600}))
	case 4:
		p.crash()
		sim.after(duration, p.start)
	case 5:
		p.paused = true
		sim.after(duration, p.resume)
	case 6:
		h.dead = true
		sim.after(duration, h.start)
	case 7:
		h.paused = true
		sim.after(duration, h.resume)
	case 8: // a proxy is cut off from a host, but not from clients; sometimes in one direction only
		from, to := p.name, h.name
		if sim.rng.IntN(2) == 0 {
			from, to = to, from
		}
		sim.cutLinks[[2]string{from, to}] = true
		if sim.rng.IntN(2) == 0 {
			sim.cutLinks[[2]string{to, from}] = true
		}
		sim.after(duration, func() { sim.setCut(false, []string{p.name}, []string{h.name}) })
	case 9: // the network is divided into halves
		sides := [2][]string{}
		for _, name := range slices.Concat(sim.names, []string{"h0", "h1", "h2"}) {
			s := sim.rng.IntN(2)
			sides[s] = append(sides[s], name)
		}
		sim.setCut(true, sides[0], sides[1])
		sim.after(2*duration, func() { sim.setCut(false, sides[0], sides[1]) })
	case 10:
		h.cutOffFromRegistry = true
		sim.after(duration, func() { h.cutOffFromRegistry = false })
	case 11:
		sim.registry.down = sim.rng.IntN(2) == 0
	case 12: // a proxy joins, or leaves on purpose and comes back
		if name := fmt.Sprintf("n%d", sim.rng.IntN(12)); sim.proxies[name] == nil {
			sim.startProxy(name)
		} else if p := sim.proxies[name]; p.ledger != nil && !p.paused {
			p.handle(Leave{})
			sim.after(duration, p.start)
		}
	}
}

// worstOvershoot returns the largest excess over the bound of any limit, as a part of the limit's burst, and
// the index of that limit. A negative excess means that no bound was exceeded.
func (sim *simulation) worstOvershoot() (part float64, limit int) {
	part = math.Inf(-1)
	for i, c := range sim.checks {
		if excess := c.worstExcess / c.burst; excess > part {
			part, limit = excess, i
		}
	}
	return part, limit
}

func (sim *simulation) broken() bool {
	return sim.invariant.broken() || slices.ContainsFunc(sim.checks, (*boundCheck).broken)
}

// Under random faults, no limit admits more than its bound in any window, and the invariant holds at each
// moment.
func TestBoundHoldsInRandomSchedules(t *testing.T) {
	var admitted, lenders [8]int
	var worst [8]float64
	t.Run("schedules", func(t *testing.T) {
		for shard := range 8 {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := shard + *firstSchedule; seed < *scheduleCount; seed += 8 {
					drift := randomElement(rand.New(rand.NewPCG(uint64(seed), 1)), []float64{Drift, 0.05})
					sim := runRandomSchedule(uint64(seed), drift, hooks{})
					if part, limit := sim.worstOvershoot(); sim.broken() {
						t.Errorf("seed %d: limit %d over its bound by %.2f%% of the burst; rates by %.2f%%, capacity by %.2f%%, borrowed capacity by %.2f%%",
							seed, limit, 100*part, 100*sim.invariant.rate, 100*sim.invariant.capacity, 100*sim.invariant.borrowed)
					}
					part, _ := sim.worstOvershoot()
					worst[shard] = max(worst[shard], 1+part)
					for _, c := range sim.checks {
						admitted[shard] += c.admittedCount
					}
					for _, p := range sim.proxies {
						if p.ledger != nil && p.ledger.lentUntil > 0 {
							lenders[shard]++
						}
					}
				}
			})
		}
	})
	t.Logf("in the worst window, %.1f%% of the burst was used", 100*slices.Max(worst[:]))
	sum := func(a [8]int) (n int) {
		for _, v := range a {
			n += v
		}
		return n
	}
	if sum(admitted) < 100*(*scheduleCount-*firstSchedule) || sum(lenders) < (*scheduleCount-*firstSchedule)/20 {
		t.Errorf("%d requests admitted, %d proxies lent tokens: the schedules test nothing", sum(admitted), sum(lenders))
	}
}

package quota

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// settledFleet starts a registry, an allocator and proxies, and runs until they have settled. At the end of
// the test it checks the bound.
func settledFleet(t *testing.T, table *ratelimit.Table, proxies int) *simulation {
	w := newSimulation(1, Drift, table)
	w.startRegistry()
	w.startHost("h0")
	for i := range proxies {
		w.startProxy(fmt.Sprintf("n%03d", i))
	}
	t.Cleanup(func() {
		if w.broken() {
			part, limit := w.worstOvershoot()
			t.Errorf("limit %d over its bound by %.2f%% of the burst", limit, 100*part)
		}
	})
	w.run(10 * time.Second)
	return w
}

// usedPart returns the part of a limit's rate that is admitted in the next d.
func (w *simulation) usedPart(limit int, d time.Duration) float64 {
	before := w.checks[limit].admittedCount
	w.run(d)
	return float64(w.checks[limit].admittedCount-before) / (w.checks[limit].rate * d.Seconds())
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	t.Logf("%s: %.3f", what, got)
	if got < want {
		t.Errorf("%s is %.3f, want at least %.3f", what, got, want)
	}
}

// A limit is used up again 2 s after all demand for it has moved to another proxy, to a proxy that has just
// joined, or away from a proxy that crashed.
func TestLimitIsUsedAfterDemandJumpsBetweenProxies(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		w := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 500, Burst: 250}), 30)
		w.lossRate = loss
		w.proxies["n000"].setLoad(0, 2000)
		w.run(3 * time.Second)
		atLeast(t, "use before", w.usedPart(0, 2*time.Second), 0.95)
		w.proxies["n000"].setLoad(0, 0)
		w.proxies["n017"].setLoad(0, 2000)
		firstTwoSeconds := w.usedPart(0, 2*time.Second)
		t.Logf("within the first 2 s: %.3f", firstTwoSeconds)
		atLeast(t, "use from 2 s after the jump", w.usedPart(0, 2*time.Second), 0.95)
		w.startProxy("n999").setLoad(0, 2000)
		w.proxies["n017"].setLoad(0, 0)
		w.run(2 * time.Second)
		atLeast(t, "use by a proxy that has just joined", w.usedPart(0, 2*time.Second), 0.95)
		w.proxies["n999"].crash()
		w.proxies["n003"].setLoad(0, 2000)
		w.run(2 * time.Second)
		atLeast(t, "use by another proxy after its crash", w.usedPart(0, 2*time.Second), 0.95)
	}
}

// A limit that borrows gives the rate back within 2 s when a sibling has demand, and each limit has its floor
// however much demand its sibling has.
func TestFloorsHoldWhileOtherLimitsHaveMoreDemand(t *testing.T) {
	w := settledFleet(t, tableOf(ratelimit.Limit{Rate: 300, Burst: 100},
		ratelimit.Limit{Rate: 300, Burst: 60, Floor: 100, Borrow: true},
		ratelimit.Limit{Rate: 300, Burst: 60, Floor: 50, Borrow: true, Weight: 3}), 12)
	for i := range 12 {
		w.proxies[fmt.Sprintf("n%03d", i)].setLoad(1, 200)
	}
	w.run(2 * time.Second)
	atLeast(t, "use of the first limit, which borrows", w.usedPart(1, 2*time.Second), 0.93)
	w.proxies["n004"].setLoad(2, 150)
	w.run(2 * time.Second)
	atLeast(t, "use of the second limit, whose demand is 150 a second", w.usedPart(2, 3*time.Second), 0.95*150/300)
	atLeast(t, "use of the first limit while the second has demand", w.usedPart(1, 3*time.Second), 0.95*100/300)
	w.proxies["n004"].setLoad(2, 1000)
	w.run(2 * time.Second)
	atLeast(t, "use of the first limit while the second has excess demand", w.usedPart(1, 3*time.Second), 0.95*100/300)
	atLeast(t, "use of the outer limit", w.usedPart(0, 2*time.Second), 0.95)
}

// Without an allocator and the registry a proxy uses its fallback share and tokens that it borrows from
// others.
func TestFallbackSharesLastWithoutAllocatorAndRegistry(t *testing.T) {
	w := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 400, Burst: 400}), 8)
	for i := range 8 {
		w.proxies[fmt.Sprintf("n%03d", i)].setLoad(0, 10)
	}
	w.proxies["n000"].setLoad(0, 600)
	w.run(2 * time.Second)
	atLeast(t, "use with the allocator", w.usedPart(0, 2*time.Second), 0.95)
	w.registry.down, w.hosts[0].dead = true, true
	w.run(8 * time.Second)
	for i := 1; i < 8; i++ {
		w.proxies[fmt.Sprintf("n%03d", i)].setLoad(0, 0)
	}
	w.run(2 * time.Second)
	withoutAllocator := w.usedPart(0, 4*time.Second)
	atLeast(t, "use by one proxy without the allocator, mostly of borrowed tokens", withoutAllocator, 0.1)
	w.registry.down = false
	w.hosts[0].start()
	w.run(7 * time.Second)
	atLeast(t, "use once allocator and registry are back", w.usedPart(0, 2*time.Second), 0.95)
}

// A limit with a single token is used although there is not a token's capacity for each proxy.
func TestOneRequestASecondIsUsedAcrossThirtyProxies(t *testing.T) {
	w := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 1, Burst: 1}), 30)
	for _, n := range w.names {
		w.proxies[n].setLoad(0, 5)
	}
	w.run(5 * time.Second)
	atLeast(t, "use with demand at all proxies", w.usedPart(0, 40*time.Second), 0.5)
	for _, n := range w.names[1:] {
		w.proxies[n].setLoad(0, 0)
	}
	w.proxies[w.names[0]].setLoad(0, 50)
	w.run(5 * time.Second)
	atLeast(t, "use with demand at one proxy", w.usedPart(0, 20*time.Second), 0.9)
}

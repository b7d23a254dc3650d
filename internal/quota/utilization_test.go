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
	sim := newSimulation(1, Drift, table)
	sim.startRegistry()
	sim.startHost("h0")
	for i := range proxies {
		sim.startProxy(fmt.Sprintf("n%03d", i))
	}
	t.Cleanup(func() {
		if sim.broken() {
			part, limit := sim.worstOvershoot()
			t.Errorf("limit %d over its bound by %.2f%% of the burst", limit, 100*part)
		}
	})
	sim.run(10 * time.Second)
	return sim
}

// usedPart returns the part of a limit's rate that is admitted in the next d.
func (sim *simulation) usedPart(limit int, d time.Duration) float64 {
	before := sim.checks[limit].admittedCount
	sim.run(d)
	return float64(sim.checks[limit].admittedCount-before) / (sim.checks[limit].rate * d.Seconds())
}

func atLeast(t *testing.T, quantity string, got, want float64) {
	t.Helper()
	t.Logf("%s: %.3f", quantity, got)
	if got < want {
		t.Errorf("%s is %.3f, want at least %.3f", quantity, got, want)
	}
}

// 2 s after all demand for a limit has moved to another proxy, to a proxy that has just joined, or away from
// a proxy that crashed, the limit is used up again.
func TestLimitIsUsedAfterDemandJumpsBetweenProxies(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		sim := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 500, Burst: 250}), 30)
		sim.lossRate = loss
		sim.proxies["n000"].setLoad(0, 2000)
		sim.run(3 * time.Second)
		atLeast(t, "use before", sim.usedPart(0, 2*time.Second), 0.95)
		sim.proxies["n000"].setLoad(0, 0)
		sim.proxies["n017"].setLoad(0, 2000)
		firstTwoSeconds := sim.usedPart(0, 2*time.Second)
		t.Logf("within the first 2 s: %.3f", firstTwoSeconds)
		atLeast(t, "use from 2 s after the jump", sim.usedPart(0, 2*time.Second), 0.95)
		sim.startProxy("n999").setLoad(0, 2000)
		sim.proxies["n017"].setLoad(0, 0)
		sim.run(2 * time.Second)
		atLeast(t, "use by a proxy that has just joined", sim.usedPart(0, 2*time.Second), 0.95)
		sim.proxies["n999"].crash()
		sim.proxies["n003"].setLoad(0, 2000)
		sim.run(2 * time.Second)
		atLeast(t, "use by another proxy after its crash", sim.usedPart(0, 2*time.Second), 0.95)
	}
}

// A limit that borrows gives the rate back within 2 s when a sibling has demand, and each limit has its floor
// however much demand its sibling has.
func TestFloorsHoldWhileOtherLimitsHaveMoreDemand(t *testing.T) {
	sim := settledFleet(t, tableOf(ratelimit.Limit{Rate: 300, Burst: 100},
		ratelimit.Limit{Rate: 300, Burst: 60, Floor: 100, Borrow: true},
		ratelimit.Limit{Rate: 300, Burst: 60, Floor: 50, Borrow: true, Weight: 3}), 12)
	for i := range 12 {
		sim.proxies[fmt.Sprintf("n%03d", i)].setLoad(1, 200)
	}
	sim.run(2 * time.Second)
	atLeast(t, "use of the first limit, which borrows", sim.usedPart(1, 2*time.Second), 0.93)
	sim.proxies["n004"].setLoad(2, 150)
	sim.run(2 * time.Second)
	atLeast(t, "use of the second limit, whose demand is 150 a second", sim.usedPart(2, 3*time.Second), 0.95*150/300)
	atLeast(t, "use of the first limit while the second has demand", sim.usedPart(1, 3*time.Second), 0.95*100/300)
	sim.proxies["n004"].setLoad(2, 1000)
	sim.run(2 * time.Second)
	atLeast(t, "use of the first limit while the second has excess demand", sim.usedPart(1, 3*time.Second), 0.95*100/300)
	atLeast(t, "use of the outer limit", sim.usedPart(0, 2*time.Second), 0.95)
}

// Without an allocator and the registry, a proxy uses its fallback share and the tokens that it borrows from
// other proxies.
func TestFallbackSharesLastWithoutAllocatorAndRegistry(t *testing.T) {
	sim := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 400, Burst: 400}), 8)
	for i := range 8 {
		sim.proxies[fmt.Sprintf("n%03d", i)].setLoad(0, 10)
	}
	sim.proxies["n000"].setLoad(0, 600)
	sim.run(2 * time.Second)
	atLeast(t, "use with the allocator", sim.usedPart(0, 2*time.Second), 0.95)
	sim.registry.down, sim.hosts[0].dead = true, true
	sim.run(8 * time.Second)
	for i := 1; i < 8; i++ {
		sim.proxies[fmt.Sprintf("n%03d", i)].setLoad(0, 0)
	}
	sim.run(2 * time.Second)
	withoutAllocator := sim.usedPart(0, 4*time.Second)
	atLeast(t, "use by one proxy without the allocator, mostly of borrowed tokens", withoutAllocator, 0.1)
	sim.registry.down = false
	sim.hosts[0].start()
	sim.run(7 * time.Second)
	atLeast(t, "use once allocator and registry are back", sim.usedPart(0, 2*time.Second), 0.95)
}

// A limit with a single token is used although there is not a token's capacity for each proxy.
func TestLimitOfOneTokenIsUsedByThirtyProxies(t *testing.T) {
	sim := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 1, Burst: 1}), 30)
	for _, name := range sim.names {
		sim.proxies[name].setLoad(0, 5)
	}
	sim.run(5 * time.Second)
	atLeast(t, "use with demand at all proxies", sim.usedPart(0, 40*time.Second), 0.5)
	for _, name := range sim.names[1:] {
		sim.proxies[name].setLoad(0, 0)
	}
	sim.proxies[sim.names[0]].setLoad(0, 50)
	sim.run(5 * time.Second)
	atLeast(t, "use with demand at one proxy", sim.usedPart(0, 20*time.Second), 0.9)
}

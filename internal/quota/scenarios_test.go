package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// previousAllocatorContinues runs an allocator that continues to grant although its lease has ended, while
// another allocator has the lease. It also notifies some proxies late that the previous allocator is the
// allocator. Proxies that know the next allocator's higher fencing token must apply no grant of the previous
// one.
func previousAllocatorContinues(mutate func(p *proxy, e *AllocatorKnown)) *simulation {
	sim := newSimulation(3, Drift, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 300, Burst: 100}))
	sim.hooks.beforeAllocatorKnown = mutate
	sim.startRegistry()
	old := sim.startHost("h0")
	for i := range 8 {
		sim.startProxy(fmt.Sprintf("n%03d", i)).setLoad(0, 200)
	}
	sim.run(5 * time.Second)
	old.paused = true
	sim.startHost("h1")
	sim.run(5 * time.Second)
	old.cutOffFromRegistry = true
	old.resume()
	old.handle(LeaseHeld{1, old.clock.at(sim.now) + time.Hour})
	for i := range 4 {
		e := AllocatorKnown{"h0", 1}
		p := sim.proxies[fmt.Sprintf("n%03d", i)]
		if mutate != nil {
			mutate(p, &e)
		}
		p.handle(e)
	}
	sim.run(5 * time.Second)
	return sim
}

func TestLowerFencingTokenIsRejected(t *testing.T) {
	sim := previousAllocatorContinues(nil)
	if sim.broken() {
		t.Errorf("over the bound by %v", sim.checks[0].worstExcess)
	}
	atLeast(t, "use", sim.usedPart(0, 2*time.Second), 0.95)
	if !previousAllocatorContinues(func(p *proxy, _ *AllocatorKnown) { p.ledger.token = 0 }).broken() {
		t.Error("the check does not find proxies that accept a lower fencing token")
	}
}

func TestBoundHoldsWhenUsedUpLimitIsLowered(t *testing.T) {
	sim := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 400, Burst: 200}), 12)
	for _, name := range sim.names {
		sim.proxies[name].setLoad(0, 100)
	}
	sim.run(3 * time.Second)
	sim.setCut(true, []string{"n003"}, []string{"h0"}) // this proxy never learns of the new table
	sim.run(2 * time.Second)
	before := sim.table
	sim.table = tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 100, Burst: 50})
	sim.table.Version = 2
	sim.hosts[0].handle(TableChanged{Current: sim.table, Previous: before})
	for _, name := range sim.names[4:] {
		sim.proxies[name].handle(TableChanged{Current: sim.table})
	}
	sim.run(sim.times.countedLease())
	sim.checks[0].lower(sim.now, 100, 50)
	sim.run(3 * time.Second)
	// The part that is reserved for proxies that may still use the old table is not available to the others.
	atLeast(t, "use of the lower limit", sim.usedPart(0, 3*time.Second), 0.7)
}

func TestLimitIsUsedWhileAllocatorIsInSmallerPartition(t *testing.T) {
	sim := settledFleet(t, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 400, Burst: 400}), 12)
	for _, name := range sim.names {
		sim.proxies[name].setLoad(0, 100)
	}
	sim.run(2 * time.Second)
	for _, name := range sim.names[:3] {
		sim.proxies[name].setLoad(0, 200)
	}
	smaller, larger := []string{"h0", "n000", "n001", "n002"}, sim.names[3:]
	sim.setCut(true, smaller, larger)
	sim.run(8 * time.Second)
	atLeast(t, "use by both parts", sim.usedPart(0, 4*time.Second), 0.9)
	sim.setCut(false, smaller, larger)
	sim.run(3 * time.Second)
	atLeast(t, "use after the cut", sim.usedPart(0, 2*time.Second), 0.95)
}

func TestIdleLimitsCauseNoDatagrams(t *testing.T) {
	each := make([]ratelimit.Limit, 1000)
	for i := range each {
		each[i] = ratelimit.Limit{Rate: 100, Burst: 50}
	}
	sim := newSimulation(5, Drift, tableOf(ratelimit.Limit{}, each...))
	sim.startRegistry()
	sim.startHost("h0")
	const proxyCount = 100
	for i := range proxyCount {
		p := sim.startProxy(fmt.Sprintf("n%03d", i))
		p.setLoad(i*3, 5)
		p.setLoad(i*3+1, 150)
	}
	sim.run(8 * time.Second)
	clear(sim.sentDatagrams)
	clear(sim.sentBytes)
	sim.run(2 * time.Second)
	t.Logf("a proxy sends %.1f datagrams and %.0f bytes a second; the allocator %.1f datagrams a second and proxy",
		float64(sim.sentDatagrams["n001"])/2, float64(sim.sentBytes["n001"])/2, float64(sim.sentDatagrams["h0"])/2/proxyCount)
	if got := sim.sentDatagrams["n001"]; got > 14 {
		t.Errorf("a proxy with 2 busy limits of 1,000 sent %d datagrams in 2 s, want at most 14", got)
	}
	atLeast(t, "use of a busy limit", sim.usedPart(4, 2*time.Second), 0.95)
	if sim.broken() {
		t.Error("over the bound")
	}
}

func TestAdmissionAllocatesNoMemory(t *testing.T) {
	l := NewLedger(LedgerConfig{Name: "n", Generation: 1})
	l.Handle(0, TableChanged{Current: randomScheduleTable(1)})
	now := time.Duration(0)
	if got := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		l.AdvanceTo(now)
		if l.Available(1) >= 1 {
			l.Take(1, 1)
		} else {
			l.Rejected(1, 1)
		}
	}); got != 0 {
		t.Errorf("%v allocations a request, want none", got)
	}
}

// Corrupted datagrams cause no panic and no more members than MaxProxies.
func TestCorruptedDatagramsCauseNoPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	sim := settledFleet(t, randomScheduleTable(1), 3)
	kinds := [][]byte{
		(&claimMessage{token: 1, generation: 1, number: 1, name: "n000", items: make([]claimItem, 3)}).encode(1),
		(&grantMessage{token: 1, generation: 1, claimNumber: 1, number: 1, items: make([]grantItem, 3)}).encode(1),
		(&announcementMessage{1, "h"}).encode(1), (&leaveMessage{1, "x"}).encode(1), (&borrowMessage{1, 2, 3, "n001"}).encode(1), (&loanMessage{1, 2, 3}).encode(1),
	}
	for range 20_000 {
		d := append([]byte(nil), randomElement(rng, kinds)...)
		for range rng.IntN(4) {
			d[rng.IntN(len(d))] = byte(rng.Uint32())
		}
		d = d[:rng.IntN(len(d)+1)]
		sim.proxies["n001"].ledger.Handle(sim.now, Message{d})
		sim.hosts[0].allocator.Handle(sim.now, Message{d})
	}
	if n := len(sim.hosts[0].allocator.members); n > MaxProxies {
		t.Errorf("%d members, want at most MaxProxies", n)
	}
}

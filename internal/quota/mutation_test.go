package quota

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// Each way of breaking the cores is found by the checks, which shows that the checks can fail.
func TestChecksFindDeliberatelyBrokenCores(t *testing.T) {
	for name, hook := range map[string]hooks{
		"rates and leases without drift margin": {allocatorTick: func(_ *simulation, h *host) { h.allocator.times.drift = 0 }},
		"share of a silent proxy not reserved": {allocatorTick: func(sim *simulation, h *host) {
			for _, m := range h.allocator.members { // as if a proxy that membership takes for dead had no share
				if isSilent(h, m) {
					h.allocator.removeMember(m.name)
					return
				}
			}
		}},
		"loan credited twice": {
			beforeMessage: func(p *proxy, data []byte) {
				if data[0] == kindLoan {
					p.handle(Message{data})
					restorePendingLoan(p, data, p.ledger.now)
				}
			},
		},
		"loan credited late": {beforeMessage: func(p *proxy, data []byte) {
			if data[0] == kindLoan {
				restorePendingLoan(p, data, p.ledger.now)
			}
		}},
		"new allocator grants before previous leases end": {leaseAcquired: func(h *host) {
			h.allocator.previousLeasesEnd = 0
		}},
		"fallback share granted to others after its suspension": {allocatorTick: func(_ *simulation, h *host) {
			for _, m := range h.allocator.members {
				m.fallbackSuspendedUntil += time.Second / 20
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(200) {
				if runCutSchedule(seed, hook).broken() || runRandomSchedule(seed, 0.05, hook).broken() {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Error("not found in 200 schedules")
		})
	}
}

// runCutSchedule runs a fleet in which a proxy with all demand is cut off from the allocator, together with
// an idle proxy, while another proxy gets demand.
func runCutSchedule(seed uint64, hook hooks) *simulation {
	sim := newSimulation(seed, 0.05, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 200, Burst: 20, FallbackShare: 1}))
	sim.hooks, sim.meanDelay = hook, 200*time.Microsecond
	sim.startRegistry()
	sim.watchInvariant()
	sim.startHost("h0")
	for i := range 4 {
		sim.startProxy(fmt.Sprintf("n%d", i))
	}
	sim.run(9 * time.Second)
	for range 3 {
		order := sim.rng.Perm(4)
		busy, idle, other := sim.proxies[sim.names[order[0]]], sim.proxies[sim.names[order[1]]], sim.proxies[sim.names[order[2]]]
		busy.setLoad(0, 400)
		sim.run(2 * time.Second)
		cutOff := []string{busy.name, idle.name}
		sim.setCut(true, cutOff, []string{"h0"})
		other.setLoad(0, 400)
		sim.run(6 * time.Second)
		sim.setCut(false, cutOff, []string{"h0"})
		busy.setLoad(0, 0)
		other.setLoad(0, 0)
		sim.run(time.Second + time.Duration(sim.rng.Int64N(int64(time.Second))))
	}
	return sim
}

func TestBoundHoldsWhileProxiesAreCutOff(t *testing.T) {
	for seed := range uint64(10) {
		sim := runCutSchedule(seed, hooks{})
		if sim.broken() {
			t.Errorf("seed %d: over the bound by %v; %+v", seed, sim.checks[0].worstExcess, sim.invariant)
		}
	}
}

// isSilent reports whether the allocator has sent the member no grant within a lease duration.
func isSilent(h *host, m *member) bool {
	for _, t := range m.sentGrants {
		if t.number > 0 && h.allocator.now-t.sentAt < h.allocator.times.leaseDuration {
			return false
		}
	}
	return h.allocator.now-m.fallbackCountedSince > h.allocator.times.leaseDuration
}

// restorePendingLoan makes the ledger wait again for lent tokens that it has received, or that it no longer
// waits for because they are late.
func restorePendingLoan(p *proxy, data []byte, at time.Duration) {
	_, r, _ := readHeader(data, 1)
	loan, _ := decodeLoan(r)
	i, found := p.ledger.limits.byHash[loan.hash]
	if found {
		p.ledger.pendingLoans[loan.nonce] = pendingLoan{limitIndex: i, hash: loan.hash, amount: loan.amount, requestedAt: at}
	}
}

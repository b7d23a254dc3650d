package quota

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// The checks find each way of breaking the cores, which shows that the checks can fail.
func TestChecksFindDeliberatelyBrokenCores(t *testing.T) {
	for name, hook := range map[string]hooks{
		"no drift margin": {allocatorTick: func(_ *simulation, h *host) { h.allocator.times.drift = 0 }},
		"no reserve for the silent": {allocatorTick: func(w *simulation, h *host) {
			for _, m := range h.allocator.members { // as if a proxy that membership takes for dead had no share
				if isSilent(h, m) {
					h.allocator.removeMember(m.name)
					return
				}
			}
		}},
		"credited twice": {
			beforeMessage: func(n *proxy, data []byte) {
				if data[0] == kindLoan {
					n.handle(Message{data})
					restorePendingLoan(n, data, n.ledger.now)
				}
			},
		},
		"credited late": {beforeMessage: func(n *proxy, data []byte) {
			if data[0] == kindLoan {
				restorePendingLoan(n, data, n.ledger.now)
			}
		}},
		"new holder grants at once": {leaseAcquired: func(h *host) {
			h.allocator.previousLeasesEnd = 0
		}},
		"lent while at rest": {allocatorTick: func(_ *simulation, h *host) {
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
	w := newSimulation(seed, 0.05, tableOf(ratelimit.Limit{}, ratelimit.Limit{Rate: 200, Burst: 20, FallbackShare: 1}))
	w.hooks, w.meanDelay = hook, 200*time.Microsecond
	w.startRegistry()
	w.watchInvariant()
	w.startHost("h0")
	for i := range 4 {
		w.startProxy(fmt.Sprintf("n%d", i))
	}
	w.run(9 * time.Second)
	for range 3 {
		order := w.rng.Perm(4)
		busy, idle, other := w.proxies[w.names[order[0]]], w.proxies[w.names[order[1]]], w.proxies[w.names[order[2]]]
		busy.setLoad(0, 400)
		w.run(2 * time.Second)
		cutOff := []string{busy.name, idle.name}
		w.setCut(true, cutOff, []string{"h0"})
		other.setLoad(0, 400)
		w.run(6 * time.Second)
		w.setCut(false, cutOff, []string{"h0"})
		busy.setLoad(0, 0)
		other.setLoad(0, 0)
		w.run(time.Second + time.Duration(w.rng.Int64N(int64(time.Second))))
	}
	return w
}

func TestBoundHoldsWhileProxiesAreCutOff(t *testing.T) {
	for seed := range uint64(10) {
		w := runCutSchedule(seed, hooks{})
		if w.broken() {
			t.Errorf("seed %d: over the bound by %v; %+v", seed, w.checks[0].worstExcess, w.invariant)
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

// restorePendingLoan makes the ledger wait again for tokens that it has received or no longer waits for.
func restorePendingLoan(n *proxy, data []byte, at time.Duration) {
	_, r, _ := readHeader(data, 1)
	g, _ := decodeLoan(r)
	i, found := n.ledger.limits.byHash[g.hash]
	if found {
		n.ledger.pendingLoans[g.nonce] = pendingLoan{limitIndex: i, hash: g.hash, amount: g.amount, requestedAt: at}
	}
}

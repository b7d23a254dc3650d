package quota

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/ratelimit"
)

// Each way of breaking the cores has to be found by the check, which shows that it can fail.
func TestCheckFindsBrokenCores(t *testing.T) {
	for name, hook := range map[string]hooks{
		"no drift margin": {tick: func(_ *world, h *host) { h.core.times.drift = 0 }},
		"no reserve for the silent": {tick: func(w *world, h *host) {
			for _, m := range h.core.members { // as if the view's word that a proxy is dead were enough
				if silent(h, m) {
					h.core.removeMember(m.name)
					return
				}
			}
		}},
		"credited twice": {
			message: func(n *node, data []byte) {
				if data[0] == kindLoan {
					n.handle(Message{data})
					restore(n, data, n.led.now)
				}
			},
		},
		"credited late": {message: func(n *node, data []byte) {
			if data[0] == kindLoan {
				restore(n, data, n.led.now)
			}
		}},
		"new holder grants at once": {holder: func(h *host) {
			h.core.previousLeasesEnd = 0
		}},
		"lent while at rest": {tick: func(_ *world, h *host) {
			for _, m := range h.core.members {
				m.fallbackSuspendedUntil += time.Second / 20
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(200) {
				if cuts(seed, hook).broken() || drawn(seed, 0.05, hook).broken() {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Error("not found in 200 schedules")
		})
	}
}

// cuts plays a proxy that has all demand and is cut off with an idle one, while another gets the demand.
func cuts(seed uint64, hook hooks) *world {
	w := newWorld(seed, 0.05, books(ratelimit.Limit{}, ratelimit.Limit{Rate: 200, Burst: 20, FallbackShare: 1}))
	w.hook, w.delay = hook, 200*time.Microsecond
	w.serve()
	w.watchInvariant()
	w.host("h0")
	for i := range 4 {
		w.node(fmt.Sprintf("n%d", i))
	}
	w.run(9 * time.Second)
	for range 3 {
		order := w.rng.Perm(4)
		one, idle, other := w.nodes[w.names[order[0]]], w.nodes[w.names[order[1]]], w.nodes[w.names[order[2]]]
		one.want(0, 400)
		w.run(2 * time.Second)
		away := []string{one.name, idle.name}
		w.part(true, away, []string{"h0"})
		other.want(0, 400)
		w.run(6 * time.Second)
		w.part(false, away, []string{"h0"})
		one.want(0, 0)
		other.want(0, 0)
		w.run(time.Second + time.Duration(w.rng.Int64N(int64(time.Second))))
	}
	return w
}

func TestBoundHoldsWhileNodesAreCutOff(t *testing.T) {
	for seed := range uint64(10) {
		w := cuts(seed, hooks{})
		if w.broken() {
			t.Errorf("seed %d: over the bound by %v; %+v", seed, w.checks[0].worst, w.inv)
		}
	}
}

func silent(h *host, m *member) bool {
	for _, t := range m.sentGrants {
		if t.number > 0 && h.core.now-t.sentAt < h.core.times.leaseDuration {
			return false
		}
	}
	return h.core.now-m.fallbackCountedSince > h.core.times.leaseDuration
}

// restore makes the ledger await tokens that it has, or that it no longer awaits.
func restore(n *node, data []byte, at time.Duration) {
	_, r, _ := readHeader(data, 1)
	g, _ := decodeLoan(r)
	i, found := n.led.limits.byHash[g.hash]
	if found {
		n.led.pendingLoans[g.nonce] = pendingLoan{limitIndex: i, hash: g.hash, amount: g.amount, requestedAt: at}
	}
}

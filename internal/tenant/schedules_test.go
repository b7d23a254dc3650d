package tenant

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sendRequests sends requests of random tenants to random proxies, at random times.
func (w *simulation) sendRequests() {
	proxy := w.proxies[w.IntN(len(w.proxies))]
	w.sendRequest(proxy, fmt.Sprint("t", w.IntN(w.tenantCount)), []string{"a", "b"}[w.IntN(2)])
	w.after(time.Duration(1+w.IntN(60))*time.Millisecond, w.sendRequests)
}

// injectFault injects a random fault with a random duration, and schedules the next fault.
func (w *simulation) injectFault() {
	if w.faultless {
		return
	}
	w.after(time.Duration(w.IntN(3000))*time.Millisecond, w.injectFault)
	proxy := w.proxies[w.IntN(len(w.proxies))]
	duration := time.Duration(w.IntN(9000)) * time.Millisecond
	if proxy.dead || proxy.cache.leaving {
		return
	}
	switch w.IntN(11) {
	case 0, 1:
		w.cutOff(proxy, duration)
	case 2:
		w.logf("%s pauses for %v", proxy.name, duration)
		proxy.asleepUntil, proxy.tickedSinceWake = w.now+duration, false
	case 3:
		w.logf("%s is killed", proxy.name)
		proxy.dead = true
		if w.IntN(4) > 0 {
			w.after(duration, func() { w.startProxy(proxy.name) })
		} else { // the proxy does not return, and an operator removes it from the members
			w.after(duration, func() { w.submitOrder(proxy.name, OrderForgetMember, 0) })
		}
	case 4:
		w.logf("%s leaves", proxy.name)
		proxy.whenAwake(func() { proxy.handle(Leave{}) })
		w.after(duration, func() { w.startProxy(fmt.Sprint("n", len(w.proxies))) })
	case 5:
		w.failController(0)
	case 6:
		w.failController(testTTL + duration)
	case 7:
		w.logf("policy %d", w.policy.Version+1)
		w.newPolicy()
	default:
		w.pendingCutOffs = 1 + w.IntN(4)
	}
}

// cutOff makes a proxy lose all its calls to the registry for a time.
func (w *simulation) cutOff(proxy *testProxy, duration time.Duration) {
	w.logf("%s is cut off for %v", proxy.name, duration)
	proxy.cutOff = true
	w.after(duration, func() { proxy.cutOff = false })
}

// submitOrders submits random orders at random times.
func (w *simulation) submitOrders() {
	if w.faultless {
		return
	}
	op := []string{OrderAdd, OrderAdd, OrderAdd, OrderChange, OrderChange, OrderSuspend, OrderResume, OrderRemove, OrderRemove}[w.IntN(9)]
	variant := w.IntN(40)
	if w.IntN(2) == 0 {
		variant = limitCount(int64(w.policy.Version)) - 1 - w.IntN(5) // of the newest limits
	}
	w.submitOrder(fmt.Sprint("t", w.IntN(4)), op, variant)
	w.after(time.Duration(w.IntN(1200))*time.Millisecond, w.submitOrders)
}

// runSchedule runs a random schedule: faults for 20 seconds, then 25 seconds without faults, after which all
// orders must be done and all proxies must decide as published.
func runSchedule(seed uint64, mutated mutations) *simulation {
	w := newSimulation(seed, 3, 4, mutated)
	w.after(0, w.sendRequests)
	w.after(time.Second, w.submitOrders)
	w.after(2*time.Second, w.injectFault)
	w.run(20 * time.Second)
	w.faultless = true
	for _, proxy := range w.proxies {
		if proxy.cutOff = false; proxy.dead && !w.isRunning(proxy.name) {
			w.submitOrder(proxy.name, OrderForgetMember, 0)
		}
	}
	w.run(w.now + 25*time.Second)
	w.checkSettled()
	return w
}

// isRunning reports whether a process of a proxy is running.
func (w *simulation) isRunning(name string) bool {
	return slices.ContainsFunc(w.proxies, func(proxy *testProxy) bool { return proxy.name == name && !proxy.dead })
}

// checkSettled checks that all tenants are settled and that all proxies decide as published.
func (w *simulation) checkSettled() {
	if w.violation != "" {
		return
	}
	for _, name := range sortedKeys(w.oracle.state) {
		if !w.oracle.state[name].isSettled() {
			w.fail("%s is still %s after the last fault, want a settled state", name, w.oracle.state[name])
		}
	}
	for _, proxy := range w.proxies {
		for t := range w.tenantCount {
			proxy.whenAwake(func() {
				proxy.catalogue.Decide(proxy.clock(), fmt.Sprint("x-t", t), "a", "") // marks the leaf as used, if it is cached
				proxy.handle(LeafMissing{fmt.Sprint("x-t", t)})
			})
		}
	}
	w.run(w.now + 300*time.Millisecond)
	for _, proxy := range w.proxies {
		for t := range w.tenantCount {
			name := fmt.Sprint("t", t)
			if proxy.dead || proxy.left {
				continue
			}
			decision, published := proxy.catalogue.Decide(proxy.clock(), "x-"+name, "a", ""), w.oracle.published[name+" a"]
			if (decision.Kind == Unavailable) || (decision.Kind == NotFound) != (published == "") {
				w.fail("%s decides %v (%s) on %s after the last fault, published is %q", proxy.name, decision.Kind, decision.Reason, name, published)
			}
		}
	}
}

// forEachInParallel calls do with the numbers below count, in parallel, until a call returns true.
func forEachInParallel(count int, do func(i int) (stop bool)) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				if do(int(i)) {
					next.Store(int64(count))
				}
			}
		})
	}
	group.Wait()
}

// runSchedules runs schedules with the seeds below count until one violates a rule. It returns the simulation
// and the seed of a schedule that violated a rule, or nil, and the number of times that tenants were added.
func runSchedules(count int, mutated mutations) (failed *simulation, seed uint64, activations int) {
	var mu sync.Mutex
	forEachInParallel(count, func(i int) bool {
		w := runSchedule(uint64(i), mutated)
		mu.Lock()
		defer mu.Unlock()
		for _, k := range w.oracle.activations {
			activations += k
		}
		if w.violation != "" && (failed == nil || uint64(i) < seed) {
			failed, seed = w, uint64(i)
		}
		return failed != nil
	})
	return failed, seed, activations
}

// No rule is violated in random schedules of faults. TENANT_SCHEDULES sets the number of schedules.
func TestRulesHoldInRandomSchedules(t *testing.T) {
	count := 40
	if raceDetector { // a schedule takes six times as long with the race detector
		count = 12
	}
	if s := os.Getenv("TENANT_SCHEDULES"); s != "" {
		var err error
		if count, err = strconv.Atoi(s); err != nil {
			t.Fatal(err)
		}
	}
	failed, seed, activations := runSchedules(count, mutations{})
	if failed != nil {
		t.Fatalf("schedule %d: %s\n%s", seed, failed.violation, failed.traceText())
	}
	t.Logf("%d schedules, tenants were added %d times", count, activations)
	if activations < count {
		t.Errorf("tenants were added %d times in %d schedules, want at least once per schedule", activations, count)
	}
}

// The rules detect each mutation, which shows that they can fail. The listed seed is that of a schedule that
// detected the mutation when this test was written. If that schedule no longer detects it, another one has to.
func TestRulesDetectEachMutation(t *testing.T) {
	for mutation, firstSeed := range map[string]uint64{"members not awaited": 0, "authority never ends": 0, "PhaseHold ignored": 0, "not enrolled": 96, "authority restored by renewal": 223, "limits not checked": 226, "CutRequests ignored": 77, "maximal staleness ignored": 249,
		"no tombstone": 14, "floors doubled": 13, "writes not fenced": 1, "session without status": 96, "previous leaves read": 1, "not found without leaf": 1, "policy needs ignored": 3, "leaf in use evicted": 5} {
		failed, seed := runSchedule(firstSeed, mutations{mutation: true}), firstSeed
		if failed.violation == "" {
			failed, seed, _ = runSchedules(1000, mutations{mutation: true})
		}
		if failed == nil {
			t.Errorf("mutation %q: not found by a rule in 1000 schedules", mutation)
			continue
		}
		t.Logf("mutation %q: found in schedule %d: %s", mutation, seed, failed.violation)
	}
}

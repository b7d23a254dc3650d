package tenant

import (
	"fmt"
	"testing"
	"time"
)

// runScript runs a fixed list of orders that add, change, suspend, resume and remove tenants. At the call
// failAtCall, the controller fails or, with a pause above 0, pauses while another takes over.
func runScript(seed uint64, failAtCall int, pause time.Duration) *simulation {
	w := newSimulation(seed, 3, 4, mutations{})
	w.faultless, w.failAtCall, w.failurePause = true, failAtCall, pause
	w.after(0, w.sendRequests)
	orders := []struct {
		name, op string
		variant  int
	}{{"t0", OrderAdd, 1}, {"t1", OrderAdd, 1}, {"t0", OrderChange, 2}, {"t1", OrderRemove, 0}, {"t0", OrderSuspend, 0}, {"t0", OrderResume, 0}, {"t0", OrderChange, 3}}
	for i := 0; i < len(orders) && w.violation == ""; {
		if w.submitOrder(orders[i].name, orders[i].op, orders[i].variant) {
			i++
		}
		w.run(w.now + 300*time.Millisecond)
	}
	w.run(w.now + 8*time.Second)
	w.checkSettled()
	return w
}

// The controller fails at one of its calls, or pauses at it while another controller takes over. This is
// repeated for each call. The next controller completes all orders, and each order is carried out once.
func TestOrdersAreCarriedOutOnceWhenControllerFailsAtAnyCall(t *testing.T) {
	step := 1
	if raceDetector { // each simulation runs in one goroutine, so some of the calls are enough for the detector
		step = 6
	}
	for seed := range uint64(2) { // seed 0 uses the flat form, and seed 1 the hash tree
		calls := runScript(seed, 0, 0).controllerCalls
		if calls < 60 {
			t.Fatalf("the controllers make %d calls, want at least 60", calls)
		}
		for _, pause := range []time.Duration{0, testTTL + time.Second} {
			forEachInParallel(calls/step+1, func(i int) bool {
				failAtCall := i * step
				w := runScript(seed, failAtCall, pause)
				if published, state := w.oracle.published["t0 a"], w.oracle.state["t1"]; w.violation == "" && (published != routeAndLimit(testSpec("t0", 3), "a") || state != Removed || w.oracle.activations["t1"] != 1) {
					w.fail("t0 is published as %q, want variant 3; t1 is %q, want it removed after it was added once", published, state)
				}
				if w.violation != "" {
					t.Errorf("seed %d, failure at call %d, pause %v: %s\n%s", seed, failAtCall, pause, w.violation, w.traceText())
				}
				return w.violation != ""
			})
		}
		t.Logf("seed %d: %d calls, each with a failure and with a pause", seed, calls)
	}
}

// 200 tenants are added together in few catalogues, while a proxy joins, another leaves, a third one is lost
// and the policy changes.
func TestManyTenantsAreAddedTogetherInFewCatalogues(t *testing.T) {
	w := newSimulation(2, 4, 200, mutations{})
	w.after(0, w.sendRequests)
	w.run(2 * time.Second)
	for i := range w.tenantCount {
		w.submitOrder(fmt.Sprint("t", i), OrderAdd, 1)
		w.submitOrder(fmt.Sprint("t", i), OrderChange, 2) // not submitted, as an order waits already
	}
	startedAt, catalogues := w.now, w.oracle.number
	w.run(w.now + 100*time.Millisecond)
	w.startProxy("n9")
	w.newPolicy()
	w.proxies[1].handle(Leave{})
	w.proxies[2].dead = true
	for len(w.oracle.activations) < w.tenantCount && w.now < startedAt+20*time.Second && w.violation == "" {
		w.run(w.now + 50*time.Millisecond)
	}
	took := w.now - startedAt
	w.run(w.now + 3*time.Second)
	w.checkSettled()
	if w.violation != "" || len(w.oracle.activations) != w.tenantCount || took > 8*time.Second {
		t.Fatalf("%d tenants are active after %v, want 200 within 8 s; %s", len(w.oracle.activations), took, w.violation)
	}
	if published := w.oracle.number - catalogues; published > 8 {
		t.Errorf("200 tenants took %d catalogues, want at most 8", published)
	} else {
		t.Logf("200 tenants in %v with %d catalogues", took, published)
	}
}

// Decisions of all kinds allocate no memory.
func TestDecisionsAllocateNoMemory(t *testing.T) {
	var entries []*Entry
	for i := range MaxTenants {
		name := fmt.Sprint("t", i)
		spec := testSpec(name, i%40)
		spec.KeyPrefixes = []string{"a/", "b/"}
		entries = append(entries, &Entry{Name: name, Phase: []Phase{PhaseServe, PhaseHold, PhaseDrain, "later"}[i%4], Current: spec, Next: testSpec(name, 41), Since: 3})
	}
	cache := NewCache(1, 0, false)
	cache.Handle(0, PolicyChanged{PolicyTable{1, func(string) bool { return true }}})
	cache.Handle(0, SessionOpened{0, testTTL})
	cache.Handle(1, CatalogueRead{1, true, NewSnapshot(3, entries...)})
	catalogue := cache.buildCatalogue()
	kinds := map[DecisionKind]bool{}
	for _, request := range [][3]string{{"x-t0", "a", "a/1"}, {"x-t0", "a", "c"}, {"x-t0", "z", "a/1"}, {"x-t1", "a", "a/1"}, {"x-t1", "b", "b/1"}, {"x-t2", "a", "a/1"}, {"x-t3", "a", "a/1"}, {"nobody", "a", "a/1"}} {
		kinds[catalogue.Decide(2, request[0], request[1], request[2]).Kind] = true
		if n := testing.AllocsPerRun(100, func() { catalogue.Decide(2, request[0], request[1], request[2]) }); n != 0 {
			t.Errorf("a decision on %v allocates %v times, want 0", request, n)
		}
	}
	if len(kinds) != 4 {
		t.Errorf("the decisions are of %d kinds, want 4", len(kinds))
	}
}

// Fields that a newer version of the program wrote pass through an older one unchanged.
func TestUnknownFieldsPassThroughOlderProgram(t *testing.T) {
	raw := `{"v":1,"name":"n","state":"active","now":{"names":["n"],"classes":["a"],"quotas":null,"routes":null,"later":{"x":[1,2]}},"also":7}`
	decoded, err := DecodeTenant([]byte(raw), 1)
	if err != nil {
		t.Fatal(err)
	}
	if encoded, err := decoded.MarshalJSON(); string(encoded) != raw || err != nil {
		t.Errorf("encoded as %s (error %v), want %s", encoded, err, raw)
	}
}

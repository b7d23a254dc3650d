package tenant

import (
	"fmt"
	"testing"
	"time"
)

// script has tenants come, change, rest and go, each order after the one before, with a
// controller that dies, or sleeps while another follows, at one of its calls.
func script(seed uint64, dieAt int, sleeps time.Duration) *world {
	w := newWorld(seed, 3, 4, broken{})
	w.quiet, w.dieAt, w.dieSleeps = true, dieAt, sleeps
	w.after(0, w.clients)
	orders := []struct {
		name, do string
		k        int
	}{{"t0", OrderAdd, 1}, {"t1", OrderAdd, 1}, {"t0", OrderChange, 2}, {"t1", OrderRemove, 0}, {"t0", OrderSuspend, 0}, {"t0", OrderResume, 0}, {"t0", OrderChange, 3}}
	for i := 0; i < len(orders) && w.wrong == ""; {
		if w.ask(orders[i].name, orders[i].do, orders[i].k) {
			i++
		}
		w.run(w.now + 300*time.Millisecond)
	}
	w.run(w.now + 8*time.Second)
	w.atRest()
	return w
}

// TestEveryCrash: the controller dies at each of its calls, and sleeps at each; the next
// brings all that was asked for to its end, and each order is followed once.
func TestEveryCrash(t *testing.T) {
	step := 1
	if raceDetector { // it looks at one goroutine's work here, which is the same at each call
		step = 6
	}
	for seed := range uint64(2) { // the flat form, and the tree
		calls := script(seed, 0, 0).calls
		if calls < 60 {
			t.Fatalf("a conductor makes %d calls only", calls)
		}
		for _, sleeps := range []time.Duration{0, ttl + time.Second} {
			each(calls/step+1, func(i int) bool {
				at := i * step
				w := script(seed, at, sleeps)
				if a, b := w.truth.told["t0 a"], w.truth.state["t1"]; w.wrong == "" && (a != tag(testForm("t0", 3), "a") || b != Removed || w.truth.active["t1"] != 1) {
					w.fail("t0 is %q, t1 %q", a, b)
				}
				if w.wrong != "" {
					t.Errorf("with seed %d at call %d, asleep for %v: %s\n%s", seed, at, sleeps, w.wrong, w.story())
				}
				return w.wrong != ""
			})
		}
		t.Logf("seed %d: %d calls, each with a death and with a sleep", seed, calls)
	}
}

// TestManyAtOnce: 200 tenants come together, in few catalogues, with a proxy that joins,
// one that leaves, one that is lost and a new policy in the middle.
func TestManyAtOnce(t *testing.T) {
	w := newWorld(2, 4, 200, broken{})
	w.after(0, w.clients)
	w.run(2 * time.Second)
	for i := range w.tenants {
		w.ask(fmt.Sprint("t", i), OrderAdd, 1)
		w.ask(fmt.Sprint("t", i), OrderChange, 2) // it does not wait: there is an order
	}
	began, catalogues := w.now, w.truth.number
	w.run(w.now + 100*time.Millisecond)
	w.start("n9")
	w.newPolicy()
	w.nodes[1].handle(Leave{})
	w.nodes[2].dead = true
	for len(w.truth.active) < w.tenants && w.now < began+20*time.Second && w.wrong == "" {
		w.run(w.now + 50*time.Millisecond)
	}
	took := w.now - began
	w.run(w.now + 3*time.Second)
	w.atRest()
	if w.wrong != "" || len(w.truth.active) != w.tenants || took > 8*time.Second {
		t.Fatalf("%d are active after %v; %s", len(w.truth.active), took, w.wrong)
	}
	if n := w.truth.number - catalogues; n > 8 {
		t.Errorf("it took %d catalogues", n)
	} else {
		t.Logf("200 tenants in %v with %d catalogues", took, n)
	}
}

// TestCatalogueCosts: an answer allocates nothing, whatever it is.
func TestCatalogueCosts(t *testing.T) {
	var entries []*Entry
	for i := range MaxTenants {
		name := fmt.Sprint("t", i)
		f := testForm(name, i%40)
		f.KeyPrefixes = []string{"a/", "b/"}
		entries = append(entries, &Entry{Name: name, Phase: []Phase{PhaseServe, PhaseHold, PhaseDrain, "later"}[i%4], Current: f, Next: testForm(name, 41), Since: 3})
	}
	d := NewCache(1, 0, false)
	d.Handle(0, PolicyChanged{PolicyTable{1, func(string) bool { return true }}})
	d.Handle(0, SessionOpened{0, ttl})
	d.Handle(1, CatalogueRead{1, true, NewSnapshot(3, entries...)})
	c := d.buildCatalogue()
	seen := map[DecisionKind]bool{}
	for _, ask := range [][3]string{{"x-t0", "a", "a/1"}, {"x-t0", "a", "c"}, {"x-t0", "z", "a/1"}, {"x-t1", "a", "a/1"}, {"x-t1", "b", "b/1"}, {"x-t2", "a", "a/1"}, {"x-t3", "a", "a/1"}, {"nobody", "a", "a/1"}} {
		seen[c.Decide(2, ask[0], ask[1], ask[2]).Kind] = true
		if n := testing.AllocsPerRun(100, func() { c.Decide(2, ask[0], ask[1], ask[2]) }); n != 0 {
			t.Errorf("%v allocates %v times", ask, n)
		}
	}
	if len(seen) != 4 {
		t.Errorf("the answers are of %d kinds", len(seen))
	}
}

// TestUnknownFields of a newer program pass through an older one.
func TestUnknownFields(t *testing.T) {
	raw := `{"v":1,"name":"n","state":"active","now":{"names":["n"],"classes":["a"],"quotas":null,"routes":null,"later":{"x":[1,2]}},"also":7}`
	one, err := DecodeTenant([]byte(raw), 1)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := one.MarshalJSON(); string(got) != raw || err != nil {
		t.Errorf("%s, %v, want %s", got, err, raw)
	}
}

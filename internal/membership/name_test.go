package membership

import (
	"testing"
	"time"

	"wrenspread/internal/membership/wire"
)

// again starts another process of an old one's name at its address.
func (w *network) again(old *node, life uint64, incarnation uint32) *node {
	cfg := old.cfg
	cfg.Generation, cfg.Incarnation, cfg.RandomSeed = life, incarnation, w.rng.Uint64()
	cfg.Seeds = nil
	for _, n := range w.nodes {
		if n != old {
			cfg.Seeds = append(cfg.Seeds, n.addr)
		}
	}
	return w.start(cfg)
}

// Restarted within a probe period with nothing remembered, with its clock gone on or back: nobody takes it for dead, and all see the new generation.
func TestRestart(t *testing.T) {
	for _, life := range []uint64{5000, 3} {
		w, nodes := fleetOf(t, 21, 8)
		from := w.now
		nodes[3].up = false
		w.run(150 * time.Millisecond)
		n := w.again(nodes[3], life, 0)
		took := w.mustSettle(10*time.Second, "a restart")
		if n.hasYielded || n.self.statement.Generation <= 1003 || nodes[0].sees("n3").Generation != n.self.statement.Generation {
			t.Errorf("started with life %d, went on in %d", life, n.self.statement.Generation)
		}
		if d := w.deaths(from, n); d > 0 {
			t.Errorf("life %d: taken for dead %d times", life, d)
		}
		t.Logf("life %d: settled in %v", life, took)
	}
}

// An upgrade hands over life and incarnation: nobody sees more than one more incarnation or two.
func TestUpgrade(t *testing.T) {
	w, nodes := fleetOf(t, 22, 8)
	old := nodes[3].self.statement
	nodes[3].up = false
	n := w.again(nodes[3], old.Generation, old.Incarnation) // even with the previous process's last incarnation
	w.handle(n, MetadataChanged{Metadata{Zone: "zone-a", Version: "1.5.0", State: Serving}})
	w.mustSettle(5*time.Second, "an upgrade")
	if m := nodes[0].sees("n3"); m.Generation != old.Generation || m.Incarnation > old.Incarnation+2 || m.Metadata.Version != "1.5.0" {
		t.Errorf("seen as %+v", m)
	}
}

// Two living processes of one name: one falls silent and says so, whichever lives they start with, and the fleet settles on the other.
func TestTwoOfOneName(t *testing.T) {
	t.Parallel()
	for name, life := range map[string]uint64{"later": 9000, "earlier": 5, "same": 1003} {
		w, nodes := fleetOf(t, 23, 8)
		w.run(20 * time.Second)
		cfg := nodes[3].cfg
		cfg.Generation, cfg.Addr, cfg.RandomSeed, cfg.Number = life, addrOf(99), 12345, 7
		twin := w.start(cfg)
		w.until(30*time.Second, func() bool { return twin.hasYielded || nodes[3].hasYielded })
		if twin.hasYielded == nodes[3].hasYielded {
			t.Fatalf("%s life: yielded are %v and %v, lives %d and %d", name, nodes[3].hasYielded, twin.hasYielded, nodes[3].self.statement.Generation, twin.self.statement.Generation)
		}
		yielder, keeper := twin, nodes[3]
		if !twin.hasYielded {
			yielder, keeper = keeper, twin
		}
		told := false
		for _, a := range yielder.acts {
			conflict, ok := a.(NameConflict)
			told = told || (ok && conflict.Yielded)
		}
		if !told || yielder.self.statement.Generation > keeper.self.statement.Generation {
			t.Errorf("%s life: the one that yielded has life %d, the other %d; told: %v", name, yielder.self.statement.Generation, keeper.self.statement.Generation, told)
		}
		w.mustSettle(10*time.Second, "the conflict")
		number := nodes[0].version
		w.run(10 * time.Second)
		if nodes[0].version != number || keeper.hasYielded {
			t.Errorf("%s life: the view still changes, or both are silent", name)
		}
	}
}

// A datagram of a previous generation changes nothing, and neither does one said before a death.
func TestStaleDatagram(t *testing.T) {
	w, nodes := fleetOf(t, 24, 5)
	old := Received{From: addrOf(3), Data: nodes[3].appendBroadcasts(nodes[3].newHeader(wire.Gossip), nodes[3].self)}
	nodes[3].up = false
	w.again(nodes[3], 5000, 0)
	w.mustSettle(5*time.Second, "a restart")
	root := nodes[0].digest
	w.handle(nodes[0], old)
	if nodes[0].digest != root {
		t.Errorf("a datagram of a former life changed the view: %+v", nodes[0].sees("n3"))
	}
	dying := w.nodes[5]
	last := Received{From: addrOf(3), Data: dying.appendBroadcasts(dying.newHeader(wire.Gossip), dying.self)}
	dying.up = false
	w.mustSettle(10*time.Second, "a death")
	w.handle(nodes[0], last)
	if nodes[0].sees("n3").Health != Dead {
		t.Error("a word from before its death brought it back")
	}
	st := wire.Statement{Name: "gone", Health: Dead, Age: 601}
	nodes[0].applyStatement(st, wire.Gossip)
	if nodes[0].sees("gone").Name != "" {
		t.Error("a death from before the digest's time was taken up")
	}
}

// The dead and those that left go out of the digest everywhere at about one time, are forgotten in the end, and stay away.
func TestForgetting(t *testing.T) {
	t.Parallel()
	w, nodes := fleetOf(t, 25, 6)
	nodes[4].up = false
	w.handle(nodes[5], Leave{})
	w.run(3 * time.Second)
	nodes[5].up = false
	w.mustSettle(10*time.Second, "a death and a leave")
	w.run(20 * time.Second)
	late := w.start(w.config(50, "n50", 5000))
	w.mustSettle(10*time.Second, "a join that hears of the dead")
	if late.sees("n4").Health != Dead || late.sees("n5").Health != Left {
		t.Error("a new node does not hear who died or left")
	}
	if d := late.sees("n4").Since - nodes[0].sees("n4").Since; d < -2*time.Second || d > 2*time.Second {
		t.Errorf("a new node takes a death for %v younger", d)
	}
	w.run(12 * time.Minute)
	for _, n := range w.nodes {
		if n.up && len(n.sorted) != 5 {
			t.Errorf("%s still remembers %d members", n.name, len(n.sorted))
		}
	}
	w.mustSettle(time.Second, "forgetting")
}

// Leaving is answered with Gone, and after it the node is silent.
func TestLeaveEnds(t *testing.T) {
	w, nodes := fleetOf(t, 26, 5)
	w.loss = 0.3
	from := w.now
	w.handle(nodes[2], Leave{})
	w.run(3 * time.Second)
	if len(nodes[2].acts) != 1 || nodes[2].acts[0] != (LeaveDone{}) || nodes[2].Handle(w.now, Tick{}) != nil {
		t.Errorf("after a leave: %v", nodes[2].acts)
	}
	w.run(20 * time.Second)
	if n := w.deaths(from, nodes[2]); n > 0 {
		t.Errorf("one that left was taken for dead %d times", n)
	}
}

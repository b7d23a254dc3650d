package membership

import (
	"testing"
	"time"

	"wrenspread/internal/membership/wire"
)

// startSameName starts another process with an old process's name and address.
func (net *network) startSameName(old *node, generation uint64, incarnation uint32) *node {
	cfg := old.cfg
	cfg.Generation, cfg.Incarnation, cfg.RandomSeed = generation, incarnation, net.rng.Uint64()
	cfg.Seeds = nil
	for _, n := range net.nodes {
		if n != old {
			cfg.Seeds = append(cfg.Seeds, n.addr)
		}
	}
	return net.start(cfg)
}

// A node that is restarted without state within a probe period, with its clock ahead or back, is not taken
// for dead, and all nodes see its new generation.
func TestRestartIsSeenAsNewGenerationWithoutDeath(t *testing.T) {
	for _, generation := range []uint64{5000, 3} {
		net, nodes := settledFleet(t, 21, 8)
		start := net.now
		nodes[3].running = false
		net.run(150 * time.Millisecond)
		n := net.startSameName(nodes[3], generation, 0)
		took := net.mustSettle(10*time.Second, "a restart")
		if n.hasYielded || n.self.statement.Generation <= 1003 || nodes[0].viewOf("n3").Generation != n.self.statement.Generation {
			t.Errorf("started with generation %d, continued in %d", generation, n.self.statement.Generation)
		}
		if d := net.falseDeaths(start, n); d > 0 {
			t.Errorf("generation %d: taken for dead %d times", generation, d)
		}
		t.Logf("generation %d: settled in %v", generation, took)
	}
}

// An upgrade hands over generation and incarnation: other nodes see the same generation, and the incarnation
// rises by at most two.
func TestUpgradeContinuesTheGeneration(t *testing.T) {
	net, nodes := settledFleet(t, 22, 8)
	old := nodes[3].self.statement
	nodes[3].running = false
	n := net.startSameName(nodes[3], old.Generation, old.Incarnation) // even with the previous process's last incarnation
	net.handle(n, MetadataChanged{Metadata{Zone: "zone-a", Version: "1.5.0", State: Serving}})
	net.mustSettle(5*time.Second, "an upgrade")
	if m := nodes[0].viewOf("n3"); m.Generation != old.Generation || m.Incarnation > old.Incarnation+2 || m.Metadata.Version != "1.5.0" {
		t.Errorf("seen as %+v", m)
	}
}

// Of two living processes with one name, one yields and reports it, whichever generations they start with.
// All views then have the other process.
func TestOneOfTwoProcessesWithOneNameYields(t *testing.T) {
	t.Parallel()
	for name, generation := range map[string]uint64{"later": 9000, "earlier": 5, "same": 1003} {
		net, nodes := settledFleet(t, 23, 8)
		net.run(20 * time.Second)
		cfg := nodes[3].cfg
		cfg.Generation, cfg.Addr, cfg.RandomSeed, cfg.Number = generation, addrOf(99), 12345, 7
		second := net.start(cfg)
		net.runUntil(30*time.Second, func() bool { return second.hasYielded || nodes[3].hasYielded })
		if second.hasYielded == nodes[3].hasYielded {
			t.Fatalf("%s generation: yielded are %v and %v, generations %d and %d", name, nodes[3].hasYielded, second.hasYielded, nodes[3].self.statement.Generation, second.self.statement.Generation)
		}
		yielder, remaining := second, nodes[3]
		if !second.hasYielded {
			yielder, remaining = remaining, second
		}
		reported := false
		for _, a := range yielder.otherActions {
			conflict, ok := a.(NameConflict)
			reported = reported || (ok && conflict.Yielded)
		}
		if !reported || yielder.self.statement.Generation > remaining.self.statement.Generation {
			t.Errorf("%s generation: the process that yielded has generation %d, the other %d; reported: %v", name, yielder.self.statement.Generation, remaining.self.statement.Generation, reported)
		}
		net.mustSettle(10*time.Second, "the conflict")
		version := nodes[0].version
		net.run(10 * time.Second)
		if nodes[0].version != version || remaining.hasYielded {
			t.Errorf("%s generation: the view still changes, or both processes are silent", name)
		}
	}
}

// A datagram of a previous generation changes nothing, and neither does a datagram that was sent before a
// death.
func TestStaleDatagramsChangeNothing(t *testing.T) {
	net, nodes := settledFleet(t, 24, 5)
	old := Received{From: addrOf(3), Data: nodes[3].appendBroadcasts(nodes[3].newHeader(wire.Gossip), nodes[3].self)}
	nodes[3].running = false
	net.startSameName(nodes[3], 5000, 0)
	net.mustSettle(5*time.Second, "a restart")
	digest := nodes[0].digest
	net.handle(nodes[0], old)
	if nodes[0].digest != digest {
		t.Errorf("a datagram of a previous generation changed the view: %+v", nodes[0].viewOf("n3"))
	}
	dying := net.nodes[5]
	last := Received{From: addrOf(3), Data: dying.appendBroadcasts(dying.newHeader(wire.Gossip), dying.self)}
	dying.running = false
	net.mustSettle(10*time.Second, "a death")
	net.handle(nodes[0], last)
	if nodes[0].viewOf("n3").Health != Dead {
		t.Error("a datagram from before the member's death brought it back")
	}
	statement := wire.Statement{Name: "gone", Health: Dead, Age: 601}
	nodes[0].applyStatement(statement, wire.Gossip)
	if nodes[0].viewOf("gone").Name != "" {
		t.Error("a death older than DeadGossipTime was added to the view")
	}
}

// All nodes remove dead and left members from the digest at about the same time and forget them in the end.
// The members do not come back.
func TestDeadAndLeftMembersAreForgotten(t *testing.T) {
	t.Parallel()
	net, nodes := settledFleet(t, 25, 6)
	nodes[4].running = false
	net.handle(nodes[5], Leave{})
	net.run(3 * time.Second)
	nodes[5].running = false
	net.mustSettle(10*time.Second, "a death and a leave")
	net.run(20 * time.Second)
	newcomer := net.start(net.config(50, "n50", 5000))
	net.mustSettle(10*time.Second, "a join by a node that learns of dead members")
	if newcomer.viewOf("n4").Health != Dead || newcomer.viewOf("n5").Health != Left {
		t.Error("a new node does not learn who died or left")
	}
	if d := newcomer.viewOf("n4").Since - nodes[0].viewOf("n4").Since; d < -2*time.Second || d > 2*time.Second {
		t.Errorf("a new node takes a death to be %v later than the others do", d)
	}
	net.run(12 * time.Minute)
	for _, n := range net.nodes {
		if n.running && len(n.sorted) != 5 {
			t.Errorf("%s still remembers %d members", n.name, len(n.sorted))
		}
	}
	net.mustSettle(time.Second, "dead and left members were forgotten")
}

// A leave ends with LeaveDone. Afterwards the node sends nothing, and it is not taken for dead.
func TestNodeThatLeftSendsNothingAndIsNotTakenForDead(t *testing.T) {
	net, nodes := settledFleet(t, 26, 5)
	net.lossRate = 0.3
	start := net.now
	net.handle(nodes[2], Leave{})
	net.run(3 * time.Second)
	if len(nodes[2].otherActions) != 1 || nodes[2].otherActions[0] != (LeaveDone{}) || nodes[2].Handle(net.now, Tick{}) != nil {
		t.Errorf("after a leave: %v", nodes[2].otherActions)
	}
	net.run(20 * time.Second)
	if n := net.falseDeaths(start, nodes[2]); n > 0 {
		t.Errorf("a node that left was taken for dead %d times", n)
	}
}

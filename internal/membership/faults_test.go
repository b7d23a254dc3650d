package membership

import (
	"slices"
	"testing"
	"time"
)

// settledFleet starts a fleet and runs until all nodes have the same view.
func settledFleet(t *testing.T, seed uint64, size int) (*network, []*node) {
	net := newNetwork(t, seed)
	nodes := net.startFleet(size)
	net.mustSettle(10*time.Second, "joins")
	return net, nodes
}

// A link between two nodes is cut in one direction, or slow by half a second in both. Since indirect probes
// succeed, no node becomes suspect.
func TestBadLinkBetweenTwoNodesCausesNoSuspicion(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]func(net *network, a, b *node){
		"cut in one direction": func(net *network, a, b *node) { net.isCut = func(from, to *node) bool { return from == a && to == b } },
		"slow in both directions": func(net *network, a, b *node) {
			net.extraDelay = func(from, to *node) Time {
				if (from == a && to == b) || (from == b && to == a) {
					return time.Second / 2
				}
				return 0
			}
		},
	} {
		net, nodes := settledFleet(t, 11, 8)
		set(net, nodes[2], nodes[5])
		start := net.now
		net.run(time.Minute)
		if n := net.falseDeaths(start, nodes...); n > 0 {
			t.Errorf("%s: %d false deaths in a minute", name, n)
		}
		if s := net.suspicions(start); len(s) > 0 {
			t.Errorf("%s: suspected although indirect probes succeed: %v", name, s)
		}
	}
}

// A node that receives nothing is taken for dead by the others, and causes no other death in their views.
func TestNodeThatReceivesNothingCausesNoFalseDeath(t *testing.T) {
	t.Parallel()
	net, nodes := settledFleet(t, 12, 8)
	net.isCut = func(_, to *node) bool { return to == nodes[3] }
	start := net.now
	net.run(time.Minute)
	for _, n := range nodes {
		if m := n.viewOf("n3"); n != nodes[3] && m.Health != Dead {
			t.Errorf("%s sees the node that receives nothing as %v", n.name, m.Health)
		}
		for _, c := range n.changes {
			if n != nodes[3] && c.at >= start && c.Member.Health == Dead && c.Member.Name != "n3" {
				t.Errorf("%s took %s for dead, by %s", n.name, c.Member.Name, c.Member.Accusers)
			}
		}
	}
	for _, c := range net.suspicions(start + 20*time.Second) {
		if c.viewer != nodes[3] {
			t.Errorf("%s took %s for suspect, by %s: applied from a dead node", c.viewer.name, c.Member.Name, c.Member.Accusers)
		}
	}
	if slices.ContainsFunc(net.suspicions(start), func(c viewerChange) bool {
		return c.viewer == nodes[3] && c.at > start+4*time.Second && c.at < start+8*time.Second
	}) {
		t.Error("the node that receives nothing still accuses members, although all its probes fail")
	}
	net.isCut = func(_, _ *node) bool { return false }
	t.Logf("link restored: settled in %v", net.mustSettle(20*time.Second, "the node receives datagrams again"))
}

// A node that was stopped for 10 s and is resumed accuses no member, and refutes its own death.
func TestStoppedNodeAccusesNoMemberOnceResumed(t *testing.T) {
	t.Parallel()
	net, nodes := settledFleet(t, 13, 12)
	net.stop(nodes[4])
	net.run(10 * time.Second)
	if nodes[0].viewOf("n4").Health != Dead {
		t.Error("not taken for dead while stopped")
	}
	start := net.now
	net.resume(nodes[4])
	t.Logf("resumed: settled in %v", net.mustSettle(10*time.Second, "the node is resumed"))
	for _, c := range nodes[4].changes {
		if c.at >= start && c.Member.Health != Alive {
			t.Errorf("the resumed node took %s for %v", c.Member.Name, c.Member.Health)
		}
	}
}

// A node is stopped again and again for just over a period. As one failed probe causes no accusation, no
// member becomes suspect.
func TestShortStopsCauseNoSuspicion(t *testing.T) {
	net, nodes := settledFleet(t, 18, 8)
	start := net.now
	for range 30 {
		net.stop(nodes[3])
		net.run(250 * time.Millisecond)
		net.resume(nodes[3])
		net.run(2 * time.Second)
	}
	if s := net.suspicions(start); len(s) > 0 {
		t.Errorf("suspicions: %v", s)
	}
}

// A node that is always late (each of its events by half a second) accuses no member.
func TestLateNodeAccusesNoMember(t *testing.T) {
	t.Parallel()
	net, nodes := settledFleet(t, 14, 8)
	start := net.now
	for range 40 {
		net.stop(nodes[3])
		net.run(500 * time.Millisecond)
		net.resume(nodes[3])
	}
	late := nodes[3].hash()
	for _, n := range nodes {
		for _, c := range n.changes {
			if c.at >= start && c.Member.Health == Suspect && c.Member.Accusers == "n3" {
				t.Errorf("%s received an accusation by the late node (%x) of %s", n.name, late, c.Member.Name)
			}
		}
	}
	if nodes[3].Stats().Late == 0 {
		t.Error("the late node did not notice that it is late")
	}
}

func (n *node) hash() uint64 { return n.self.hash }

// The halves of a fleet are cut off from each other for a minute, with a join and a death in both halves.
// Afterwards the halves find each other by themselves: because dead members are probed or, if the halves have
// forgotten each other, because seeds are pinged.
func TestHalvesFindEachOtherAfterACut(t *testing.T) {
	t.Parallel()
	for name, forget := range map[string]bool{"dead members are probed": false, "seeds are pinged": true} {
		net, nodes := settledFleet(t, 15, 20)
		inEvenHalf := func(n *node) bool { return n.addr.Addr().As4()[3]%2 == 0 }
		net.isCut = func(from, to *node) bool { return inEvenHalf(from) != inEvenHalf(to) }
		net.run(10 * time.Second)
		nodes[6].running, nodes[7].running = false, false
		net.start(net.config(40, "n40", 5000))
		joinerOfOddHalf := net.config(41, "n41", 5000)
		joinerOfOddHalf.Seeds = append(joinerOfOddHalf.Seeds, addrOf(1))
		net.start(joinerOfOddHalf)
		net.run(5 * time.Second)
		for _, n := range net.nodes {
			if forget {
				n.cfg.DeadGossipTime, n.cfg.DeadReclaimTime = 5*time.Second, 20*time.Second
			} else {
				net.handle(n, Join{})
			}
		}
		net.run(45 * time.Second)
		if a, b := nodes[0].livingCount, nodes[1].livingCount; a != 9 || b != 9 || (nodes[0].deadCount == 0) != forget {
			t.Errorf("%s: cut off, the halves have %d and %d others alive, %d dead", name, a, b, nodes[0].deadCount)
		}
		net.isCut = func(_, _ *node) bool { return false }
		t.Logf("%s: settled %v after the cut", name, net.mustSettle(20*time.Second, "the end of the cut"))
	}
}

// A node that is cut off every other two seconds causes no death of other nodes, and all views are right once
// it stays connected.
func TestFlappingNodeCausesNoFalseDeath(t *testing.T) {
	t.Parallel()
	net, nodes := settledFleet(t, 16, 10)
	start := net.now
	disconnected := false
	net.isCut = func(from, to *node) bool { return disconnected && (from == nodes[4] || to == nodes[4]) }
	for range 30 {
		net.run(2 * time.Second)
		disconnected = !disconnected
	}
	disconnected = false
	net.mustSettle(15*time.Second, "the end of the flapping")
	var others []*node
	for _, n := range nodes {
		if n != nodes[4] {
			others = append(others, n)
		}
	}
	for _, n := range others {
		for _, c := range n.changes {
			if c.at >= start && c.Member.Health == Dead && c.Member.Name != "n4" {
				t.Errorf("%s took %s for dead", n.name, c.Member.Name)
			}
		}
	}
}

// Views that differ in many members become equal by the comparison of digests alone, at a loss of 30%.
func TestDigestsAloneMakeViewsEqual(t *testing.T) {
	t.Parallel()
	net, nodes := settledFleet(t, 17, 4)
	for i := range 600 {
		statement := nodes[0].cfg.ownStatement()
		statement.Health, statement.Name, statement.Generation, statement.Addr = Left, "x"+string(rune('a'+i%26))+string(rune('a'+i/26)), 1, addrOf(1000+i)
		n := nodes[i%4]
		n.applyStatement(statement, 0)
		n.broadcasts = broadcastQueue{} // no broadcasts
	}
	net.lossRate = 0.3
	took, ok := net.runUntil(30*time.Second, func() bool {
		for _, n := range nodes {
			n.broadcasts = broadcastQueue{}
			if n.digest != nodes[0].digest {
				return false
			}
		}
		return len(nodes[0].sorted) == 604
	})
	if !ok {
		t.Fatalf("views still differ: %d, %d, %d, %d members", len(nodes[0].sorted), len(nodes[1].sorted), len(nodes[2].sorted), len(nodes[3].sorted))
	}
	t.Logf("600 members spread over four nodes: the same view at all nodes in %v", took)
}

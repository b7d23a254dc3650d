package membership

import (
	"slices"
	"testing"
	"time"
)

// settledFleet starts a fleet and runs until all nodes have the same view.
func settledFleet(t *testing.T, seed uint64, size int) (*network, []*node) {
	w := newNetwork(t, seed)
	nodes := w.startFleet(size)
	w.mustSettle(10*time.Second, "joins")
	return w, nodes
}

// A link between two nodes is cut in one direction, or slow by half a second in both. As indirect probes
// succeed, neither node is suspected.
func TestBadLinkBetweenTwoNodesCausesNoSuspicion(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]func(w *network, a, b *node){
		"one way": func(w *network, a, b *node) { w.isCut = func(from, to *node) bool { return from == a && to == b } },
		"slow": func(w *network, a, b *node) {
			w.extraDelay = func(from, to *node) Time {
				if (from == a && to == b) || (from == b && to == a) {
					return time.Second / 2
				}
				return 0
			}
		},
	} {
		w, nodes := settledFleet(t, 11, 8)
		set(w, nodes[2], nodes[5])
		from := w.now
		w.run(time.Minute)
		if n := w.falseDeaths(from, nodes...); n > 0 {
			t.Errorf("%s: %d false deaths in a minute", name, n)
		}
		if s := w.suspicions(from); len(s) > 0 {
			t.Errorf("%s: suspected although indirect probes succeed: %v", name, s)
		}
	}
}

// A node that receives nothing is taken for dead by the others, and causes no other death in their views.
func TestNodeThatReceivesNothingCausesNoFalseDeath(t *testing.T) {
	t.Parallel()
	w, nodes := settledFleet(t, 12, 8)
	w.isCut = func(_, to *node) bool { return to == nodes[3] }
	from := w.now
	w.run(time.Minute)
	for _, n := range nodes {
		if m := n.viewOf("n3"); n != nodes[3] && m.Health != Dead {
			t.Errorf("%s sees the node that receives nothing as %v", n.name, m.Health)
		}
		for _, c := range n.changes {
			if n != nodes[3] && c.at >= from && c.Member.Health == Dead && c.Member.Name != "n3" {
				t.Errorf("%s took %s for dead, by %s", n.name, c.Member.Name, c.Member.Accusers)
			}
		}
	}
	for _, c := range w.suspicions(from + 20*time.Second) {
		if c.viewer != nodes[3] {
			t.Errorf("%s took %s for suspect, by %s: applied from a dead node", c.viewer.name, c.Member.Name, c.Member.Accusers)
		}
	}
	if slices.ContainsFunc(w.suspicions(from), func(c viewerChange) bool {
		return c.viewer == nodes[3] && c.at > from+4*time.Second && c.at < from+8*time.Second
	}) {
		t.Error("the node that receives nothing still accuses members, although all its probes fail")
	}
	w.isCut = func(_, _ *node) bool { return false }
	t.Logf("link restored: settled in %v", w.mustSettle(20*time.Second, "the node receives datagrams again"))
}

// A node that was stopped for 10 s and is resumed accuses no member, and refutes its own death.
func TestStoppedNodeAccusesNoMemberOnceResumed(t *testing.T) {
	t.Parallel()
	w, nodes := settledFleet(t, 13, 12)
	w.stop(nodes[4])
	w.run(10 * time.Second)
	if nodes[0].viewOf("n4").Health != Dead {
		t.Error("not taken for dead while stopped")
	}
	from := w.now
	w.resume(nodes[4])
	t.Logf("resumed: settled in %v", w.mustSettle(10*time.Second, "the node is resumed"))
	for _, c := range nodes[4].changes {
		if c.at >= from && c.Member.Health != Alive {
			t.Errorf("the resumed node took %s for %v", c.Member.Name, c.Member.Health)
		}
	}
}

// A node is stopped again and again for just over a period: one failed probe accuses no member.
func TestShortStopsCauseNoSuspicion(t *testing.T) {
	w, nodes := settledFleet(t, 18, 8)
	from := w.now
	for range 30 {
		w.stop(nodes[3])
		w.run(250 * time.Millisecond)
		w.resume(nodes[3])
		w.run(2 * time.Second)
	}
	if s := w.suspicions(from); len(s) > 0 {
		t.Errorf("suspicions: %v", s)
	}
}

// A node that is always late (each of its events by half a second) accuses no member.
func TestLateNodeAccusesNoMember(t *testing.T) {
	t.Parallel()
	w, nodes := settledFleet(t, 14, 8)
	from := w.now
	for range 40 {
		w.stop(nodes[3])
		w.run(500 * time.Millisecond)
		w.resume(nodes[3])
	}
	late := nodes[3].hash()
	for _, n := range nodes {
		for _, c := range n.changes {
			if c.at >= from && c.Member.Health == Suspect && c.Member.Accusers == "n3" {
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
// They find each other without help: because dead members are probed or, if the halves have forgotten each
// other meanwhile, by the seeds.
func TestHalvesFindEachOtherAfterACut(t *testing.T) {
	t.Parallel()
	for name, forget := range map[string]bool{"the dead asked": false, "seeds asked": true} {
		w, nodes := settledFleet(t, 15, 20)
		side := func(n *node) bool { return n.addr.Addr().As4()[3]%2 == 0 }
		w.isCut = func(from, to *node) bool { return side(from) != side(to) }
		w.run(10 * time.Second)
		nodes[6].running, nodes[7].running = false, false
		w.start(w.config(40, "n40", 5000))
		joinerOfOddHalf := w.config(41, "n41", 5000)
		joinerOfOddHalf.Seeds = append(joinerOfOddHalf.Seeds, addrOf(1))
		w.start(joinerOfOddHalf)
		w.run(5 * time.Second)
		for _, n := range w.nodes {
			if forget {
				n.cfg.DeadGossipTime, n.cfg.DeadReclaimTime = 5*time.Second, 20*time.Second
			} else {
				w.handle(n, Join{})
			}
		}
		w.run(45 * time.Second)
		if a, b := nodes[0].livingCount, nodes[1].livingCount; a != 9 || b != 9 || (nodes[0].deadCount == 0) != forget {
			t.Errorf("%s: cut off, the halves have %d and %d others alive, %d dead", name, a, b, nodes[0].deadCount)
		}
		w.isCut = func(_, _ *node) bool { return false }
		t.Logf("%s: settled %v after the cut", name, w.mustSettle(20*time.Second, "the end of the cut"))
	}
}

// A node that is cut off every other two seconds causes no death of other nodes, and all views are right once
// it stays connected.
func TestFlappingNodeCausesNoFalseDeath(t *testing.T) {
	t.Parallel()
	w, nodes := settledFleet(t, 16, 10)
	from := w.now
	gone := false
	w.isCut = func(from, to *node) bool { return gone && (from == nodes[4] || to == nodes[4]) }
	for range 30 {
		w.run(2 * time.Second)
		gone = !gone
	}
	gone = false
	w.mustSettle(15*time.Second, "the end of the flapping")
	var others []*node
	for _, n := range nodes {
		if n != nodes[4] {
			others = append(others, n)
		}
	}
	for _, n := range others {
		for _, c := range n.changes {
			if c.at >= from && c.Member.Health == Dead && c.Member.Name != "n4" {
				t.Errorf("%s took %s for dead", n.name, c.Member.Name)
			}
		}
	}
}

// Views that differ in many members become equal by the comparison of digests alone, at a loss of 30%.
func TestDigestsAloneMakeViewsEqual(t *testing.T) {
	t.Parallel()
	w, nodes := settledFleet(t, 17, 4)
	for i := range 600 {
		st := nodes[0].cfg.ownStatement()
		st.Health, st.Name, st.Generation, st.Addr = Left, "x"+string(rune('a'+i%26))+string(rune('a'+i/26)), 1, addrOf(1000+i)
		n := nodes[i%4]
		n.applyStatement(st, 0)
		n.broadcasts = broadcastQueue{} // no broadcasts
	}
	w.lossRate = 0.3
	took, ok := w.runUntil(30*time.Second, func() bool {
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

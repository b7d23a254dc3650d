package membership

import (
	"slices"
	"testing"
	"time"
)

func fleetOf(t *testing.T, seed uint64, size int) (*network, []*node) {
	w := newNetwork(t, seed)
	nodes := w.fleet(size)
	w.mustSettle(10*time.Second, "joins")
	return w, nodes
}

// One way between two nodes is cut, or slow by half a second, both ways: others vouch for them.
func TestBadPair(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]func(w *network, a, b *node){
		"one way": func(w *network, a, b *node) { w.cut = func(from, to *node) bool { return from == a && to == b } },
		"slow": func(w *network, a, b *node) {
			w.slow = func(from, to *node) Time {
				if (from == a && to == b) || (from == b && to == a) {
					return time.Second / 2
				}
				return 0
			}
		},
	} {
		w, nodes := fleetOf(t, 11, 8)
		set(w, nodes[2], nodes[5])
		from := w.now
		w.run(time.Minute)
		if n := w.deaths(from, nodes...); n > 0 {
			t.Errorf("%s: %d false deaths in a minute", name, n)
		}
		if s := w.suspicions(from); len(s) > 0 {
			t.Errorf("%s: others vouch for it, and yet: %v", name, s)
		}
	}
}

// A node that hears nothing is taken for dead by the others, and kills nobody in their views.
func TestDeaf(t *testing.T) {
	t.Parallel()
	w, nodes := fleetOf(t, 12, 8)
	w.cut = func(_, to *node) bool { return to == nodes[3] }
	from := w.now
	w.run(time.Minute)
	for _, n := range nodes {
		if m := n.sees("n3"); n != nodes[3] && m.Health != Dead {
			t.Errorf("%s sees the deaf one as %v", n.name, m.Health)
		}
		for _, c := range n.changes {
			if n != nodes[3] && c.at >= from && c.Member.Health == Dead && c.Member.Name != "n3" {
				t.Errorf("%s took %s for dead, by %s", n.name, c.Member.Name, c.Member.Accusers)
			}
		}
	}
	for _, c := range w.suspicions(from + 20*time.Second) {
		if c.viewer != nodes[3] {
			t.Errorf("%s took %s for suspect, by %s: a dead one's word", c.viewer.name, c.Member.Name, c.Member.Accusers)
		}
	}
	if slices.ContainsFunc(w.suspicions(from), func(c seen) bool {
		return c.viewer == nodes[3] && c.at > from+4*time.Second && c.at < from+8*time.Second
	}) {
		t.Error("the deaf one, whose probes fail everywhere, goes on accusing")
	}
	w.cut = func(_, _ *node) bool { return false }
	t.Logf("heard again: settled in %v", w.mustSettle(20*time.Second, "the deaf one hears again"))
}

// Stopped for 10 s and woken: it blames nobody, and speaks up.
func TestStopped(t *testing.T) {
	t.Parallel()
	w, nodes := fleetOf(t, 13, 12)
	w.stop(nodes[4])
	w.run(10 * time.Second)
	if nodes[0].sees("n4").Health != Dead {
		t.Error("not taken for dead while stopped")
	}
	from := w.now
	w.goOn(nodes[4])
	t.Logf("woken: settled in %v", w.mustSettle(10*time.Second, "waking"))
	for _, c := range nodes[4].changes {
		if c.at >= from && c.Member.Health != Alive {
			t.Errorf("the woken one took %s for %v", c.Member.Name, c.Member.Health)
		}
	}
}

// Stopped for just over a period, time and again: one failed probe accuses nobody.
func TestHiccups(t *testing.T) {
	w, nodes := fleetOf(t, 18, 8)
	from := w.now
	for range 30 {
		w.stop(nodes[3])
		w.run(250 * time.Millisecond)
		w.goOn(nodes[3])
		w.run(2 * time.Second)
	}
	if s := w.suspicions(from); len(s) > 0 {
		t.Errorf("suspicions: %v", s)
	}
}

// A node that is late all the time (each of its events half a second) accuses nobody.
func TestLateNode(t *testing.T) {
	t.Parallel()
	w, nodes := fleetOf(t, 14, 8)
	from := w.now
	for range 40 {
		w.stop(nodes[3])
		w.run(500 * time.Millisecond)
		w.goOn(nodes[3])
	}
	late := nodes[3].hash()
	for _, n := range nodes {
		for _, c := range n.changes {
			if c.at >= from && c.Member.Health == Suspect && c.Member.Accusers == "n3" {
				t.Errorf("%s heard the late one (%x) accuse %s", n.name, late, c.Member.Name)
			}
		}
	}
	if nodes[3].Stats().Late == 0 {
		t.Error("the late one did not notice")
	}
}

func (n *node) hash() uint64 { return n.self.hash }

// Halves are cut off for a minute, with a join and a death on both sides, then healed without help: as the dead are asked, or, when they
// have forgotten each other meanwhile, over the addresses to join by.
func TestHalves(t *testing.T) {
	t.Parallel()
	for name, forget := range map[string]bool{"the dead asked": false, "seeds asked": true} {
		w, nodes := fleetOf(t, 15, 20)
		side := func(n *node) bool { return n.addr.Addr().As4()[3]%2 == 0 }
		w.cut = func(from, to *node) bool { return side(from) != side(to) }
		w.run(10 * time.Second)
		nodes[6].up, nodes[7].up = false, false
		w.start(w.config(40, "n40", 5000))
		odd := w.config(41, "n41", 5000)
		odd.Seeds = append(odd.Seeds, addrOf(1))
		w.start(odd)
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
		w.cut = func(_, _ *node) bool { return false }
		t.Logf("%s: settled %v after the heal", name, w.mustSettle(20*time.Second, "the heal"))
	}
}

// A node that comes and goes every two seconds costs the others nothing, and is seen right once it stays.
func TestFlapping(t *testing.T) {
	t.Parallel()
	w, nodes := fleetOf(t, 16, 10)
	from := w.now
	gone := false
	w.cut = func(from, to *node) bool { return gone && (from == nodes[4] || to == nodes[4]) }
	for range 30 {
		w.run(2 * time.Second)
		gone = !gone
	}
	gone = false
	w.mustSettle(15*time.Second, "the flapping ends")
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

// Two views that differ in many members become the same by digests alone, with 30% lost.
func TestDigestsAlone(t *testing.T) {
	t.Parallel()
	w, nodes := fleetOf(t, 17, 4)
	for i := range 600 {
		st := nodes[0].cfg.ownStatement()
		st.Health, st.Name, st.Generation, st.Addr = Left, "x"+string(rune('a'+i%26))+string(rune('a'+i/26)), 1, addrOf(1000+i)
		n := nodes[i%4]
		n.applyStatement(st, 0)
		n.broadcasts = broadcastQueue{} // lost
	}
	w.loss = 0.3
	took, ok := w.until(30*time.Second, func() bool {
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
	t.Logf("600 members told apart over four nodes: the same everywhere in %v", took)
}

package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wrenspread/internal/membership/wire"
)

// Joins, a death and a leave reach all views in time, and an idle node sends few datagrams, at three fleet
// sizes.
func TestJoinDeathLeaveAndIdleTrafficAtThreeSizes(t *testing.T) {
	for _, size := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			w := newNetwork(t, uint64(size))
			nodes := w.startFleet(size)
			joined := w.mustSettle(15*time.Second, "all joined by one seed in a second")
			w.run(2 * time.Second)
			before := totalStats(w)
			w.run(2 * time.Second)
			after := totalStats(w)
			nodeSeconds := float64(size) * 2
			sent, bytes := float64(after.Sent-before.Sent)/nodeSeconds, float64(after.Bytes-before.Bytes)/nodeSeconds
			if sent > 11+2 || bytes > 1500 { // 2 are a ping to a seed in each second of the first minute, and its answer
				t.Errorf("idle: %.1f datagrams and %.0f bytes a node and second", sent, bytes)
			}
			if after.Synced != before.Synced || after.Failed != before.Failed {
				t.Errorf("idle, but %d digests were compared and %d probes failed", after.Synced-before.Synced, after.Failed-before.Failed)
			}
			victim := nodes[size/2]
			victim.running = false
			died := w.mustSettle(10*time.Second, "a death")
			if m := nodes[0].viewOf(victim.name); m.Health != Dead || m.Accusers == "" || m.Reason == "" {
				t.Errorf("the dead member is seen as %+v", m)
			}
			leaver := nodes[size-1]
			w.handle(leaver, Leave{})
			left := w.mustSettle(3*time.Second, "a leave")
			if m := nodes[0].viewOf(leaver.name); m.Health != Left {
				t.Errorf("the member that left is seen as %+v", m)
			}
			t.Logf("%d nodes: joined %v after the last start, dead off all views in %v, left in %v, idle %.1f datagrams and %.0f bytes a node and second",
				size, joined, died, left, sent, bytes)
		})
	}
}

func totalStats(w *network) (s Stats) {
	for _, n := range w.nodes {
		st := n.Stats()
		s.Sent += st.Sent
		s.Bytes += st.Bytes
		s.Synced += st.Synced
		s.Failed += st.Failed
	}
	return s
}

// At a loss of 30% of all datagrams no living member is taken for dead, and a death is still found.
func TestLossCausesNoFalseDeathAndHidesNoDeath(t *testing.T) {
	for size, span := range map[int]time.Duration{3: 5 * time.Minute, 12: 2 * time.Minute, 30: time.Minute} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			w, nodes := settledFleet(t, 7, size)
			w.lossRate = 0.3
			from, before := w.now, totalStats(w)
			w.run(span)
			after := totalStats(w)
			if n := w.falseDeaths(from, nodes...); n > 0 {
				t.Errorf("%d false deaths in %v at a loss of 30%%", n, span)
			}
			nodes[2].running = false
			took, ok := w.runUntil(20*time.Second, func() bool {
				return !slices.ContainsFunc(nodes, func(n *node) bool { return n.running && n.viewOf("n2").Health != Dead })
			})
			if !ok {
				t.Errorf("a death was not found in 20 s\n%s", w.describe())
			}
			nodeSeconds := float64(size) * span.Seconds()
			t.Logf("%d nodes at 30%% loss: a death known to all in %v; %.1f datagrams and %.0f bytes a node and second", size, took,
				float64(after.Sent-before.Sent)/nodeSeconds, float64(after.Bytes-before.Bytes)/nodeSeconds)
		})
	}
}

// Broadcasts alone, without digests to find what was lost, reach all of 60 nodes at a loss of 10%. A leave is
// sent at once, not only in answers.
func TestBroadcastsAloneReachAllMembers(t *testing.T) {
	w, nodes := settledFleet(t, 8, 60)
	w.lossRate, w.droppedKinds[wire.Digest] = 0.1, true
	metadata := nodes[7].self.statement.Metadata
	metadata.Catalogue = 8
	untilAllSee := func(fits func(m Member) bool) (time.Duration, bool) {
		return w.runUntil(5*time.Second, func() bool {
			return !slices.ContainsFunc(nodes, func(n *node) bool { return !fits(n.viewOf("n7")) })
		})
	}
	w.handle(nodes[7], MetadataChanged{metadata})
	metadataTook, ok := untilAllSee(func(m Member) bool { return m.Metadata == metadata })
	if !ok {
		t.Error("new metadata did not reach all nodes")
	}
	w.handle(nodes[7], Leave{})
	w.run(100 * time.Millisecond)
	left := 0
	for _, n := range nodes {
		if n.viewOf("n7").Health == Left {
			left++
		}
	}
	if left < 1+leaveFanout {
		t.Errorf("a leave is known to %d nodes after 100 ms", left)
	}
	took, ok := untilAllSee(func(m Member) bool { return m.Health == Left })
	if !ok {
		t.Error("the leave did not reach all nodes")
	}
	t.Logf("60 nodes at 10%% loss: new metadata known to all in %v, a leave in %v", metadataTook, took)
}

// A third of the fleet is killed at once: all their deaths are found, and no other member is taken for dead.
func TestDeathOfAThirdIsFoundWithoutFalseDeaths(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 3)
	nodes := w.startFleet(60)
	w.mustSettle(10*time.Second, "joins")
	from := w.now
	for i := range 20 {
		nodes[3*i+1].running = false
	}
	t.Logf("a third of 60 off all views in %v", w.mustSettle(15*time.Second, "the death of a third"))
	var alive []*node
	for _, n := range nodes {
		if n.running {
			alive = append(alive, n)
		}
	}
	if n := w.falseDeaths(from, alive...); n > 0 {
		t.Errorf("living members were taken for dead %d times", n)
	}
}

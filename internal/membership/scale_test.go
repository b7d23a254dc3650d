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
			net := newNetwork(t, uint64(size))
			nodes := net.startFleet(size)
			joined := net.mustSettle(15*time.Second, "all nodes started within a second, with one seed")
			net.run(2 * time.Second)
			before := totalStats(net)
			net.run(2 * time.Second)
			after := totalStats(net)
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
			died := net.mustSettle(10*time.Second, "a death")
			if m := nodes[0].viewOf(victim.name); m.Health != Dead || m.Accusers == "" || m.Reason == "" {
				t.Errorf("the dead member is seen as %+v", m)
			}
			leaver := nodes[size-1]
			net.handle(leaver, Leave{})
			left := net.mustSettle(3*time.Second, "a leave")
			if m := nodes[0].viewOf(leaver.name); m.Health != Left {
				t.Errorf("the member that left is seen as %+v", m)
			}
			t.Logf("%d nodes: joined %v after the last start, death in all views after %v, leave after %v, idle %.1f datagrams and %.0f bytes a node and second",
				size, joined, died, left, sent, bytes)
		})
	}
}

func totalStats(net *network) (s Stats) {
	for _, n := range net.nodes {
		stats := n.Stats()
		s.Sent += stats.Sent
		s.Bytes += stats.Bytes
		s.Synced += stats.Synced
		s.Failed += stats.Failed
	}
	return s
}

// At a loss of 30% of all datagrams no living member is taken for dead, and a death is still found.
func TestLossCausesNoFalseDeathAndHidesNoDeath(t *testing.T) {
	for size, span := range map[int]time.Duration{3: 5 * time.Minute, 12: 2 * time.Minute, 30: time.Minute} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			net, nodes := settledFleet(t, 7, size)
			net.lossRate = 0.3
			from, before := net.now, totalStats(net)
			net.run(span)
			after := totalStats(net)
			if n := net.falseDeaths(from, nodes...); n > 0 {
				t.Errorf("%d false deaths in %v at a loss of 30%%", n, span)
			}
			nodes[2].running = false
			took, ok := net.runUntil(20*time.Second, func() bool {
				return !slices.ContainsFunc(nodes, func(n *node) bool { return n.running && n.viewOf("n2").Health != Dead })
			})
			if !ok {
				t.Errorf("a death was not found in 20 s\n%s", net.describe())
			}
			nodeSeconds := float64(size) * span.Seconds()
			t.Logf("%d nodes at 30%% loss: a death in all views after %v; %.1f datagrams and %.0f bytes a node and second", size, took,
				float64(after.Sent-before.Sent)/nodeSeconds, float64(after.Bytes-before.Bytes)/nodeSeconds)
		})
	}
}

// Without digests, broadcasts alone reach all of 60 nodes at a loss of 10%. A leave is sent at once, not only
// in answers.
func TestBroadcastsAloneReachAllMembers(t *testing.T) {
	net, nodes := settledFleet(t, 8, 60)
	net.lossRate, net.droppedKinds[wire.Digest] = 0.1, true
	metadata := nodes[7].self.statement.Metadata
	metadata.Catalogue = 8
	untilAllSee := func(fits func(m Member) bool) (time.Duration, bool) {
		return net.runUntil(5*time.Second, func() bool {
			return !slices.ContainsFunc(nodes, func(n *node) bool { return !fits(n.viewOf("n7")) })
		})
	}
	net.handle(nodes[7], MetadataChanged{metadata})
	metadataTook, ok := untilAllSee(func(m Member) bool { return m.Metadata == metadata })
	if !ok {
		t.Error("new metadata did not reach all nodes")
	}
	net.handle(nodes[7], Leave{})
	net.run(100 * time.Millisecond)
	informed := 0
	for _, n := range nodes {
		if n.viewOf("n7").Health == Left {
			informed++
		}
	}
	if informed < 1+leaveFanout {
		t.Errorf("a leave is known to %d nodes after 100 ms", informed)
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
	net := newNetwork(t, 3)
	nodes := net.startFleet(60)
	net.mustSettle(10*time.Second, "joins")
	start := net.now
	for i := range 20 {
		nodes[3*i+1].running = false
	}
	t.Logf("deaths of a third of 60 nodes in all views after %v", net.mustSettle(15*time.Second, "the death of a third"))
	var alive []*node
	for _, n := range nodes {
		if n.running {
			alive = append(alive, n)
		}
	}
	if n := net.falseDeaths(start, alive...); n > 0 {
		t.Errorf("living members were taken for dead %d times", n)
	}
}

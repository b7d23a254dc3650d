package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wrenspread/internal/membership/wire"
)

// Joins, a death and a leave, and what a node sends while nothing happens, at three sizes.
func TestGrowth(t *testing.T) {
	for _, size := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			w := newNetwork(t, uint64(size))
			nodes := w.fleet(size)
			joined := w.mustSettle(15*time.Second, "all joined by one seed in a second")
			w.run(2 * time.Second)
			before := total(w)
			w.run(2 * time.Second)
			after := total(w)
			per := float64(size) * 2
			sent, bytes := float64(after.Sent-before.Sent)/per, float64(after.Bytes-before.Bytes)/per
			if sent > 11+2 || bytes > 1500 { // 2: a seed that is asked each second of the first minute, and its answer
				t.Errorf("idle: %.1f datagrams and %.0f bytes a node and second", sent, bytes)
			}
			if after.Synced != before.Synced || after.Failed != before.Failed {
				t.Errorf("idle, but %d digests were compared and %d probes failed", after.Synced-before.Synced, after.Failed-before.Failed)
			}
			victim := nodes[size/2]
			victim.up = false
			died := w.mustSettle(10*time.Second, "a death")
			if m := nodes[0].sees(victim.name); m.Health != Dead || m.Accusers == "" || m.Reason == "" {
				t.Errorf("the dead one is seen as %+v", m)
			}
			leaver := nodes[size-1]
			w.handle(leaver, Leave{})
			left := w.mustSettle(3*time.Second, "a leave")
			if m := nodes[0].sees(leaver.name); m.Health != Left {
				t.Errorf("the one that left is seen as %+v", m)
			}
			t.Logf("%d nodes: joined %v after the last start, dead off all views in %v, left in %v, idle %.1f datagrams and %.0f bytes a node and second",
				size, joined, died, left, sent, bytes)
		})
	}
}

func total(w *network) (s Stats) {
	for _, n := range w.nodes {
		st := n.Stats()
		s.Sent += st.Sent
		s.Bytes += st.Bytes
		s.Synced += st.Synced
		s.Failed += st.Failed
	}
	return s
}

// With 30% of all datagrams lost nobody living is taken for dead, and a death is still found.
func TestLoss(t *testing.T) {
	for size, span := range map[int]time.Duration{3: 5 * time.Minute, 12: 2 * time.Minute, 30: time.Minute} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			w, nodes := fleetOf(t, 7, size)
			w.loss = 0.3
			from, before := w.now, total(w)
			w.run(span)
			after := total(w)
			if n := w.deaths(from, nodes...); n > 0 {
				t.Errorf("%d false deaths in %v at a loss of 30%%", n, span)
			}
			nodes[2].up = false
			took, ok := w.until(20*time.Second, func() bool {
				return !slices.ContainsFunc(nodes, func(n *node) bool { return n.up && n.sees("n2").Health != Dead })
			})
			if !ok {
				t.Errorf("a death was not found in 20 s\n%s", w.describe())
			}
			per := float64(size) * span.Seconds()
			t.Logf("%d nodes at 30%% loss: a death known to all in %v; %.1f datagrams and %.0f bytes a node and second", size, took,
				float64(after.Sent-before.Sent)/per, float64(after.Bytes-before.Bytes)/per)
		})
	}
}

// News alone, without digests to find what was lost, reach all of 60 nodes at a loss of 10%; a leave is told at once, not when somebody asks.
func TestNewsAlone(t *testing.T) {
	w, nodes := fleetOf(t, 8, 60)
	w.loss, w.drop[wire.Digest] = 0.1, true
	f := nodes[7].self.statement.Metadata
	f.Catalogue = 8
	all := func(fits func(m Member) bool) (time.Duration, bool) {
		return w.until(5*time.Second, func() bool {
			return !slices.ContainsFunc(nodes, func(n *node) bool { return !fits(n.sees("n7")) })
		})
	}
	w.handle(nodes[7], MetadataChanged{f})
	facts, ok := all(func(m Member) bool { return m.Metadata == f })
	if !ok {
		t.Error("new facts did not reach all")
	}
	w.handle(nodes[7], Leave{})
	w.run(100 * time.Millisecond)
	left := 0
	for _, n := range nodes {
		if n.sees("n7").Health == Left {
			left++
		}
	}
	if left < 1+leaveFanout {
		t.Errorf("a leave is known to %d nodes after 100 ms", left)
	}
	took, ok := all(func(m Member) bool { return m.Health == Left })
	if !ok {
		t.Error("the leave did not reach all")
	}
	t.Logf("60 nodes at 10%% loss: new facts known to all in %v, a leave in %v", facts, took)
}

// A third is killed at once.
func TestThird(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 3)
	nodes := w.fleet(60)
	w.mustSettle(10*time.Second, "joins")
	from := w.now
	for i := range 20 {
		nodes[3*i+1].up = false
	}
	t.Logf("a third of 60 off all views in %v", w.mustSettle(15*time.Second, "the death of a third"))
	var alive []*node
	for _, n := range nodes {
		if n.up {
			alive = append(alive, n)
		}
	}
	if n := w.deaths(from, alive...); n > 0 {
		t.Errorf("%d living ones were taken for dead", n)
	}
}

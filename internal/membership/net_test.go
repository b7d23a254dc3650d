package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// network is a small drawn one on a fake clock: enough to show each hard case with the real cores.
type network struct {
	t     testing.TB
	rng   *rand.Rand
	now   Time
	queue events
	count uint64
	nodes []*node
	loss  float64
	cut   func(from, to *node) bool
	slow  func(from, to *node) Time
	drop  [256]bool // kinds that the network loses
}

type node struct {
	*Core
	name    string
	addr    netip.AddrPort
	up      bool
	stopped bool
	wake    uint64   // number of the tick that holds
	inbox   []Event  // while stopped
	changes []change // of its view
	acts    []Action // all but sends, wakes and changes
	sent    [256]int // by kind
}

type change struct {
	at Time
	MemberChanged
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)),
		cut: func(_, _ *node) bool { return false }, slow: func(_, _ *node) Time { return 0 }}
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// config is that of the i-th process; all join by the 0th.
func (w *network) config(i int, name string, life uint64) Config {
	return Config{Fleet: "books", Name: name, Number: -1, Addr: addrOf(i), Seeds: []netip.AddrPort{addrOf(0)}, RandomSeed: uint64(i) + w.rng.Uint64()<<16,
		Generation: life, Metadata: Metadata{Zone: "zone-a", Version: "1.4.2", State: Serving}}
}

func (w *network) start(cfg Config) *node {
	n := &node{Core: New(cfg, w.now), name: cfg.Name, addr: cfg.Addr, up: true}
	w.nodes = append(w.nodes, n)
	w.handle(n, Tick{})
	return n
}

// fleet starts n nodes within a second and gives them.
func (w *network) fleet(n int) []*node {
	for i := range n {
		w.run(time.Second / time.Duration(n))
		w.start(w.config(i, fmt.Sprintf("n%d", i), uint64(1000+i)))
	}
	return w.nodes
}

func (w *network) handle(n *node, e Event) {
	if n.stopped {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, a := range n.Handle(w.now, e) {
		switch a := a.(type) {
		case Send:
			w.send(n, a)
		case Wake:
			n.wake++
			w.push(event{at: w.now + a.After, to: n, wake: n.wake, e: Tick{}})
		case MemberChanged:
			n.changes = append(n.changes, change{w.now, a})
		default:
			n.acts = append(n.acts, a)
		}
	}
}

func (w *network) send(n *node, s Send) {
	n.sent[s.Data[0]]++
	if w.drop[s.Data[0]] {
		return
	}
	if len(s.Data) > 256 {
		w.t.Fatalf("datagram of %d bytes", len(s.Data))
	}
	for i := len(w.nodes) - 1; i >= 0; i-- {
		to := w.nodes[i]
		if to.up && to.addr == s.To {
			if w.rng.Float64() >= w.loss && !w.cut(n, to) {
				w.push(event{at: w.now + time.Duration(200+w.rng.IntN(800))*time.Microsecond + w.slow(n, to), to: to, e: Received{n.addr, s.Data}})
			}
			return
		}
	}
}

func (w *network) push(e event) {
	w.count++
	e.count = w.count
	heap.Push(&w.queue, e)
}

func (w *network) run(d time.Duration) { w.until(d, func() bool { return false }) }

// until plays on until cond holds, asked every 50 ms, and gives how long that took; false after most.
func (w *network) until(most time.Duration, cond func() bool) (time.Duration, bool) {
	from := w.now
	for next := from; ; next += 50 * time.Millisecond {
		for len(w.queue) > 0 && w.queue[0].at <= min(next, from+most) {
			e := heap.Pop(&w.queue).(event)
			w.now = e.at
			if e.to.up && (e.wake == 0 || e.wake == e.to.wake) {
				w.handle(e.to, e.e)
			}
		}
		w.now = min(next, from+most)
		if cond() {
			return w.now - from, true
		}
		if next >= from+most {
			return most, false
		}
	}
}

// stop halts a process as a signal does: it hears nothing, and all at once when it goes on.
func (w *network) stop(n *node) { n.stopped = true }

func (w *network) goOn(n *node) {
	n.stopped = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		w.handle(n, e)
	}
}

// settled says that all running nodes have the same digest, and see exactly themselves alive.
func (w *network) settled() bool {
	var up []string
	for _, n := range w.nodes {
		if n.up && !n.hasYielded && n.leavePeriodsLeft == 0 && !n.hasLeft {
			up = append(up, n.name)
		}
	}
	slices.Sort(up)
	root, first := uint64(0), true
	for _, n := range w.nodes {
		if !n.up || n.hasYielded || n.leavePeriodsLeft > 0 || n.hasLeft {
			continue
		}
		if (!first && n.digest != root) || n.livingCount != len(up)-1 {
			return false
		}
		root, first = n.digest, false
		if seen := n.View().Serving(); !slices.Equal(seen, up) {
			return false
		}
	}
	return true
}

func (w *network) mustSettle(most time.Duration, what string) time.Duration {
	w.t.Helper()
	took, ok := w.until(most, w.settled)
	if !ok {
		w.t.Fatalf("not settled %v after %s\n%s", most, what, w.describe())
	}
	return took
}

func (w *network) describe() (s string) {
	for _, n := range w.nodes[:min(len(w.nodes), 6)] {
		s += fmt.Sprintf("%s up=%v root=%x %+v\n", n.name, n.up, n.digest, n.Stats())
		for _, m := range n.View().Members[:min(len(n.sorted), 8)] {
			s += fmt.Sprintf("    %s life %d/%d %v by %q\n", m.Name, m.Generation, m.Incarnation, m.Health, m.Accusers)
		}
	}
	return s
}

// deaths counts how often a running node's view took a running one for dead since then.
func (w *network) deaths(since Time, of ...*node) (count int) {
	for _, n := range w.nodes {
		for _, c := range n.changes {
			if c.at >= since && n.up && c.Member.Health == Dead && c.Before.Health != Dead &&
				slices.ContainsFunc(of, func(o *node) bool { return o.name == c.Member.Name }) {
				count++
			}
		}
	}
	return count
}

// seen is a change of one node's view.
type seen struct {
	viewer *node
	change
}

// suspicions are the changes since then in which a member became suspect.
func (w *network) suspicions(since Time) (out []seen) {
	for _, n := range w.nodes {
		for _, c := range n.changes {
			if c.at >= since && c.Member.Health == Suspect && c.Before.Health != Suspect {
				out = append(out, seen{n, c})
			}
		}
	}
	return out
}

func (n *node) sees(name string) Member {
	for _, m := range n.View().Members {
		if m.Name == name {
			return m
		}
	}
	return Member{}
}

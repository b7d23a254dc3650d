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

// network is a small random network on a fake clock, over which the real cores run.
type network struct {
	t            testing.TB
	rng          *rand.Rand
	now          Time
	queue        eventQueue
	eventCount   uint64
	nodes        []*node
	lossRate     float64
	isCut        func(from, to *node) bool
	extraDelay   func(from, to *node) Time
	droppedKinds [256]bool // kinds of datagrams that the network loses
}

// node is a process with a core on the network.
type node struct {
	*Core
	name         string
	addr         netip.AddrPort
	running      bool
	stopped      bool
	tickNumber   uint64   // number of the last requested tick; others are ignored
	inbox        []Event  // events that came while the node was stopped
	changes      []change // of the node's view
	otherActions []Action // all actions but Send, Wake and MemberChanged
	sentByKind   [256]int // datagrams
}

// change is a change of a node's view.
type change struct {
	at Time
	MemberChanged
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)),
		isCut: func(_, _ *node) bool { return false }, extraDelay: func(_, _ *node) Time { return 0 }}
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// config returns the configuration of the i-th process. All processes join by the 0th.
func (w *network) config(i int, name string, generation uint64) Config {
	return Config{Fleet: "books", Name: name, Number: -1, Addr: addrOf(i), Seeds: []netip.AddrPort{addrOf(0)}, RandomSeed: uint64(i) + w.rng.Uint64()<<16,
		Generation: generation, Metadata: Metadata{Zone: "zone-a", Version: "1.4.2", State: Serving}}
}

func (w *network) start(cfg Config) *node {
	n := &node{Core: New(cfg, w.now), name: cfg.Name, addr: cfg.Addr, running: true}
	w.nodes = append(w.nodes, n)
	w.handle(n, Tick{})
	return n
}

// startFleet starts n nodes within a second and returns them.
func (w *network) startFleet(n int) []*node {
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
			n.tickNumber++
			w.push(event{at: w.now + a.After, to: n, tickNumber: n.tickNumber, event: Tick{}})
		case MemberChanged:
			n.changes = append(n.changes, change{w.now, a})
		default:
			n.otherActions = append(n.otherActions, a)
		}
	}
}

func (w *network) send(n *node, s Send) {
	n.sentByKind[s.Data[0]]++
	if w.droppedKinds[s.Data[0]] {
		return
	}
	if len(s.Data) > 256 {
		w.t.Fatalf("datagram of %d bytes", len(s.Data))
	}
	for i := len(w.nodes) - 1; i >= 0; i-- {
		to := w.nodes[i]
		if to.running && to.addr == s.To {
			if w.rng.Float64() >= w.lossRate && !w.isCut(n, to) {
				w.push(event{at: w.now + time.Duration(200+w.rng.IntN(800))*time.Microsecond + w.extraDelay(n, to), to: to, event: Received{n.addr, s.Data}})
			}
			return
		}
	}
}

func (w *network) push(e event) {
	w.eventCount++
	e.number = w.eventCount
	heap.Push(&w.queue, e)
}

func (w *network) run(d time.Duration) { w.runUntil(d, func() bool { return false }) }

// runUntil runs the network until cond, evaluated every 50 ms, is true. It returns how long that took; the
// result is false after limit.
func (w *network) runUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	from := w.now
	for next := from; ; next += 50 * time.Millisecond {
		for len(w.queue) > 0 && w.queue[0].at <= min(next, from+limit) {
			e := heap.Pop(&w.queue).(event)
			w.now = e.at
			if e.to.running && (e.tickNumber == 0 || e.tickNumber == e.to.tickNumber) {
				w.handle(e.to, e.event)
			}
		}
		w.now = min(next, from+limit)
		if cond() {
			return w.now - from, true
		}
		if next >= from+limit {
			return limit, false
		}
	}
}

// stop stops a process as a signal does: the process handles nothing until it is resumed, and then all at
// once.
func (w *network) stop(n *node) { n.stopped = true }

func (w *network) resume(n *node) {
	n.stopped = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		w.handle(n, e)
	}
}

// settled reports whether all running nodes have the same digest and see exactly the running nodes as
// serving.
func (w *network) settled() bool {
	var up []string
	for _, n := range w.nodes {
		if n.running && !n.hasYielded && n.leavePeriodsLeft == 0 && !n.hasLeft {
			up = append(up, n.name)
		}
	}
	slices.Sort(up)
	root, first := uint64(0), true
	for _, n := range w.nodes {
		if !n.running || n.hasYielded || n.leavePeriodsLeft > 0 || n.hasLeft {
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

func (w *network) mustSettle(limit time.Duration, what string) time.Duration {
	w.t.Helper()
	took, ok := w.runUntil(limit, w.settled)
	if !ok {
		w.t.Fatalf("not settled %v after %s\n%s", limit, what, w.describe())
	}
	return took
}

func (w *network) describe() (s string) {
	for _, n := range w.nodes[:min(len(w.nodes), 6)] {
		s += fmt.Sprintf("%s running=%v digest=%x %+v\n", n.name, n.running, n.digest, n.Stats())
		for _, m := range n.View().Members[:min(len(n.sorted), 8)] {
			s += fmt.Sprintf("    %s generation %d/%d %v by %q\n", m.Name, m.Generation, m.Incarnation, m.Health, m.Accusers)
		}
	}
	return s
}

// falseDeaths counts how often since then a running node has taken one of the nodes for dead.
func (w *network) falseDeaths(since Time, nodes ...*node) (count int) {
	for _, n := range w.nodes {
		for _, c := range n.changes {
			if c.at >= since && n.running && c.Member.Health == Dead && c.Before.Health != Dead &&
				slices.ContainsFunc(nodes, func(o *node) bool { return o.name == c.Member.Name }) {
				count++
			}
		}
	}
	return count
}

// viewerChange is a change of one node's view.
type viewerChange struct {
	viewer *node
	change
}

// suspicions returns the changes since then in which a member became suspect.
func (w *network) suspicions(since Time) (out []viewerChange) {
	for _, n := range w.nodes {
		for _, c := range n.changes {
			if c.at >= since && c.Member.Health == Suspect && c.Before.Health != Suspect {
				out = append(out, viewerChange{n, c})
			}
		}
	}
	return out
}

// viewOf returns the node's view entry of the member with the name.
func (n *node) viewOf(name string) Member {
	for _, m := range n.View().Members {
		if m.Name == name {
			return m
		}
	}
	return Member{}
}

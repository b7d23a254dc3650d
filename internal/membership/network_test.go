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

// config returns the configuration of the i-th process. All processes join through the 0th.
func (net *network) config(i int, name string, generation uint64) Config {
	return Config{Fleet: "books", Name: name, Number: -1, Addr: addrOf(i), Seeds: []netip.AddrPort{addrOf(0)}, RandomSeed: uint64(i) + net.rng.Uint64()<<16,
		Generation: generation, Metadata: Metadata{Zone: "zone-a", Version: "1.4.2", State: Serving}}
}

func (net *network) start(cfg Config) *node {
	n := &node{Core: New(cfg, net.now), name: cfg.Name, addr: cfg.Addr, running: true}
	net.nodes = append(net.nodes, n)
	net.handle(n, Tick{})
	return n
}

// startFleet starts n nodes within a second and returns them.
func (net *network) startFleet(n int) []*node {
	for i := range n {
		net.run(time.Second / time.Duration(n))
		net.start(net.config(i, fmt.Sprintf("n%d", i), uint64(1000+i)))
	}
	return net.nodes
}

func (net *network) handle(n *node, e Event) {
	if n.stopped {
		n.inbox = append(n.inbox, e)
		return
	}
	for _, a := range n.Handle(net.now, e) {
		switch a := a.(type) {
		case Send:
			net.send(n, a)
		case Wake:
			n.tickNumber++
			net.push(event{at: net.now + a.After, to: n, tickNumber: n.tickNumber, event: Tick{}})
		case MemberChanged:
			n.changes = append(n.changes, change{net.now, a})
		default:
			n.otherActions = append(n.otherActions, a)
		}
	}
}

func (net *network) send(n *node, s Send) {
	n.sentByKind[s.Data[0]]++
	if net.droppedKinds[s.Data[0]] {
		return
	}
	if len(s.Data) > 256 {
		net.t.Fatalf("datagram of %d bytes", len(s.Data))
	}
	for i := len(net.nodes) - 1; i >= 0; i-- {
		to := net.nodes[i]
		if to.running && to.addr == s.To {
			if net.rng.Float64() >= net.lossRate && !net.isCut(n, to) {
				net.push(event{at: net.now + time.Duration(200+net.rng.IntN(800))*time.Microsecond + net.extraDelay(n, to), to: to, event: Received{n.addr, s.Data}})
			}
			return
		}
	}
}

func (net *network) push(e event) {
	net.eventCount++
	e.number = net.eventCount
	heap.Push(&net.queue, e)
}

func (net *network) run(d time.Duration) { net.runUntil(d, func() bool { return false }) }

// runUntil runs the network until cond, which is evaluated every 50 ms, is true, or until limit has passed.
// It returns the time that has passed and whether cond is true.
func (net *network) runUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	start := net.now
	for next := start; ; next += 50 * time.Millisecond {
		for len(net.queue) > 0 && net.queue[0].at <= min(next, start+limit) {
			e := heap.Pop(&net.queue).(event)
			net.now = e.at
			if e.to.running && (e.tickNumber == 0 || e.tickNumber == e.to.tickNumber) {
				net.handle(e.to, e.event)
			}
		}
		net.now = min(next, start+limit)
		if cond() {
			return net.now - start, true
		}
		if next >= start+limit {
			return limit, false
		}
	}
}

// stop stops a process as SIGSTOP does. Once the process is resumed, it handles all events of the time in
// which it was stopped.
func (net *network) stop(n *node) { n.stopped = true }

func (net *network) resume(n *node) {
	n.stopped = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		net.handle(n, e)
	}
}

// settled reports whether all running nodes have the same digest and see exactly the running nodes as
// serving.
func (net *network) settled() bool {
	var running []string
	for _, n := range net.nodes {
		if n.running && !n.hasYielded && n.leavePeriodsLeft == 0 && !n.hasLeft {
			running = append(running, n.name)
		}
	}
	slices.Sort(running)
	digest, first := uint64(0), true
	for _, n := range net.nodes {
		if !n.running || n.hasYielded || n.leavePeriodsLeft > 0 || n.hasLeft {
			continue
		}
		if (!first && n.digest != digest) || n.livingCount != len(running)-1 {
			return false
		}
		digest, first = n.digest, false
		if seen := n.View().Serving(); !slices.Equal(seen, running) {
			return false
		}
	}
	return true
}

func (net *network) mustSettle(limit time.Duration, lastEvent string) time.Duration {
	net.t.Helper()
	took, ok := net.runUntil(limit, net.settled)
	if !ok {
		net.t.Fatalf("not settled %v after %s\n%s", limit, lastEvent, net.describe())
	}
	return took
}

func (net *network) describe() (s string) {
	for _, n := range net.nodes[:min(len(net.nodes), 6)] {
		s += fmt.Sprintf("%s running=%v digest=%x %+v\n", n.name, n.running, n.digest, n.Stats())
		for _, m := range n.View().Members[:min(len(n.sorted), 8)] {
			s += fmt.Sprintf("    %s generation %d/%d %v by %q\n", m.Name, m.Generation, m.Incarnation, m.Health, m.Accusers)
		}
	}
	return s
}

// falseDeaths counts how often, from the time since on, one of the nodes became dead in the view of a running
// node.
func (net *network) falseDeaths(since Time, nodes ...*node) (count int) {
	for _, n := range net.nodes {
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

// suspicions returns the changes, from the time since on, in which a member became suspect.
func (net *network) suspicions(since Time) (out []viewerChange) {
	for _, n := range net.nodes {
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

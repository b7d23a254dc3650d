package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// startUnixMillis is the wall clock's milliseconds at the beginning of every play, from which lives are drawn.
const startUnixMillis = 1_750_000_000_000

// Fleet is a fleet of nodes in a world.
type Fleet struct {
	World        *sim.World
	Seeds        []string                                            // ends by whose addresses nodes join
	AdjustConfig func(cfg *membership.Config)                        // changes what a core starts with
	Core         func(cfg membership.Config, now time.Duration) Core // nil: membership.New
	// how wrong a process's wall clock is at its start; nil: it is right
	WallClockError func() (wrong time.Duration)
	IgnoresPauses  bool        // stand-in: no node notices that it stood still
	NoNotes        bool        // nothing is said in the timeline
	Nodes          []*sim.Host // without the strangers
	watchers       []func(*Node, time.Duration, membership.MemberChanged)
	addrs          map[string]netip.AddrPort
	hostNames      map[netip.AddrPort]string
	recorded       []sentDatagram // to be sent again
	rng            *rand.Rand
}

// NewFleet returns a fleet without nodes.
func NewFleet(w *sim.World) *Fleet {
	return &Fleet{World: w, addrs: map[string]netip.AddrPort{}, hostNames: map[netip.AddrPort]string{}}
}

// Names returns the names of the first n nodes.
func Names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}

// address gives an end an address of its own.
func (f *Fleet) address(end string) netip.AddrPort {
	if a, ok := f.addrs[end]; ok {
		return a
	}
	i := len(f.addrs) + 1
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	f.addrs[end], f.hostNames[a] = a, end
	return a
}

// Start starts a node at an end that is not there yet.
func (f *Fleet) Start(end string) *sim.Host {
	f.address(end)
	e := f.World.Add(end, func(now time.Duration) sim.Actor { return f.process(end, now) })
	f.Nodes = append(f.Nodes, e)
	return e
}

func (f *Fleet) process(end string, now time.Duration) *Node {
	at := f.World.Now()
	if f.WallClockError != nil {
		at += f.WallClockError()
	}
	cfg := membership.Config{
		Fleet:      "books",
		Name:       nameAt(end),
		Number:     -1,
		Addr:       f.address(end),
		RandomSeed: f.World.Rand().Uint64(),
		Generation: uint64(
			startUnixMillis + at.Milliseconds(),
		),
		Metadata: membership.Metadata{Zone: "zone-a", Version: "2.1.0", State: membership.Serving},
	}
	for _, s := range f.Seeds {
		cfg.Seeds = append(cfg.Seeds, f.address(s))
	}
	if f.AdjustConfig != nil {
		f.AdjustConfig(&cfg)
	}
	var core Core
	if f.Core != nil {
		core = f.Core(cfg, now)
	} else {
		core = membership.New(cfg, now)
	}
	return &Node{Core: core, Name: cfg.Name, Generation: cfg.Generation, fleet: f, host: end, aliveCount: 1,
		self: membership.Member{Name: cfg.Name, Generation: cfg.Generation, Metadata: cfg.Metadata}}
}

// Watch has every change of any node's view told.
func (f *Fleet) Watch(onChange func(n *Node, now time.Duration, c membership.MemberChanged)) {
	f.watchers = append(f.watchers, onChange)
}

// LiveNodes gives the processes that run, stand not still, keep their name and do not leave.
func (f *Fleet) LiveNodes() (all []*Node) {
	for _, e := range f.Nodes {
		if n, ok := e.Actor().(*Node); ok && !e.Paused() && !n.yielded && !n.leaving {
			all = append(all, n)
		}
	}
	return all
}

// Member returns what a node believes of a name; without a Name if it knows nothing.
func (n *Node) Member(name string) membership.Member {
	for _, m := range n.Core.View().Members {
		if m.Name == name {
			return m
		}
	}
	return membership.Member{}
}

// StartAll starts nodes of these names, spread over a time.
func (f *Fleet) StartAll(names []string, over time.Duration) {
	for i, name := range names {
		f.address(name)
		f.World.After(over*time.Duration(i)/time.Duration(len(names)), func() { f.Start(name) })
	}
}

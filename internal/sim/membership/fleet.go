package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wrenspread/internal/membership"
	"wrenspread/internal/sim"
)

// startUnixMillis is the wall clock's Unix time in milliseconds at the beginning of every simulation.
// Generations are made from the wall clock.
const startUnixMillis = 1_750_000_000_000

// Fleet is a simulated fleet of nodes, one per host.
type Fleet struct {
	World        *sim.World
	Seeds        []string                                            // hosts by whose addresses nodes join
	AdjustConfig func(cfg *membership.Config)                        // if set, changes the config of each core
	Core         func(cfg membership.Config, now time.Duration) Core // nil: membership.New
	// WallClockError returns the error of a process's wall clock at the start of the process. nil: no wall clock
	// has an error.
	WallClockError func() (offset time.Duration)
	IgnoresPauses  bool        // makes a broken variant: no node notices that it was paused
	NoNotes        bool        // leaves changes of views out of the timeline
	Nodes          []*sim.Host // the hosts of nodes, in the order of their start
	watchers       []func(*Node, time.Duration, membership.MemberChanged)
	addrs          map[string]netip.AddrPort
	hostsByAddr    map[netip.AddrPort]string
	recorded       []sentDatagram // a sample of all datagrams, for the fault "stale"
	rng            *rand.Rand
}

// NewFleet returns a fleet without nodes.
func NewFleet(w *sim.World) *Fleet {
	return &Fleet{World: w, addrs: map[string]netip.AddrPort{}, hostsByAddr: map[netip.AddrPort]string{}}
}

// Names returns the names of the first n nodes.
func Names(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i+1))
	}
	return names
}

// address returns the address of a host. The first call for a host assigns the address.
func (f *Fleet) address(host string) netip.AddrPort {
	if a, ok := f.addrs[host]; ok {
		return a
	}
	i := len(f.addrs) + 1
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	f.addrs[host], f.hostsByAddr[a] = a, host
	return a
}

// Start adds a host to the world and starts a node on it.
func (f *Fleet) Start(host string) *sim.Host {
	f.address(host)
	h := f.World.Add(host, func(now time.Duration) sim.Actor { return f.process(host, now) })
	f.Nodes = append(f.Nodes, h)
	return h
}

// process returns a new process of the node on a host.
func (f *Fleet) process(host string, now time.Duration) *Node {
	at := f.World.Now()
	if f.WallClockError != nil {
		at += f.WallClockError()
	}
	cfg := membership.Config{
		Fleet:      "books",
		Name:       nameAt(host),
		Number:     -1,
		Addr:       f.address(host),
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
	return &Node{Core: core, Name: cfg.Name, Generation: cfg.Generation, fleet: f, host: host, aliveCount: 1,
		self: membership.Member{Name: cfg.Name, Generation: cfg.Generation, Metadata: cfg.Metadata}}
}

// Watch calls onChange for every change of any node's view.
func (f *Fleet) Watch(onChange func(n *Node, now time.Duration, c membership.MemberChanged)) {
	f.watchers = append(f.watchers, onChange)
}

// LiveNodes returns the processes that run and are not paused, have not yielded their name, and are not
// leaving.
func (f *Fleet) LiveNodes() (nodes []*Node) {
	for _, host := range f.Nodes {
		if n, ok := host.Actor().(*Node); ok && !host.Paused() && !n.yielded && !n.leaving {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Member returns the member of that name in the node's view, or a zero Member if the view has none.
func (n *Node) Member(name string) membership.Member {
	for _, m := range n.Core.View().Members {
		if m.Name == name {
			return m
		}
	}
	return membership.Member{}
}

// StartAll starts a node on each of the named hosts, at equal intervals within the time over. It assigns all
// addresses at once.
func (f *Fleet) StartAll(names []string, over time.Duration) {
	for i, name := range names {
		f.address(name)
		f.World.After(over*time.Duration(i)/time.Duration(len(names)), func() { f.Start(name) })
	}
}

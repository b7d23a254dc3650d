// Package subset plays subscriptions to subsets of the endpoint list: nodes that follow theirs at one or
// three replicas, on a fake clock and a drawn network, with faults drawn by a seed.
//
// Real, line for line: registry.State (SubsetSince, HasNewer, restore), the client's ListState (Next, Apply,
// List) and registry.Subset (Next).
//
// What stands in for the rest. A log, whose entries each replica applies after a moment, stands for raft:
// writes never fail, and no replica answers without what is older than mostLag, less than the time for which
// a list of another epoch is held back. A replica holds a watch until Newer, in place of the server's hub,
// and refuses whoever is ahead of it; nothing is paced, and answers pass without their JSON. A node's own
// loop stands for the client's (ask, fit, settle, widens): it moves at the next call, not after a drawn time,
// watches once between two tries at a move, and takes a part that is too narrow before it reads the wider
// one.
//
// Thirteen nodes stand for a fleet that they believe to be of hundreds. With under 5,461 servers no part is
// narrower than an eighth of the ring, of which three quarters follow the node's place, and no gap between
// thirteen places is wider than 0.0902 of the ring. So these alone must hold every server.
package subset

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/sim"
)

const (
	played   = 13
	hold     = 5 * time.Second         // of a watch
	grace    = 1500 * time.Millisecond // for an answer, past the hold
	holdBack = 6 * time.Second         // of a list of another epoch
	mostLag  = 5 * time.Second         // of a replica's log
)

// Fleet is the nodes, the replicas, and what the list was at each version.
type Fleet struct {
	World    *sim.World
	Replicas []string
	// stand-in: changes an answer; nil: none does
	Alter func(q query, a *registry.ListResponse)
	// a node's choice
	Next func(has registry.Subset, self, nodes, total int, entries []registry.Endpoint, g []registry.Placement) registry.Subset
	// stand-in: nodes begin anew at another replica after each watch
	Forgets bool

	leader *registry.State
	log    []logged
	disks  map[string]*disk
	nodes  map[string]*node // the last process of each
	sizes  map[string]int   // of the fleet, in each node's settings
	files  map[string]client.List
	epochs int

	now     map[string]registry.Endpoint // the list, kept apart from State
	history map[string]*history          // by epoch
	broken  map[string]error             // by check, the first
	mail    mail
}

// logged is an entry of the log.
type logged struct {
	at   time.Duration
	lost bool // the state is lost before it
	registry.Command
}

var groups = []registry.Placement{{}, {Types: []string{"big"}}}

func names(n int, of string) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint(of, i+1))
	}
	return all
}

// newFleet returns a fleet without nodes, before a list of total servers.
func newFleet(w *sim.World, replicas, total int) *Fleet {
	f := &Fleet{
		World:    w,
		Replicas: names(replicas, "r"),
		Next:     registry.Subset.Next,
		disks:    map[string]*disk{},
		nodes:    map[string]*node{},
		sizes:    map[string]int{},
		files:    map[string]client.List{},
		now:      map[string]registry.Endpoint{},
		history:  map[string]*history{},
		broken:   map[string]error{},
		mail:     mail{kept: map[string]any{}, to: map[string][]string{}},
	}
	w.Play = f
	f.begin()
	for i := range total {
		f.register(server("s", i))
	}
	return f
}

// start starts the replicas, and nodes that have the fleet's size in their settings.
func (f *Fleet) start(size int, nodes []string) {
	for _, name := range f.Replicas {
		f.disks[name] = &disk{state: registry.NewState()}
		f.World.Add(name, func(time.Duration) sim.Actor { return &replica{fleet: f, disk: f.disks[name]} })
	}
	for _, name := range nodes {
		f.sizes[name] = size
		f.World.Add(name, func(time.Duration) sim.Actor {
			n := &node{fleet: f, name: name, highest: map[string]uint64{}}
			_, _ = fmt.Sscanf(name, "n%d", &n.self) // names are made here
			n.self--
			n.at = n.self % len(f.Replicas)
			f.nodes[name] = n
			return n
		})
	}
}

func server(prefix string, i int) registry.Endpoint {
	e := registry.Endpoint{
		Name:    fmt.Sprint(prefix, "-", i),
		Address: "10.0.0.1:80",
		Zone:    fmt.Sprint("z", i%3),
		Type:    "small",
		Status:  registry.Ready,
		Weight:  1,
	}
	if i%12 == 0 {
		e.Type = "big"
	}
	return e
}

// begin begins a list without servers, in an epoch of its own.
func (f *Fleet) begin() {
	f.leader = registry.NewState()
	f.now = map[string]registry.Endpoint{}
	f.write(registry.Command{Op: registry.OpBegin, Epoch: f.epoch()}, true)
}

func (f *Fleet) epoch() string {
	f.epochs++
	e := fmt.Sprint("E", f.epochs)
	f.history[e] = &history{}
	return e
}

// write has a command carried out and logged.
func (f *Fleet) write(c registry.Command, lost bool) registry.Result {
	r := f.leader.Apply(c)
	f.log = append(f.log, logged{f.World.Now(), lost, c})
	f.disturb()
	return r
}

func (f *Fleet) register(e registry.Endpoint) {
	f.put(e, registry.Command{Op: registry.OpRegister, Endpoint: &e})
}

func (f *Fleet) drain(name string) {
	e := f.now[name]
	e.Status = registry.Draining
	f.put(e, registry.Command{Op: registry.OpDrain, Name: name})
}

func (f *Fleet) remove(name string) {
	e := f.now[name]
	e.Status = registry.Removed
	f.put(e, registry.Command{Op: registry.OpRemove, Name: name})
}

func (f *Fleet) put(e registry.Endpoint, c registry.Command) {
	r := f.write(c, false)
	if f.now[e.Name] == e {
		return
	}
	if f.now[e.Name] = e; e.Status == registry.Removed {
		delete(f.now, e.Name)
	}
	f.history[f.leader.Epoch()].add(r.Version, e)
}

// backup gives what puts today's list back.
func (f *Fleet) backup() (restore func()) {
	image, err := f.leader.EncodeSnapshot()
	if err != nil {
		panic(err) // it is ours
	}
	was := maps.Clone(f.now)
	return func() {
		r := f.write(
			registry.Command{
				Op:            registry.OpRestore,
				Epoch:         f.epoch(),
				ReplacesEpoch: f.leader.Epoch(),
				Snapshot:      image,
			},
			false,
		)
		f.now = maps.Clone(was)
		for _, e := range f.now {
			f.history[f.leader.Epoch()].add(r.Version, e)
		}
	}
}

// servers gives the names of the list, in their order.
func (f *Fleet) servers() []string { return slices.Sorted(maps.Keys(f.now)) }

// disturb says that something has changed: calls are counted from here.
func (f *Fleet) disturb() {
	for _, n := range f.nodes {
		n.calls, n.settled = 0, false
	}
}

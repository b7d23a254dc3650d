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
	nodeCount     = 13
	watchTimeout  = 5 * time.Second         // of a watch
	answerGrace   = 1500 * time.Millisecond // for an answer, past the hold
	newEpochDelay = 6 * time.Second         // of a list of another epoch
	maxLag        = 5 * time.Second         // of a replica's log
)

// Fleet is the nodes, the replicas, and what the list was at each version.
type Fleet struct {
	World    *sim.World
	Replicas []string
	// stand-in: changes an answer; nil: none does
	AlterAnswer func(q query, a *registry.ListResponse)
	// a node's choice
	NextSubset func(has registry.Subset, self, nodes, total int, entries []registry.Endpoint, g []registry.Placement) registry.Subset
	// stand-in: nodes begin anew at another replica after each watch
	ForgetsList bool

	leader      *registry.State
	log         []logEntry
	disks       map[string]*disk
	nodes       map[string]*node // the last process of each
	fleetSizes  map[string]int   // of the fleet, in each node's settings
	cachedLists map[string]client.List
	epochCount  int

	endpoints  map[string]registry.Endpoint // the list, kept apart from State
	history    map[string]*history          // by epoch
	violations map[string]error             // by check, the first
	messages   messageStore
}

// logEntry is an entry of the log.
type logEntry struct {
	at             time.Duration
	afterStateLoss bool // the state is lost before it
	registry.Command
}

var placements = []registry.Placement{{}, {Types: []string{"big"}}}

func names(n int, prefix string) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint(prefix, i+1))
	}
	return all
}

// newFleet returns a fleet without nodes, before a list of total servers.
func newFleet(w *sim.World, replicas, total int) *Fleet {
	f := &Fleet{
		World:       w,
		Replicas:    names(replicas, "r"),
		NextSubset:  registry.Subset.Next,
		disks:       map[string]*disk{},
		nodes:       map[string]*node{},
		fleetSizes:  map[string]int{},
		cachedLists: map[string]client.List{},
		endpoints:   map[string]registry.Endpoint{},
		history:     map[string]*history{},
		violations:  map[string]error{},
		messages:    messageStore{contents: map[string]any{}, keysByNode: map[string][]string{}},
	}
	w.PlayState = f
	f.beginEpoch()
	for i := range total {
		f.register(newEndpoint("s", i))
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
		f.fleetSizes[name] = size
		f.World.Add(name, func(time.Duration) sim.Actor {
			n := &node{fleet: f, name: name, highestVersions: map[string]uint64{}}
			_, _ = fmt.Sscanf(name, "n%d", &n.index) // names are made here
			n.index--
			n.replicaIndex = n.index % len(f.Replicas)
			f.nodes[name] = n
			return n
		})
	}
}

func newEndpoint(prefix string, i int) registry.Endpoint {
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

// beginEpoch begins a list without servers, in an epoch of its own.
func (f *Fleet) beginEpoch() {
	f.leader = registry.NewState()
	f.endpoints = map[string]registry.Endpoint{}
	f.write(registry.Command{Op: registry.OpBegin, Epoch: f.newEpoch()}, true)
}

func (f *Fleet) newEpoch() string {
	f.epochCount++
	e := fmt.Sprint("E", f.epochCount)
	f.history[e] = &history{}
	return e
}

// write has a command carried out and logged.
func (f *Fleet) write(c registry.Command, lost bool) registry.Result {
	r := f.leader.Apply(c)
	f.log = append(f.log, logEntry{f.World.Now(), lost, c})
	f.resetCallCounts()
	return r
}

func (f *Fleet) register(e registry.Endpoint) {
	f.changeEndpoint(e, registry.Command{Op: registry.OpRegister, Endpoint: &e})
}

func (f *Fleet) drain(name string) {
	e := f.endpoints[name]
	e.Status = registry.Draining
	f.changeEndpoint(e, registry.Command{Op: registry.OpDrain, Name: name})
}

func (f *Fleet) remove(name string) {
	e := f.endpoints[name]
	e.Status = registry.Removed
	f.changeEndpoint(e, registry.Command{Op: registry.OpRemove, Name: name})
}

func (f *Fleet) changeEndpoint(e registry.Endpoint, c registry.Command) {
	r := f.write(c, false)
	if f.endpoints[e.Name] == e {
		return
	}
	if f.endpoints[e.Name] = e; e.Status == registry.Removed {
		delete(f.endpoints, e.Name)
	}
	f.history[f.leader.Epoch()].add(r.Version, e)
}

// backup gives what puts today's list back.
func (f *Fleet) backup() (restore func()) {
	snapshot, err := f.leader.EncodeSnapshot()
	if err != nil {
		panic(err) // it is ours
	}
	endpoints := maps.Clone(f.endpoints)
	return func() {
		r := f.write(
			registry.Command{
				Op:            registry.OpRestore,
				Epoch:         f.newEpoch(),
				ReplacesEpoch: f.leader.Epoch(),
				Snapshot:      snapshot,
			},
			false,
		)
		f.endpoints = maps.Clone(endpoints)
		for _, e := range f.endpoints {
			f.history[f.leader.Epoch()].add(r.Version, e)
		}
	}
}

// endpointNames gives the names of the list, in their order.
func (f *Fleet) endpointNames() []string { return slices.Sorted(maps.Keys(f.endpoints)) }

// resetCallCounts says that something has changed: calls are counted from here.
func (f *Fleet) resetCallCounts() {
	for _, n := range f.nodes {
		n.calls, n.settled = 0, false
	}
}

// Package subset simulates subscriptions to subsets of the endpoint list: nodes that follow their subsets at
// one or three replicas, on a simulated clock and network, with random faults that follow from a seed.
//
// The simulation runs the real code of registry.State (SubsetSince, HasNewer, restore), of the client's
// ListState (Next, Apply, List) and of registry.Subset (Next).
//
// Models replace the rest. A log whose entries each replica applies after a short delay replaces raft: writes
// never fail, and every replica has applied all entries older than maxLag when it answers. maxLag is shorter
// than the time for which a list of another epoch is deferred. A replica keeps a watch open until HasNewer,
// in place of the server's hub, and refuses a caller with a newer version than its own. Nothing is paced, and
// answers are passed without their JSON encoding. A loop of the node replaces the client's (nextRead,
// matchSubset, chooseSubset, widensSubset): the node moves to another subset at its next call instead of
// after a drawn time, watches once between two attempts to move, and takes a subset that is too narrow before
// it reads the wider one.
//
// Thirteen nodes represent a fleet whose configured size is hundreds of nodes. With fewer than 5,461
// endpoints no subset is narrower than an eighth of the ring, of which three quarters follow the node's start
// position, and no gap between the thirteen start positions is wider than 0.0902 of the ring. So the thirteen
// nodes alone must cover every endpoint.
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
	watchTimeout  = 5 * time.Second         // how long a replica keeps a quiet watch open
	answerGrace   = 1500 * time.Millisecond // how long after the watch timeout a node waits for the answer
	newEpochDelay = 6 * time.Second         // how long a node defers a list of another epoch
	maxLag        = 5 * time.Second         // the most that a replica's applied entries are behind the log
)

// Fleet holds the simulated nodes and replicas, the log, and what the list was at each version.
type Fleet struct {
	World    *sim.World
	Replicas []string
	// AlterAnswer, if set, changes each answer, to make a broken variant.
	AlterAnswer func(q query, a *registry.ListResponse)
	// NextSubset chooses the subset that a node should follow; broken variants replace it.
	NextSubset func(
		has registry.Subset,
		self, nodes, total int,
		entries []registry.Endpoint,
		g []registry.Placement,
	) registry.Subset
	// ForgetsList makes a broken variant: after each watch a node drops its list and reads from another replica.
	ForgetsList bool

	leader      *registry.State
	log         []logEntry
	disks       map[string]*disk
	nodes       map[string]*node       // by name: the latest process
	fleetSizes  map[string]int         // by node: the size of the fleet in the node's settings
	cachedLists map[string]client.List // by node: the list on the node's disk
	epochCount  int

	endpoints  map[string]registry.Endpoint // the present list by name, tracked independently of State
	history    map[string]*history          // by epoch
	violations map[string]error             // by check: the first violation
	messages   messageStore
}

// logEntry is a command in the log that all replicas apply.
type logEntry struct {
	at             time.Duration
	afterStateLoss bool // the service has lost its state just before this entry
	registry.Command
}

// placements is what nodes pass to NextSubset as their policies' placements.
var placements = []registry.Placement{{}, {Types: []string{"big"}}}

// names returns n names of a prefix and a number from 1.
func names(n int, prefix string) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint(prefix, i+1))
	}
	return all
}

// newFleet returns a fleet without nodes and a list of total endpoints.
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

// start starts the replicas, and nodes that have the given size of the fleet in their settings.
func (f *Fleet) start(size int, nodes []string) {
	for _, name := range f.Replicas {
		f.disks[name] = &disk{state: registry.NewState()}
		f.World.Add(name, func(time.Duration) sim.Actor { return &replica{fleet: f, disk: f.disks[name]} })
	}
	for _, name := range nodes {
		f.fleetSizes[name] = size
		f.World.Add(name, func(time.Duration) sim.Actor {
			n := &node{fleet: f, name: name, highestVersions: map[string]uint64{}}
			_, _ = fmt.Sscanf(name, "n%d", &n.index) // the function names made this name
			n.index--
			n.replicaIndex = n.index % len(f.Replicas)
			f.nodes[name] = n
			return n
		})
	}
}

// newEndpoint returns a ready endpoint; every twelfth is of type big.
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

// beginEpoch loses the state and begins an empty list in a new epoch.
func (f *Fleet) beginEpoch() {
	f.leader = registry.NewState()
	f.endpoints = map[string]registry.Endpoint{}
	f.write(registry.Command{Op: registry.OpBegin, Epoch: f.newEpoch()}, true)
}

// newEpoch returns the name of a new epoch with an empty history.
func (f *Fleet) newEpoch() string {
	f.epochCount++
	e := fmt.Sprint("E", f.epochCount)
	f.history[e] = &history{}
	return e
}

// write carries out a command at the leader and appends the command to the log.
func (f *Fleet) write(c registry.Command, afterStateLoss bool) registry.Result {
	r := f.leader.Apply(c)
	f.log = append(f.log, logEntry{f.World.Now(), afterStateLoss, c})
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

// changeEndpoint writes the command that gives an endpoint the state e, and records e in the history.
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

// backup takes a snapshot and returns a function that restores the snapshot in a new epoch.
func (f *Fleet) backup() (restore func()) {
	snapshot, err := f.leader.EncodeSnapshot()
	if err != nil {
		panic(err) // the simulation's own state must be encodable
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

// endpointNames returns the names of all endpoints of the list, sorted.
func (f *Fleet) endpointNames() []string { return slices.Sorted(maps.Keys(f.endpoints)) }

// resetCallCounts marks a change: each node has maxCalls from now on to reach the newest version.
func (f *Fleet) resetCallCounts() {
	for _, n := range f.nodes {
		n.calls, n.settled = 0, false
	}
}

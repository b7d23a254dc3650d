// Package subset simulates subscriptions to subsets of the endpoint list: nodes that follow their subsets at
// one or three replicas, on a simulated clock and network, with random faults that follow from a seed.
//
// The simulation runs the real code of registry.State (SubsetSince, HasNewer, restore), of the client's
// ListState (Next, Apply, List) and of registry.Subset (Next).
//
// Models replace the other parts:
//   - A log replaces raft. Each replica applies the log's entries after a short delay. Writes never fail, and
//     when a replica answers, it has applied all entries older than maxLag. maxLag is shorter than the time
//     for which a node defers a list of another epoch.
//   - In place of the server's hub, a replica keeps a watch open until HasNewer returns true. It refuses a
//     caller that has a newer version than the replica.
//   - No rate is limited, and answers are passed without their JSON encoding.
//   - The node's own loop replaces the client's (nextRead, matchSubset, chooseSubset, widensSubset). The node
//     moves to another subset at its next call instead of after a drawn time, watches once between two
//     attempts to move, and uses a subset that is too narrow before it reads the wider one.
//
// Thirteen nodes represent a fleet whose configured size is hundreds of nodes, and they alone must cover
// every endpoint: with fewer than 5,461 endpoints no subset is narrower than an eighth of the ring. Three
// quarters of a subset follow the node's start position, and no gap between the thirteen start positions is
// wider than 0.0902 of the ring.
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
	watchTimeout  = 5 * time.Second         // how long a replica keeps a watch open if nothing changes
	answerGrace   = 1500 * time.Millisecond // how long after the watch timeout a node waits for the answer
	newEpochDelay = 6 * time.Second         // how long a node defers a list of another epoch
	maxLag        = 5 * time.Second         // a replica has applied all log entries that are older
)

// Fleet holds the simulated nodes and replicas, the log, and the history of the list.
type Fleet struct {
	World    *sim.World
	Replicas []string
	// AlterAnswer, if set, alters each answer, which makes a broken variant.
	AlterAnswer func(q query, a *registry.ListResponse)
	// NextSubset chooses the subset that a node should follow; broken variants replace it.
	NextSubset func(
		current registry.Subset,
		self, nodes, total int,
		entries []registry.Endpoint,
		placements []registry.Placement,
	) registry.Subset
	// ForgetsList makes a broken variant: after each watch a node drops its list and reads from another replica.
	ForgetsList bool

	leader      *registry.State // the state after all entries of the log
	log         []logEntry
	disks       map[string]*disk       // by replica
	nodes       map[string]*node       // by name: the latest process
	fleetSizes  map[string]int         // by node: the size of the fleet in the node's settings
	cachedLists map[string]client.List // by node: the list on the node's disk
	epochCount  int

	endpoints  map[string]registry.Endpoint // by name: the present list, tracked independently of leader
	history    map[string]*history          // by epoch
	violations map[string]error             // by check: the first violation
	messages   messageStore
}

// logEntry is a command in the log that all replicas apply.
type logEntry struct {
	at             time.Duration
	afterStateLoss bool // the registry has lost its state just before this entry
	registry.Command
}

// placements are the placements of the policy, which every node passes to NextSubset.
var placements = []registry.Placement{{}, {Types: []string{"big"}}}

// names returns n names, which are the prefix followed by a number from 1.
func names(n int, prefix string) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i+1))
	}
	return list
}

// newFleet returns a fleet with a list of total endpoints, but without nodes and running replicas.
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

// start starts the replicas and the named nodes, whose settings give the fleet's size as size.
func (f *Fleet) start(size int, nodes []string) {
	for _, name := range f.Replicas {
		f.disks[name] = &disk{state: registry.NewState()}
		f.World.Add(name, func(time.Duration) sim.Actor { return &replica{fleet: f, disk: f.disks[name]} })
	}
	for _, name := range nodes {
		f.fleetSizes[name] = size
		f.World.Add(name, func(time.Duration) sim.Actor {
			n := &node{fleet: f, name: name, highestVersions: map[string]uint64{}}
			_, _ = fmt.Sscanf(name, "n%d", &n.index) // the name comes from the function names
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

// beginEpoch drops the state and begins an empty list in a new epoch.
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

// write applies a command to the leader and appends the command to the log.
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

// changeEndpoint writes the command c, which changes an endpoint to e, and records e in the history.
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

// backup takes a snapshot of the list and returns a function that restores the list from it in a new epoch.
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

// resetCallCounts is called after a change: from now on each node has maxCalls to reach the newest version.
func (f *Fleet) resetCallCounts() {
	for _, n := range f.nodes {
		n.calls, n.settled = 0, false
	}
}

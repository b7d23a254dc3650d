// Package discovery emulates the platform's discovery in the lab: a versioned list of backends, and an agent
// on each node's machine that receives the changes of the list with a delay.
package discovery

import (
	"sync"
	"time"

	"wrenspread/internal/registry"
)

// Entry is the entry of an app backend in discovery's list.
type Entry = registry.Endpoint

// The statuses of an entry. Gone occurs only in changes, not in snapshots.
const (
	Ready    = registry.Ready
	Draining = registry.Draining
	Gone     = registry.Removed
)

// Answer is an agent's response to a request for the list. The lab's discovery does not use epochs.
type Answer = registry.ListResponse

// Registry holds all changes of the list, which determine the current list. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	changes []change // changes[i] leads to version i+1 of the list
	agents  []*Agent
}

// change is a change of the list, with the time at which it was made.
type change struct {
	at    time.Duration
	entry Entry
}

// Set makes a change, which reaches each agent after the agent's delay. silent means that the backend did not
// announce its end, so that discovery takes longer to notice it.
func (r *Registry) Set(now time.Duration, e Entry, silent bool) {
	r.mu.Lock()
	r.changes = append(r.changes, change{now, e})
	agents := r.agents
	for _, a := range agents {
		a.scheduleChange(now, silent)
	}
	r.mu.Unlock()
	for _, a := range agents {
		a.wakeWatchers()
	}
}

// DelayFunc returns the delay with which a change reaches an agent. silent is true for a change that was not
// announced, such as a backend that vanishes.
type DelayFunc func(silent bool) time.Duration

// Agent is the discovery agent on a node's machine.
type Agent struct {
	Node     string
	registry *Registry
	address  func(backend string) string // the address at which this node reaches a backend
	delay    DelayFunc
	// arrivals[i] is when change i reaches the agent. A change never arrives before the previous changes. The
	// registry's lock guards arrivals.
	arrivals []time.Duration
	changed  chan struct{} // closed and replaced at each change of the list; guarded by the registry's lock
	now      func() time.Duration
}

// Agent adds the agent of a node. The agent starts with the current list.
func (r *Registry) Agent(
	node string,
	now func() time.Duration,
	delay DelayFunc,
	address func(backend string) string,
) *Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &Agent{
		Node:     node,
		registry: r,
		address:  address,
		delay:    delay,
		now:      now,
		changed:  make(chan struct{}),
		arrivals: make([]time.Duration, len(r.changes)),
	}
	r.agents = append(r.agents, a)
	return a
}

// scheduleChange draws when a change made now reaches the agent. The caller holds the registry's lock.
func (a *Agent) scheduleChange(now time.Duration, silent bool) {
	at := now + a.delay(silent)
	if n := len(a.arrivals); n > 0 {
		at = max(at, a.arrivals[n-1])
	}
	a.arrivals = append(a.arrivals, at)
}

// wakeWatchers wakes the requests that wait for a change.
func (a *Agent) wakeWatchers() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// state returns the version of the agent's list, the time at which the next change reaches the agent (0 if no
// change is on its way), and a channel that is closed at the next change of the registry.
func (a *Agent) state(now time.Duration) (index uint64, next time.Duration, wake <-chan struct{}) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	for index < uint64(len(a.arrivals)) && a.arrivals[index] <= now {
		index++
	}
	if index < uint64(len(a.arrivals)) {
		next = a.arrivals[index]
	}
	return index, next, a.changed
}

// List returns the response to a client that has the list of version from. The response contains the changes
// since this version, or the complete list if from is 0 or a version that the agent does not have yet.
func (a *Agent) List(from uint64, now time.Duration) Answer {
	index, _, _ := a.state(now)
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	response := Answer{Index: index, Endpoints: []Entry{}, Snapshot: from == 0 || from > index}
	if response.Snapshot {
		from = 0
	}
	lastChange := map[string]int{}
	for i := from; i < index; i++ {
		lastChange[a.registry.changes[i].entry.Name] = int(i)
	}
	for i := from; i < index; i++ {
		e := a.registry.changes[i].entry
		if lastChange[e.Name] != int(i) || (response.Snapshot && e.Status == Gone) {
			continue
		}
		e.Address = a.address(e.Name)
		response.Endpoints = append(response.Endpoints, e)
	}
	return response
}

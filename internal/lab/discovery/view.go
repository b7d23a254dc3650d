// Package discovery is the lab's stand-in for the platform's discovery: a list with
// versions, and an agent on each node's machine that hears of changes late.
package discovery

import (
	"sync"
	"time"

	"wrenspread/internal/registry"
)

// Entry is one app backend in discovery's form.
type Entry = registry.Endpoint

// The statuses of an entry. Gone stands only among changes.
const (
	Ready    = registry.Ready
	Draining = registry.Draining
	Gone     = registry.Removed
)

// Answer is what an agent answers. It knows no epochs.
type Answer = registry.ListResponse

// Registry is the list as it is, with all its changes. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	changes []change // change i has the index i+1
	agents  []*Agent
}

type change struct {
	at    time.Duration
	entry Entry
}

// Set makes a change, told to the agents as late as they hear of things. silent
// says that the backend left without a word, which takes longer to be noticed.
func (r *Registry) Set(now time.Duration, e Entry, silent bool) {
	r.mu.Lock()
	r.changes = append(r.changes, change{now, e})
	agents := r.agents
	for _, a := range agents {
		a.expect(now, silent)
	}
	r.mu.Unlock()
	for _, a := range agents {
		a.stir()
	}
}

// Lateness says how late an agent hears of one change.
type Lateness func(silent bool) time.Duration

// Agent is the one on a node's machine.
type Agent struct {
	Node    string
	reg     *Registry
	address func(box string) string // where this node finds a backend
	late    Lateness
	// under the registry's lock; when change i reaches the agent, never before those ahead of it
	due  []time.Duration
	wake chan struct{} // under the registry's lock; closed and replaced at each change
	now  func() time.Duration
}

// Agent adds the agent of a node. It has at once all that is listed now.
func (r *Registry) Agent(
	node string,
	now func() time.Duration,
	late Lateness,
	address func(box string) string,
) *Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &Agent{
		Node:    node,
		reg:     r,
		address: address,
		late:    late,
		now:     now,
		wake:    make(chan struct{}),
		due:     make([]time.Duration, len(r.changes)),
	}
	r.agents = append(r.agents, a)
	return a
}

// expect is called under the registry's lock.
func (a *Agent) expect(now time.Duration, silent bool) {
	at := now + a.late(silent)
	if n := len(a.due); n > 0 {
		at = max(at, a.due[n-1])
	}
	a.due = append(a.due, at)
}

func (a *Agent) stir() {
	a.reg.mu.Lock()
	defer a.reg.mu.Unlock()
	close(a.wake)
	a.wake = make(chan struct{})
}

// state is the index that the agent has, when the next change reaches it (0: none is on its way), and what
// wakes whoever waits.
func (a *Agent) state(now time.Duration) (index uint64, next time.Duration, wake <-chan struct{}) {
	a.reg.mu.Lock()
	defer a.reg.mu.Unlock()
	for index < uint64(len(a.due)) && a.due[index] <= now {
		index++
	}
	if index < uint64(len(a.due)) {
		next = a.due[index]
	}
	return index, next, a.wake
}

// List is the answer to whoever has the list of version from: what has changed, or
// the complete list where from is 0 or not a version that the agent has had.
func (a *Agent) List(from uint64, now time.Duration) Answer {
	index, _, _ := a.state(now)
	a.reg.mu.Lock()
	defer a.reg.mu.Unlock()
	out := Answer{Index: index, Endpoints: []Entry{}, Snapshot: from == 0 || from > index}
	if out.Snapshot {
		from = 0
	}
	last := map[string]int{}
	for i := from; i < index; i++ {
		last[a.reg.changes[i].entry.Name] = int(i)
	}
	for i := from; i < index; i++ {
		e := a.reg.changes[i].entry
		if last[e.Name] != int(i) || (out.Snapshot && e.Status == Gone) {
			continue
		}
		e.Address = a.address(e.Name)
		out.Endpoints = append(out.Endpoints, e)
	}
	return out
}

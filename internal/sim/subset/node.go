package subset

import (
	"fmt"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/sim"
)

// maxRetryDelay bounds the drawn delay before the call that follows a failed one.
const maxRetryDelay = 500 * time.Millisecond

// node is a process that follows its subset of the endpoint list at the replicas.
type node struct {
	fleet        *Fleet
	name         string
	index        int // position among the nodes, from 0
	listState    *client.ListState
	view         client.List     // the list of listState
	replicaIndex int             // of the replica that is called
	current      registry.Subset // the subset of the view
	target       registry.Subset // the subset that the node should follow
	lastQuery    query
	inFlight     bool // a call awaits its answer
	failed       bool // the last call failed
	moveFailed   bool // the last call was a move to the target, and failed for another reason than olderVersion

	highestVersions map[string]uint64 // by epoch: the highest version that a view has had
	calls           int               // calls since the last change, except those whose answer was deferred
	settled         bool              // the node has the newest version of its target
	callsToSettle   int               // value of calls when the node settled
}

// Handle starts the node from its cached list, retries after timeouts, and handles the answer to the call in
// flight.
func (n *node) Handle(now time.Duration, e sim.Event) []sim.Effect {
	switch e := e.(type) {
	case sim.Started:
		v := n.fleet.cachedLists[n.name]
		n.listState, n.view, n.current, n.target = client.NewListState(newEpochDelay, v), v, v.Subset, v.Subset
		if v.Version == 0 {
			n.target = n.nextSubset(client.List{Total: registry.MaxEndpoints})
		}
		return n.call()
	case sim.Tick:
		if !n.inFlight {
			return n.call()
		}
		return n.retryLater("no answer", true)
	case sim.Message:
		if r, ok := n.fleet.messages.content(e).(reply); ok && n.inFlight && r.number == n.lastQuery.number {
			return n.handleAnswer(now, r.answer)
		}
	}
	return nil
}

// call makes the next call: a first read, a move to the target, a watch, or after a failure a read that does
// not wait for changes.
func (n *node) call() []sim.Effect {
	q := query{number: n.lastQuery.number + 1, subset: n.current}
	if n.fleet.ForgetsList && n.lastQuery.timeout > 0 {
		n.listState, n.replicaIndex = client.NewListState(newEpochDelay, client.List{}),
			(n.replicaIndex+1)%len(n.fleet.Replicas)
	}
	q.since, q.epoch = n.listState.Next()
	switch {
	case q.since == 0:
		q.subset = n.target
	case n.target != n.current && !n.moveFailed:
		q = query{number: q.number, subset: n.target, replacesSubset: true}
	case !n.failed:
		q.timeout = watchTimeout
	}
	n.fleet.messages.forget(n.name)
	n.lastQuery, n.inFlight, n.moveFailed = q, true, false
	n.calls++
	out := []sim.Effect{
		sim.Send{To: n.fleet.Replicas[n.replicaIndex], Data: n.fleet.messages.put("", q)},
		sim.Wake{After: q.timeout + answerGrace},
	}
	if q.replacesSubset {
		out = append(
			out,
			sim.Note{Text: fmt.Sprintf(
				"reads from %s all of %s; keeps %s",
				n.fleet.Replicas[n.replicaIndex],
				q.subset,
				n.current,
			)},
		)
	}
	return out
}

// retryLater schedules the next call after a drawn time, at the next replica if nextReplica is set.
func (n *node) retryLater(reason string, nextReplica bool) []sim.Effect {
	if n.inFlight, n.failed = false, true; nextReplica {
		n.replicaIndex = (n.replicaIndex + 1) % len(n.fleet.Replicas)
	}
	n.moveFailed = n.lastQuery.replacesSubset && reason != olderVersion
	return []sim.Effect{
		sim.Note{Text: reason},
		sim.Wake{After: time.Duration(n.fleet.World.Rand().Int64N(int64(maxRetryDelay)))},
	}
}

// olderVersion is the note for an answer that is older than the view.
const olderVersion = "ignores an older version"

// handleAnswer takes the answer to the last call; a nil answer is a refusal.
func (n *node) handleAnswer(now time.Duration, a *registry.ListResponse) []sim.Effect {
	if a == nil {
		return n.retryLater("refused: the replica is behind", true)
	}
	verdict := n.listState.Apply(now, n.lastQuery.since, *a)
	switch verdict {
	case client.Stale:
		return n.retryLater(olderVersion, true)
	case client.NeedsComplete:
		return n.retryLater("finds a gap in the changes", true)
	case client.Deferred:
		n.calls--
		return n.retryLater(fmt.Sprintf("defers %s", a.Epoch), false)
	}
	if verdict == client.Changed {
		n.view = n.listState.List()
	}
	v := n.view
	var notes []sim.Effect
	if verdict == client.Changed && (a.Snapshot || len(a.Endpoints) > 0) {
		notes = append(notes, sim.Note{Text: describeAnswer(a, v)})
	}
	n.inFlight, n.failed, n.current, n.target = false, false, v.Subset, n.nextSubset(v)
	n.fleet.cachedLists[n.name] = v
	n.fleet.checkView(n, v)
	return append(notes, n.call()...)
}

// describeAnswer returns the timeline text of an answer that led to the view v.
func describeAnswer(a *registry.ListResponse, v client.List) string {
	if a.Snapshot {
		return fmt.Sprintf(
			"has %s of %s at version %d: %d of %d",
			v.Subset,
			v.Epoch,
			v.Version,
			len(v.Endpoints),
			v.Total,
		)
	}
	if len(a.Endpoints) == 1 {
		return fmt.Sprintf("gets %s as %s: version %d", a.Endpoints[0].Name, a.Endpoints[0].Status, v.Version)
	}
	return fmt.Sprintf("gets %d changes: version %d", len(a.Endpoints), v.Version)
}

// nextSubset returns the subset that the node should follow, given the list v.
func (n *node) nextSubset(v client.List) registry.Subset {
	return n.fleet.NextSubset(v.Subset, n.index, n.fleet.fleetSizes[n.name], v.Total, v.Endpoints, placements)
}

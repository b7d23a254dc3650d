package subset

import (
	"slices"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/sim"
)

const (
	applyInterval = 20 * time.Millisecond
	applyDelay    = 30 * time.Millisecond // from the log entry until a replica applies it
)

// query is a call that reads or watches a subset.
type query struct {
	number         uint64
	subset         registry.Subset
	since          uint64        // the caller's version; 0: a complete read
	epoch          string        // of since
	timeout        time.Duration // how long a watch may stay open; 0: the query is answered at once
	replacesSubset bool          // reads another subset than the current one, to replace it
}

// reply is the result of a query. A nil answer is a refusal: the replica has an older version than the
// caller.
type reply struct {
	number uint64
	answer *registry.ListResponse
}

// disk is the part of a replica that survives a restart.
type disk struct {
	state     *registry.State
	applied   int // number of applied log entries
	lagFaults int // active lag faults; with any, entries younger than maxLag are not applied
}

// replica is a process of a replica of the registry.
type replica struct {
	fleet *Fleet
	*disk
	watches []openWatch
	// answerCache holds the answers that were computed from the present state. It is nil after a change of the
	// state.
	answerCache map[answerKey]registry.ListResponse
}

// answerKey identifies an answer: the changes of a subset since a version.
type answerKey struct {
	subset registry.Subset
	since  uint64
}

// openWatch is a query that is not answered yet.
type openWatch struct {
	query
	node   string
	endsAt time.Duration
}

// Handle applies due log entries, accepts a query, and answers all queries that can be answered now.
func (r *replica) Handle(_ time.Duration, e sim.Event) (out []sim.Effect) {
	r.catchUp()
	now := r.fleet.World.Now()
	switch e := e.(type) {
	case sim.Started, sim.Tick:
		out = append(out, sim.Wake{After: applyInterval})
	case sim.Message:
		q := r.fleet.messages.content(e).(query)
		r.watches = append(r.watches, openWatch{q, e.From, now + q.timeout})
	}
	r.watches = slices.DeleteFunc(r.watches, func(w openWatch) bool {
		a := r.serve(w.query, now >= w.endsAt)
		if a != nil {
			out = append(out, sim.Send{To: w.node, Data: r.fleet.messages.put(w.node, *a)})
		}
		return a != nil
	})
	return out
}

// catchUp applies the log entries that are due.
func (r *replica) catchUp() {
	appliedUntil := r.fleet.World.Now() - applyDelay
	if r.lagFaults > 0 {
		appliedUntil = r.fleet.World.Now() - maxLag
	}
	// The entries that were written at time 0 are applied without a delay.
	for ; r.applied < len(r.fleet.log) && r.fleet.log[r.applied].at <= max(appliedUntil, 0); r.applied++ {
		c := r.fleet.log[r.applied]
		if c.afterStateLoss {
			r.state = registry.NewState()
		}
		r.state.Apply(c.Command)
		r.answerCache = nil
	}
}

// subsetSince returns the result of State.SubsetSince, which it computes only once for equal queries.
func (r *replica) subsetSince(subset registry.Subset, from uint64) registry.ListResponse {
	a, ok := r.answerCache[answerKey{subset, from}]
	if !ok {
		a = r.state.SubsetSince(subset, from)
		if r.answerCache == nil {
			r.answerCache = map[answerKey]registry.ListResponse{}
		}
		r.answerCache[answerKey{subset, from}] = a
	}
	return a
}

// serve answers a query. It returns nil if the query is a watch that stays open; timedOut ends the watch.
func (r *replica) serve(q query, timedOut bool) *reply {
	from := q.since
	if q.epoch != r.state.Epoch() {
		from = 0
	}
	if from > r.state.Version() {
		return &reply{number: q.number}
	}
	if from > 0 && !timedOut && !r.state.HasNewer(q.subset, from) {
		return nil
	}
	a := r.subsetSince(q.subset, from)
	a.Subset, a.Total = q.subset.String(), r.state.Len()
	if r.fleet.AlterAnswer != nil {
		a.Endpoints = slices.Clone(a.Endpoints)
		r.fleet.AlterAnswer(q, &a)
	}
	return &reply{q.number, &a}
}

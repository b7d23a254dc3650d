package subset

import (
	"slices"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/sim"
)

const (
	applyInterval = 20 * time.Millisecond
	applyDelay    = 30 * time.Millisecond // of what was logged
)

// query is a call for a part.
type query struct {
	number         uint64
	subset         registry.Subset
	since          uint64
	epoch          string
	timeout        time.Duration
	replacesSubset bool // it reads a part in place of the one that stands
}

// reply is what a call brings; without an answer it is refused, as the replica is behind.
type reply struct {
	number uint64
	answer *registry.ListResponse
}

// disk is what a replica has after a restart.
type disk struct {
	state     *registry.State
	applied   int // entries of the log
	lagFaults int // faults by which it applies nothing that is younger than mostLag
}

// replica is a process of the registry.
type replica struct {
	fleet *Fleet
	*disk
	watches []openWatch
	// as the state is, for those who ask for the same; nil: it has changed
	answerCache map[answerKey]registry.ListResponse
}

// answerKey is what an answer is of: a part, since a version.
type answerKey struct {
	subset registry.Subset
	since  uint64
}

// openWatch is a watch that is open.
type openWatch struct {
	query
	node   string
	endsAt time.Duration
}

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
	r.watches = slices.DeleteFunc(r.watches, func(h openWatch) bool {
		a := r.serve(h.query, now >= h.endsAt)
		if a != nil {
			out = append(out, sim.Send{To: h.node, Data: r.fleet.messages.put(h.node, *a)})
		}
		return a != nil
	})
	return out
}

func (r *replica) catchUp() {
	appliedUntil := r.fleet.World.Now() - applyDelay
	if r.lagFaults > 0 {
		appliedUntil = r.fleet.World.Now() - maxLag
	}
	// all have what there was at first
	for ; r.applied < len(r.fleet.log) && r.fleet.log[r.applied].at <= max(appliedUntil, 0); r.applied++ {
		c := r.fleet.log[r.applied]
		if c.afterStateLoss {
			r.state = registry.NewState()
		}
		r.state.Apply(c.Command)
		r.answerCache = nil
	}
}

// subsetSince is SubsetSince, made once for all who ask for the same.
func (r *replica) subsetSince(p registry.Subset, from uint64) registry.ListResponse {
	a, ok := r.answerCache[answerKey{p, from}]
	if !ok {
		a = r.state.SubsetSince(p, from)
		if r.answerCache == nil {
			r.answerCache = map[answerKey]registry.ListResponse{}
		}
		r.answerCache[answerKey{p, from}] = a
	}
	return a
}

// serve answers a call, or holds it: then it gives nothing.
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

package subset

import (
	"slices"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/sim"
)

const (
	applyEvery = 20 * time.Millisecond
	applyAfter = 30 * time.Millisecond // of what was logged
)

// query is a call for a part.
type query struct {
	number uint64
	part   registry.Subset
	from   uint64
	epoch  string
	hold   time.Duration
	moves  bool // it reads a part in place of the one that stands
}

// reply is what a call brings; without an answer it is refused, as the replica is behind.
type reply struct {
	number uint64
	answer *registry.ListResponse
}

// disk is what a replica has after a restart.
type disk struct {
	state *registry.State
	done  int // entries of the log
	lags  int // faults by which it applies nothing that is younger than mostLag
}

// replica is a process of the registry.
type replica struct {
	fleet *Fleet
	*disk
	held []held
	// as the state is, for those who ask for the same; nil: it has changed
	answers map[span]registry.ListResponse
}

// span is what an answer is of: a part, since a version.
type span struct {
	part registry.Subset
	from uint64
}

// held is a watch that is open.
type held struct {
	query
	by    string
	until time.Duration
}

func (r *replica) Handle(_ time.Duration, e sim.Event) (out []sim.Effect) {
	r.catchUp()
	now := r.fleet.World.Now()
	switch e := e.(type) {
	case sim.Started, sim.Tick:
		out = append(out, sim.Wake{After: applyEvery})
	case sim.Message:
		q := r.fleet.mail.of(e).(query)
		r.held = append(r.held, held{q, e.From, now + q.hold})
	}
	r.held = slices.DeleteFunc(r.held, func(h held) bool {
		a := r.serve(h.query, now >= h.until)
		if a != nil {
			out = append(out, sim.Send{To: h.by, Data: r.fleet.mail.post(h.by, *a)})
		}
		return a != nil
	})
	return out
}

func (r *replica) catchUp() {
	upTo := r.fleet.World.Now() - applyAfter
	if r.lags > 0 {
		upTo = r.fleet.World.Now() - mostLag
	}
	// all have what there was at first
	for ; r.done < len(r.fleet.log) && r.fleet.log[r.done].at <= max(upTo, 0); r.done++ {
		c := r.fleet.log[r.done]
		if c.lost {
			r.state = registry.NewState()
		}
		r.state.Apply(c.Command)
		r.answers = nil
	}
}

// since is SubsetSince, made once for all who ask for the same.
func (r *replica) since(p registry.Subset, from uint64) registry.ListResponse {
	a, ok := r.answers[span{p, from}]
	if !ok {
		a = r.state.SubsetSince(p, from)
		if r.answers == nil {
			r.answers = map[span]registry.ListResponse{}
		}
		r.answers[span{p, from}] = a
	}
	return a
}

// serve answers a call, or holds it: then it gives nothing.
func (r *replica) serve(q query, over bool) *reply {
	from := q.from
	if q.epoch != r.state.Epoch() {
		from = 0
	}
	if from > r.state.Version() {
		return &reply{number: q.number}
	}
	if from > 0 && !over && !r.state.HasNewer(q.part, from) {
		return nil
	}
	a := r.since(q.part, from)
	a.Subset, a.Total = q.part.String(), r.state.Len()
	if r.fleet.Alter != nil {
		a.Endpoints = slices.Clone(a.Endpoints)
		r.fleet.Alter(q, &a)
	}
	return &reply{q.number, &a}
}

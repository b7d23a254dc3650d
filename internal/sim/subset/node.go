package subset

import (
	"fmt"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/sim"
)

const mostWait = 500 * time.Millisecond // after a call that failed

// node follows its part.
type node struct {
	fleet  *Fleet
	name   string
	self   int
	belief *client.ListState
	view   client.List     // of it
	at     int             // of the replicas
	has    registry.Subset // that is known
	to     registry.Subset // that is to be followed
	asked  query
	open   bool // a call is
	failed bool // the last call has
	putOff bool // it was one that moves

	highest map[string]uint64 // version, by epoch
	calls   int               // since something changed, without those whose answer was held back
	settled bool
	took    int // calls, until it was
}

func (n *node) Handle(now time.Duration, e sim.Event) []sim.Effect {
	switch e := e.(type) {
	case sim.Started:
		v := n.fleet.files[n.name]
		n.belief, n.view, n.has, n.to = client.NewListState(holdBack, v), v, v.Subset, v.Subset
		if v.Version == 0 {
			n.to = n.next(client.List{Total: registry.MaxEndpoints})
		}
		return n.call()
	case sim.Tick:
		if !n.open {
			return n.call()
		}
		return n.fail("no answer", true)
	case sim.Message:
		if r, ok := n.fleet.mail.of(e).(reply); ok && n.open && r.number == n.asked.number {
			return n.take(now, r.answer)
		}
	}
	return nil
}

// call makes the next call.
func (n *node) call() []sim.Effect {
	q := query{number: n.asked.number + 1, part: n.has}
	if n.fleet.Forgets && n.asked.hold > 0 {
		n.belief, n.at = client.NewListState(holdBack, client.List{}), (n.at+1)%len(n.fleet.Replicas)
	}
	q.from, q.epoch = n.belief.Next()
	switch {
	case q.from == 0:
		q.part = n.to
	case n.to != n.has && !n.putOff:
		q = query{number: q.number, part: n.to, moves: true}
	case !n.failed:
		q.hold = hold
	}
	n.fleet.mail.forget(n.name)
	n.asked, n.open, n.putOff = q, true, false
	n.calls++
	out := []sim.Effect{
		sim.Send{To: n.fleet.Replicas[n.at], Data: n.fleet.mail.post("", q)},
		sim.Wake{After: q.hold + grace},
	}
	if q.moves {
		out = append(
			out,
			sim.Say{What: fmt.Sprintf("asks %s for %s whole; %s stands", n.fleet.Replicas[n.at], q.part, n.has)},
		)
	}
	return out
}

// fail has the next call made after a drawn time.
func (n *node) fail(why string, turn bool) []sim.Effect {
	if n.open, n.failed = false, true; turn {
		n.at = (n.at + 1) % len(n.fleet.Replicas)
	}
	n.putOff = n.asked.moves && why != stale
	return []sim.Effect{
		sim.Say{What: why},
		sim.Wake{After: time.Duration(n.fleet.World.Rand().Int64N(int64(mostWait)))},
	}
}

const stale = "passes over what is older"

func (n *node) take(now time.Duration, a *registry.ListResponse) []sim.Effect {
	if a == nil {
		return n.fail("refused by one that is behind", true)
	}
	verdict := n.belief.Apply(now, n.asked.from, *a)
	switch verdict {
	case client.Stale:
		return n.fail(stale, true)
	case client.NeedsComplete:
		return n.fail("finds a gap", true)
	case client.Deferred:
		n.calls--
		return n.fail(fmt.Sprintf("holds %s back", a.Epoch), false)
	}
	if verdict == client.Changed {
		n.view = n.belief.List()
	}
	v := n.view
	var said []sim.Effect
	if verdict == client.Changed && (a.Snapshot || len(a.Endpoints) > 0) {
		said = append(said, sim.Say{What: told(a, v)})
	}
	n.open, n.failed, n.has, n.to = false, false, v.Subset, n.next(v)
	n.fleet.files[n.name] = v
	n.fleet.saw(n, v)
	return append(said, n.call()...)
}

func told(a *registry.ListResponse, v client.List) string {
	if a.Snapshot {
		return fmt.Sprintf(
			"takes %s of %s at version %d: %d of %d",
			v.Subset,
			v.Epoch,
			v.Version,
			len(v.Endpoints),
			v.Total,
		)
	}
	if len(a.Endpoints) == 1 {
		return fmt.Sprintf("hears %s is %s: version %d", a.Endpoints[0].Name, a.Endpoints[0].Status, v.Version)
	}
	return fmt.Sprintf("hears %d changes: version %d", len(a.Endpoints), v.Version)
}

// next is the part to follow for whoever has this.
func (n *node) next(v client.List) registry.Subset {
	return n.fleet.Next(v.Subset, n.self, n.fleet.sizes[n.name], v.Total, v.Endpoints, groups)
}

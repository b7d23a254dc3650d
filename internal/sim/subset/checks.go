package subset

import (
	"fmt"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/sim"
)

// mostCalls is how many calls a node makes, once nothing changes any more, until it has the newest version of
// the part that it is to follow: one that is lost or passed over at each of two replicas, a watch, the move,
// a wider part, and a watch that finds nothing new. Calls whose answer is held back for holdBack are not
// counted: these are a matter of time.
const mostCalls = 6

// saw checks what a node believes after an answer.
func (f *Fleet) saw(n *node, v client.List) {
	if err := f.history[v.Epoch].differs(v); err != nil {
		f.breaks("exact", n, err)
	}
	if was := n.highest[v.Epoch]; v.Version < was {
		f.breaks("forward", n, fmt.Errorf("version %d of %s after %d", v.Version, v.Epoch, was))
	}
	n.highest[v.Epoch] = max(n.highest[v.Epoch], v.Version)
	if !n.settled && v.Epoch == f.leader.Epoch() && v.Version == f.leader.Version() && n.to == n.has {
		n.settled, n.took = true, n.calls
	}
}

func (f *Fleet) breaks(check string, n *node, err error) {
	if f.broken[check] == nil {
		f.broken[check] = fmt.Errorf("%s: %w", n.name, err)
	}
}

func (f *Fleet) checks() []sim.Check {
	broken := func(name string) func() error { return func() error { return f.broken[name] } }
	return []sim.Check{
		// what a node has at a version is the list of that version within its part
		{Name: "exact", Throughout: broken("exact")},
		// its version never goes back within an epoch, as long as it runs
		{Name: "forward", Throughout: broken("forward")},
		{Name: "newest", End: f.newest},
		{Name: "held", End: f.held},
	}
}

// newest says that each node has come to the newest version, and its part, within mostCalls.
func (f *Fleet) newest() error {
	for _, name := range names(len(f.nodes), "n") {
		n := f.nodes[name]
		v := n.view
		if !n.settled || n.took > mostCalls {
			return fmt.Errorf(
				"%s has version %d of %s, not %d of %s, and follows %s, not %s, after %d calls",
				name,
				v.Version,
				v.Epoch,
				f.leader.Version(),
				f.leader.Epoch(),
				n.has,
				n.to,
				n.took,
			)
		}
	}
	return nil
}

// held says that every server that is ready is known as that to some node.
func (f *Fleet) held() error {
	known := map[string]bool{}
	for _, n := range f.nodes {
		for _, e := range n.view.Endpoints {
			known[e.Name] = known[e.Name] || e.Status == registry.Ready
		}
	}
	for _, name := range f.servers() {
		if f.now[name].Status == registry.Ready && !known[name] {
			return fmt.Errorf("nobody has %s", name)
		}
	}
	return nil
}

package subset

import (
	"fmt"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/sim"
)

// maxCalls is how many calls a node makes, once nothing changes any more, until it has the newest version of
// the part that it is to follow: one that is lost or passed over at each of two replicas, a watch, the move,
// a wider part, and a watch that finds nothing new. Calls whose answer is held back for holdBack are not
// counted: these are a matter of time.
const maxCalls = 6

// checkView checks what a node believes after an answer.
func (f *Fleet) checkView(n *node, v client.List) {
	if err := f.history[v.Epoch].differs(v); err != nil {
		f.violate("exact", n, err)
	}
	if highest := n.highestVersions[v.Epoch]; v.Version < highest {
		f.violate("forward", n, fmt.Errorf("version %d of %s after %d", v.Version, v.Epoch, highest))
	}
	n.highestVersions[v.Epoch] = max(n.highestVersions[v.Epoch], v.Version)
	if !n.settled && v.Epoch == f.leader.Epoch() && v.Version == f.leader.Version() && n.target == n.current {
		n.settled, n.callsToSettle = true, n.calls
	}
}

func (f *Fleet) violate(check string, n *node, err error) {
	if f.violations[check] == nil {
		f.violations[check] = fmt.Errorf("%s: %w", n.name, err)
	}
}

func (f *Fleet) checks() []sim.Check {
	broken := func(name string) func() error { return func() error { return f.violations[name] } }
	return []sim.Check{
		// what a node has at a version is the list of that version within its part
		{Name: "exact", Throughout: broken("exact")},
		// its version never goes back within an epoch, as long as it runs
		{Name: "forward", Throughout: broken("forward")},
		{Name: "newest", AtEnd: f.newestCheck},
		{Name: "held", AtEnd: f.coverageCheck},
	}
}

// newestCheck says that each node has come to the newest version, and its part, within mostCalls.
func (f *Fleet) newestCheck() error {
	for _, name := range names(len(f.nodes), "n") {
		n := f.nodes[name]
		v := n.view
		if !n.settled || n.callsToSettle > maxCalls {
			return fmt.Errorf(
				"%s has version %d of %s, not %d of %s, and follows %s, not %s, after %d calls",
				name,
				v.Version,
				v.Epoch,
				f.leader.Version(),
				f.leader.Epoch(),
				n.current,
				n.target,
				n.callsToSettle,
			)
		}
	}
	return nil
}

// coverageCheck says that every server that is ready is known as that to some node.
func (f *Fleet) coverageCheck() error {
	known := map[string]bool{}
	for _, n := range f.nodes {
		for _, e := range n.view.Endpoints {
			known[e.Name] = known[e.Name] || e.Status == registry.Ready
		}
	}
	for _, name := range f.endpointNames() {
		if f.endpoints[name].Status == registry.Ready && !known[name] {
			return fmt.Errorf("nobody has %s", name)
		}
	}
	return nil
}

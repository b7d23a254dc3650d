package subset

import (
	"fmt"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/sim"
)

// maxCalls is the most calls that a node may make, after the last change, until it has the newest version of
// its target subset: one that is lost or discarded as too old at each of two replicas, a watch, the move to
// another subset, a wider subset, and a watch that finds nothing new. Calls whose answer is deferred for
// newEpochDelay do not count, as their number depends on the time.
const maxCalls = 6

// checkView checks the view of a node after an answer, and notes when the node has the newest version of its
// target.
func (f *Fleet) checkView(n *node, v client.List) {
	if err := f.history[v.Epoch].differs(v); err != nil {
		f.violate("exact", n, err)
	}
	if highest := n.highestVersions[v.Epoch]; v.Version < highest {
		f.violate("forward", n, fmt.Errorf("version %d of epoch %s after version %d", v.Version, v.Epoch, highest))
	}
	n.highestVersions[v.Epoch] = max(n.highestVersions[v.Epoch], v.Version)
	if !n.settled && v.Epoch == f.leader.Epoch() && v.Version == f.leader.Version() && n.target == n.current {
		n.settled, n.callsToSettle = true, n.calls
	}
}

// violate stores the first violation of a check.
func (f *Fleet) violate(check string, n *node, err error) {
	if f.violations[check] == nil {
		f.violations[check] = fmt.Errorf("%s: %w", n.name, err)
	}
}

func (f *Fleet) checks() []sim.Check {
	broken := func(name string) func() error { return func() error { return f.violations[name] } }
	return []sim.Check{
		// A node's view at a version is the list of that version within the node's subset.
		{Name: "exact", Throughout: broken("exact")},
		// The version of a running node never decreases within an epoch.
		{Name: "forward", Throughout: broken("forward")},
		{Name: "newest", AtEnd: f.newestCheck},
		{Name: "held", AtEnd: f.coverageCheck},
	}
}

// newestCheck checks that each node has reached the newest version and its target subset within maxCalls.
func (f *Fleet) newestCheck() error {
	for _, name := range names(len(f.nodes), "n") {
		n := f.nodes[name]
		v := n.view
		if !n.settled || n.callsToSettle > maxCalls {
			return fmt.Errorf(
				"%s has version %d of epoch %s, want %d of %s, and follows subset %s, want %s, after %d calls",
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

// coverageCheck checks that every ready endpoint is ready in the view of at least one node.
func (f *Fleet) coverageCheck() error {
	known := map[string]bool{}
	for _, n := range f.nodes {
		for _, e := range n.view.Endpoints {
			known[e.Name] = known[e.Name] || e.Status == registry.Ready
		}
	}
	for _, name := range f.endpointNames() {
		if f.endpoints[name].Status == registry.Ready && !known[name] {
			return fmt.Errorf("no node has endpoint %s as ready", name)
		}
	}
	return nil
}

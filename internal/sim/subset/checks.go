package subset

import (
	"fmt"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/sim"
)

// maxCalls is the most calls that a node may make, after the last change, until it has the newest version of
// its target subset: one call to each of two replicas whose answer is lost or discarded as too old, a watch,
// the move to another subset, the read of a wider subset, and a watch that finds nothing new. Calls whose
// answer is deferred for newEpochDelay are not counted, because their number depends on how long that takes.
const maxCalls = 6

// checkView checks the view of a node after an answer, and marks the node as settled once it has the newest
// version of its target subset.
func (f *Fleet) checkView(n *node, v client.List) {
	if err := f.history[v.Epoch].differs(v); err != nil {
		f.violate("exact", n, err)
	}
	if before := n.highestVersions[v.Epoch]; v.Version < before {
		f.violate("monotonic", n, fmt.Errorf("version %d of epoch %s after version %d", v.Version, v.Epoch, before))
	}
	n.highestVersions[v.Epoch] = max(n.highestVersions[v.Epoch], v.Version)
	if !n.settled && v.Epoch == f.leader.Epoch() && v.Version == f.leader.Version() && n.target == n.current {
		n.settled, n.callsToSettle = true, n.calls
	}
}

// violate stores a violation of a check, unless the check has one already.
func (f *Fleet) violate(check string, n *node, err error) {
	if f.violations[check] == nil {
		f.violations[check] = fmt.Errorf("%s: %w", n.name, err)
	}
}

// checks returns the checks of the play. Throughout the simulation, the first two return violations that
// checkView has stored.
func (f *Fleet) checks() []sim.Check {
	stored := func(name string) func() error { return func() error { return f.violations[name] } }
	return []sim.Check{
		// A node's view at a version is the list of that version within the node's subset.
		{Name: "exact", Throughout: stored("exact")},
		// The version of a running node never decreases within an epoch.
		{Name: "monotonic", Throughout: stored("monotonic")},
		{Name: "newest", AtEnd: f.newestCheck},
		{Name: "coverage", AtEnd: f.coverageCheck},
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
			return fmt.Errorf("endpoint %s is ready, but no node has it as ready", name)
		}
	}
	return nil
}

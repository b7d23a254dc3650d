package scale

import (
	"errors"
)

// Line is one cost of a role, with its bound.
type Line struct {
	Role, What, Unit string
	// Command measures the cost; empty: nothing is measured, the cost follows from the plan's numbers.
	Command   string
	Mechanism string               // mechanism that carries the cost
	Next      string               // what fails first beyond the bound
	limit     string               // name of the constant that bounds the cost
	budget    func(p Plan) float64 // bound, if no constant bounds the cost; nil: none is stated
	cost      func(m labelRecords, p Plan) (value float64, on grounds, err error)
}

// bound is the limit of the cost; 0 if none is stated.
func (l Line) bound(m labelRecords, p Plan) (float64, error) {
	if l.limit != "" {
		r, has := m.byName["constants"]
		if !has {
			return 0, errNotRun
		}
		return r.Points[0].Figures[l.limit].Median, nil
	}
	if l.budget == nil {
		return 0, nil
	}
	return l.budget(p), nil
}

// labelRecords is the records of one label.
type labelRecords struct {
	label  string
	byName map[string]Record
}

// figureAt returns a figure at a size, by the fit along one kind of size, over the points whose other sizes
// are as given.
func (m labelRecords) figureAt(
	what, along, figure string,
	n float64,
	others map[string]int,
) (value float64, on grounds, err error) {
	r, has := m.byName[what]
	if !has {
		return 0, grounds{}, errNotRun
	}
	f, err := fitOf(r, along, figure, others)
	if err != nil {
		return 0, grounds{}, err
	}
	return f.Cost(n), grounds{f.Reach(n), f.Residual}, nil
}

// played200 is a figure as measured with ten nodes and 200 backends.
func (m labelRecords) played200(what, figure string) (float64, grounds, error) {
	for _, p := range m.byName[what].Points {
		if p.Sizes["nodes"] == tenNodes["nodes"] && p.Sizes["backends"] == 200 {
			return p.Figures[figure].Median, grounds{}, nil
		}
	}
	return 0, grounds{}, errNotRun
}

// terms adds up costs, each multiplied by how often it comes, and retains the weakest grounds and the first
// error.
type terms struct {
	sum     float64
	grounds grounds
	err     error
}

// add returns a function that adds a cost multiplied by times.
func (t *terms) add(times float64) func(value float64, on grounds, err error) {
	return func(value float64, on grounds, err error) {
		t.sum, t.grounds = t.sum+times*value, grounds{
			max(t.grounds.reach, on.reach), max(t.grounds.residual, on.residual),
		}
		if t.err == nil {
			t.err = err
		}
	}
}

func (t *terms) total() (float64, grounds, error) { return t.sum, t.grounds, t.err }

// constantLine is the line of a number of the plan that a constant of the program limits.
func constantLine(role, what, unit, limit string, number func(Plan) float64, mechanism, next string) Line {
	return Line{Role: role, What: what, Unit: unit, Mechanism: mechanism, Next: next, limit: limit,
		cost: func(_ labelRecords, p Plan) (float64, grounds, error) { return number(p), grounds{}, nil }}
}

var (
	tenNodes    = map[string]int{"nodes": 10}
	nodesOfPlan = map[string]int{"nodes": 4300, "placements": 1}
)

// nodeCores is a node's processor time for control at the peak: at rest, and for changes.
func nodeCores(m labelRecords, p Plan) (float64, grounds, error) {
	t := &terms{}
	t.add(1)(m.figureAt("real", "backends", "rest_cores", p.Plan.Backends, tenNodes))
	t.add(p.listChangeRate())(m.figureAt("real", "backends", "change_cpu_s", p.Plan.Backends, tenNodes))
	return t.total()
}

// nodeMemory is the memory of a hollow node, plus what a real node of its own process needs more. A real
// node's memory limit hides how much it would use.
func nodeMemory(m labelRecords, p Plan) (float64, grounds, error) {
	t := &terms{}
	t.add(1)(m.figureAt("hollow", "backends", "memory_bytes", p.Plan.Backends, tenNodes))
	t.add(1)(m.played200("real", "memory_bytes"))
	t.add(-1)(m.played200("hollow", "memory_bytes"))
	return t.total()
}

// nodeBytes is the bytes that a node sends and receives for control in a second, at the peak.
func nodeBytes(m labelRecords, p Plan) (float64, grounds, error) {
	t := &terms{}
	for _, way := range []string{"in", "out"} {
		t.add(
			p.listChangeRate(),
		)(
			m.figureAt("watchers", "watchers", "watcher_change_bytes_"+way, p.Plan.Nodes/p.Assumed.Replicas, nil),
		)
		t.add(1)(
			m.figureAt("watchers", "watchers", "watcher_rest_bytes_"+way, p.Plan.Nodes/p.Assumed.Replicas, nil),
		)
	}
	t.add(2)(m.figureAt("view", "members", "datagram_bytes_per_s", p.Plan.Nodes, nil))
	return t.total()
}

// nodeLines are the costs of a node.
func nodeLines() []Line {
	return []Line{
		{
			Role:      "node",
			What:      "processor at the peak, each change taken alone",
			Unit:      "cores",
			Command:   "nodes --kind real",
			Mechanism: "one module, one list client, a kept list written whole at each change",
			Next:      "the tick and each change walk all backends",
			budget:    func(p Plan) float64 { return p.Plan.NodeCores },
			cost:      nodeCores,
		},
		{Role: "node", What: "memory, without a limit of its own", Unit: "bytes", Command: "nodes --kind hollow",
			Mechanism: "module, list client, pools", Next: "every backend is held three times: client, module, pool",
			budget: func(p Plan) float64 { return p.Plan.NodeMemory }, cost: nodeMemory},
		{Role: "node", What: "bytes a second at the peak", Unit: "bytes/s", Command: "watchers, view",
			Mechanism: "held watches, datagrams of the view", Next: "changes of all backends go to all nodes",
			budget: func(p Plan) float64 { return p.Plan.NodeBytes }, cost: nodeBytes},
		{Role: "node", What: "whole list, at its bytes a second", Unit: "s", Command: "entries",
			Mechanism: "one answer with every entry", Next: "a node that starts without a kept list",
			budget: func(p Plan) float64 { return p.Assumed.Start },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, on, err := m.figureAt("entries", "entries", "whole_bytes", p.Plan.Backends, nil)
				return v / p.Plan.NodeBytes, on, err
			}},
		{
			Role:      "node",
			What:      "a zone's backends gone: from the last write until ten nodes know",
			Unit:      "s",
			Command:   "nodes --zone",
			Mechanism: "changes of one answer are taken together",
			Next:      "the kept list is written before the next answer is asked for",
			budget:    func(p Plan) float64 { return p.Plan.InForce },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("zone", "backends", "settled_s", p.Plan.Backends, tenNodes)
			},
		},
		{
			Role:      "node",
			What:      "kept list written at the peak",
			Unit:      "bytes/s",
			Command:   "nodes --kind hollow",
			Mechanism: "the whole list to disk, with fsync, at each change",
			Next:      "no budget is stated for a node's disk",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, on, err := m.figureAt("hollow", "backends", "change_bytes_out", p.Plan.Backends, tenNodes)
				return v * p.listChangeRate(), on, err
			},
		},
		{
			Role:      "node",
			What:      "descriptors for control",
			Unit:      "descriptors",
			Command:   "nodes --kind real",
			Mechanism: "listeners, the watch, the view's socket",
			Next:      "clients and servers take the rest",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("real", "backends", "descriptors", p.Plan.Backends, tenNodes)
			},
		},
		{
			Role:      "node",
			What:      "datagrams of the view a second, out",
			Unit:      "datagrams/s",
			Command:   "view",
			Mechanism: "a probe a period, news on probes",
			Next:      "its rate is the same at all sizes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("view", "members", "datagrams_per_s", p.Plan.Nodes, nil)
			},
		},
		{
			Role:      "node",
			What:      "halves that were apart 30 s have one view",
			Unit:      "s",
			Command:   "view",
			Mechanism: "each learns of half of the fleet at a bounded pace",
			Next:      "its time goes with the fleet",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("view", "members", "heal_s", p.Plan.Nodes, nil)
			},
		},
		constantLine(
			"node",
			"members of the view",
			"members",
			"members",
			func(p Plan) float64 { return p.Plan.Nodes },
			"every node knows every node",
			"strangers beyond are refused",
		),
		{
			Role:      "node",
			What:      "answer of the platform's discovery",
			Unit:      "bytes",
			Command:   "constants",
			Mechanism: "one answer with every entry, parts or not",
			Next:      "the answer is refused, the node keeps the list of before",
			limit:     "platform_list_bytes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				r, has := m.byName["constants"]
				if !has {
					return 0, grounds{}, errNotRun
				}
				return r.Points[0].Figures["entry_bytes"].Median * p.Plan.Backends, grounds{}, nil
			},
		},
	}
}

// listCores is a replica's processor time at the peak, with the renewals that the leader handles.
func listCores(m labelRecords, p Plan) (float64, grounds, error) {
	t := &terms{}
	share := p.Plan.Nodes / p.Assumed.Replicas
	t.add(1)(m.figureAt("watchers", "watchers", "rest_cores", share, nil))
	t.add(p.listChangeRate())(m.figureAt("watchers", "watchers", "change_cpu_s", share, nil))
	t.add(1)(m.figureAt("renewals", "renewals", "cores", p.renewalRate(), nil))
	return t.total()
}

// listLines are the costs of a replica of the list.
func listLines() []Line {
	replica := "list replica"
	machineCores := func(p Plan) float64 { return p.Assumed.MachineCores }
	return []Line{
		{
			Role:      replica,
			What:      "processor at the peak, the leader's",
			Unit:      "cores",
			Command:   "watchers, renewals",
			Mechanism: "answers made once for all, watchers woken in batches, renewals out of the log",
			Next:      "renewals, one call for each backend",
			budget:    machineCores,
			cost:      listCores,
		},
		{Role: replica, What: "bytes out at the peak", Unit: "bytes/s", Command: "watchers",
			Mechanism: "a third of the nodes watch each replica", Next: "each change goes to every node",
			budget: func(p Plan) float64 { return p.Assumed.MachineBytes },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				t := &terms{}
				t.add(p.listChangeRate())(
					m.figureAt("watchers", "watchers", "change_bytes", p.Plan.Nodes/p.Assumed.Replicas, nil),
				)
				t.add(1)(m.figureAt("watchers", "watchers", "rest_bytes_out", p.Plan.Nodes/p.Assumed.Replicas, nil))
				return t.total()
			}},
		{
			Role:      replica,
			What:      "memory",
			Unit:      "bytes",
			Command:   "entries, watchers",
			Mechanism: "entries, ring of changes, held calls",
			Next:      "answers for watchers that stand at many versions",
			budget:    func(p Plan) float64 { return p.Assumed.MachineMemory },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				t := &terms{}
				t.add(1)(m.figureAt("entries", "entries", "memory_bytes", p.Plan.Backends, nil))
				t.add(1)(m.figureAt("watchers", "watchers", "memory_bytes", p.Plan.Nodes/p.Assumed.Replicas, nil))
				return t.total()
			},
		},
		{
			Role:      replica,
			What:      "whole lists to all nodes at once",
			Unit:      "s",
			Command:   "entries",
			Mechanism: "one encoded answer for all who need it, by three replicas",
			Next:      "nothing paces those who come at once",
			budget:    func(p Plan) float64 { return p.Assumed.Start },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, on, err := m.figureAt("entries", "entries", "whole_bytes", p.Plan.Backends, nil)
				return v * p.Plan.Nodes / p.Assumed.Replicas / p.Assumed.MachineBytes, on, err
			},
		},
		{Role: replica, What: "in force: the last of its watchers", Unit: "s", Command: "watchers",
			Mechanism: "held watches", Next: "the node's own time for the change comes to it",
			budget: func(p Plan) float64 { return p.Plan.InForce },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("watchers", "watchers", "last_worst_s", p.Plan.Nodes/p.Assumed.Replicas, nil)
			}},
		{
			Role:      replica,
			What:      "descriptors",
			Unit:      "descriptors",
			Command:   "watchers",
			Mechanism: "one for each watcher and caller",
			Next:      "the limit of the process, which its machine sets",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("watchers", "watchers", "descriptors", p.Plan.Nodes/p.Assumed.Replicas, nil)
			},
		},
		constantLine(
			replica,
			"entries",
			"entries",
			"entries",
			func(p Plan) float64 { return p.Plan.Backends },
			"the list",
			"registrations are refused",
		),
		constantLine(
			replica,
			"held calls",
			"calls",
			"held_calls",
			func(p Plan) float64 { return 3 * p.Plan.Nodes / p.Assumed.Replicas },
			"three watches a node: list, policy, catalogue",
			"watches are refused with 429",
		),
		constantLine(
			replica,
			"sessions",
			"sessions",
			"sessions",
			func(p Plan) float64 { return p.Plan.Nodes },
			"a session for each node with tenants or shares",
			"opening is refused",
		),
		constantLine(
			replica,
			"records",
			"records",
			"records",
			func(p Plan) float64 { return p.Plan.Tenants },
			"a record for each tenant, and the agents' own",
			"writes are refused as full",
		),
	}
}

// Lines are all costs on the page.
func Lines() []Line {
	all := append(nodeLines(), listLines()...)
	return append(all, otherLines()...)
}

// errNotRun is the error of a figure that was not measured.
var errNotRun = errors.New("not run")

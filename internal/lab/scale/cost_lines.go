package scale

import (
	"errors"
)

// CostLine is a line of the table of costs: one cost of a role of process, with its bound.
type CostLine struct {
	Role, Name, Unit string
	// Command is the subcommand that measures the cost; empty: the cost follows from the plan's numbers alone.
	Command    string
	Mechanism  string               // mechanism that causes the cost
	FailsFirst string               // what fails first if the cost exceeds the bound
	limit      string               // name of the constant that bounds the cost; empty: no constant does
	budget     func(p Plan) float64 // budget that bounds the cost if limit is empty; nil: no bound is stated
	cost       func(m labelRecords, p Plan) (value float64, g grounds, err error)
}

// bound returns the bound of the cost; 0 if none is stated.
func (l CostLine) bound(m labelRecords, p Plan) (float64, error) {
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

// labelRecords holds the records of one label, by the name of their measurement.
type labelRecords struct {
	label  string
	byName map[string]Record
}

// figureAt returns a figure at the size n of the kind sizeName. It takes the value from a fit over the points
// whose other sizes equal otherSizes.
func (m labelRecords) figureAt(
	measurement, sizeName, figure string,
	n float64,
	otherSizes map[string]int,
) (value float64, g grounds, err error) {
	r, has := m.byName[measurement]
	if !has {
		return 0, grounds{}, errNotRun
	}
	f, err := fitOf(r, sizeName, figure, otherSizes)
	if err != nil {
		return 0, grounds{}, err
	}
	return f.Cost(n), grounds{f.Extrapolation(n), f.Residual}, nil
}

// measuredAt200Backends returns the measured median of a figure at ten nodes and 200 backends.
func (m labelRecords) measuredAt200Backends(measurement, figure string) (float64, grounds, error) {
	for _, p := range m.byName[measurement].Points {
		if p.Sizes["nodes"] == tenNodes["nodes"] && p.Sizes["backends"] == 200 {
			return p.Figures[figure].Median, grounds{}, nil
		}
	}
	return 0, grounds{}, errNotRun
}

// costSum is a sum of costs, each multiplied by how often it occurs. It keeps the weakest grounds and the
// first error of its costs.
type costSum struct {
	sum     float64
	grounds grounds
	err     error
}

// add returns a function that adds a cost, multiplied by times, to the sum. Its parameters are the results of
// figureAt.
func (t *costSum) add(times float64) func(value float64, g grounds, err error) {
	return func(value float64, g grounds, err error) {
		t.sum, t.grounds = t.sum+times*value, grounds{
			max(t.grounds.extrapolation, g.extrapolation), max(t.grounds.residual, g.residual),
		}
		if t.err == nil {
			t.err = err
		}
	}
}

func (t *costSum) total() (float64, grounds, error) { return t.sum, t.grounds, t.err }

// constantBoundLine returns the line of a number of the plan that a constant of the program bounds.
func constantBoundLine(
	role, name, unit, limit string, number func(Plan) float64, mechanism, failsFirst string) CostLine {
	return CostLine{Role: role, Name: name, Unit: unit, Mechanism: mechanism, FailsFirst: failsFirst,
		limit: limit,
		cost:  func(_ labelRecords, p Plan) (float64, grounds, error) { return number(p), grounds{}, nil }}
}

// Sizes that select points: those of ten nodes, and those of 4,300 nodes with one rule of placement.
var (
	tenNodes              = map[string]int{"nodes": 10}
	planNodesOnePlacement = map[string]int{"nodes": 4300, "placements": 1}
)

// nodeCores returns a node's processor time for control at the peak: its use at rest, and its use for
// changes.
func nodeCores(m labelRecords, p Plan) (float64, grounds, error) {
	t := &costSum{}
	t.add(1)(m.figureAt("real", "backends", "rest_cores", p.Demand.Backends, tenNodes))
	t.add(p.listChangeRate())(m.figureAt("real", "backends", "change_cpu_s", p.Demand.Backends, tenNodes))
	return t.total()
}

// nodeMemory returns the memory of a hollow node, plus the difference between a real node, which has its own
// process, and a hollow node. The difference is taken at 200 backends, as at more backends a real node's
// memory limit hides how much memory it would use.
func nodeMemory(m labelRecords, p Plan) (float64, grounds, error) {
	t := &costSum{}
	t.add(1)(m.figureAt("hollow", "backends", "memory_bytes", p.Demand.Backends, tenNodes))
	t.add(1)(m.measuredAt200Backends("real", "memory_bytes"))
	t.add(-1)(m.measuredAt200Backends("hollow", "memory_bytes"))
	return t.total()
}

// nodeBytes returns the bytes that a node sends and receives for control in a second, at the peak.
func nodeBytes(m labelRecords, p Plan) (float64, grounds, error) {
	t := &costSum{}
	for _, direction := range []string{"in", "out"} {
		t.add(
			p.listChangeRate(),
		)(
			m.figureAt("watchers", "watchers", "watcher_change_bytes_"+direction,
				p.Demand.Nodes/p.Assumed.Replicas, nil),
		)
		t.add(1)(
			m.figureAt("watchers", "watchers", "watcher_rest_bytes_"+direction,
				p.Demand.Nodes/p.Assumed.Replicas, nil),
		)
	}
	t.add(2)(m.figureAt("view", "members", "datagram_bytes_per_s", p.Demand.Nodes, nil))
	return t.total()
}

// nodeLines returns the costs of a node.
func nodeLines() []CostLine {
	return []CostLine{
		{
			Role:       "node",
			Name:       "processor at the peak, each change taken alone",
			Unit:       "cores",
			Command:    "nodes --kind real",
			Mechanism:  "one module, one list client, a kept list written whole at each change",
			FailsFirst: "the tick and each change walk all backends",
			budget:     func(p Plan) float64 { return p.Demand.NodeCores },
			cost:       nodeCores,
		},
		{Role: "node", Name: "memory, without a limit of its own", Unit: "bytes", Command: "nodes --kind hollow",
			Mechanism:  "module, list client, pools",
			FailsFirst: "every backend is held three times: client, module, pool",
			budget:     func(p Plan) float64 { return p.Demand.NodeMemory }, cost: nodeMemory},
		{Role: "node", Name: "bytes a second at the peak", Unit: "bytes/s", Command: "watchers, view",
			Mechanism: "held watches, datagrams of the view", FailsFirst: "changes of all backends go to all nodes",
			budget: func(p Plan) float64 { return p.Demand.NodeBytes }, cost: nodeBytes},
		{Role: "node", Name: "whole list, at its bytes a second", Unit: "s", Command: "entries",
			Mechanism: "one answer with every entry", FailsFirst: "a node that starts without a kept list",
			budget: func(p Plan) float64 { return p.Assumed.StartTime },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, g, err := m.figureAt("entries", "entries", "whole_bytes", p.Demand.Backends, nil)
				return v / p.Demand.NodeBytes, g, err
			}},
		{
			Role:       "node",
			Name:       "a zone's backends gone: from the last write until ten nodes know",
			Unit:       "s",
			Command:    "nodes --zone",
			Mechanism:  "changes of one answer are taken together",
			FailsFirst: "the kept list is written before the next answer is asked for",
			budget:     func(p Plan) float64 { return p.Demand.InForce },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("zone", "backends", "settled_s", p.Demand.Backends, tenNodes)
			},
		},
		{
			Role:       "node",
			Name:       "kept list written at the peak",
			Unit:       "bytes/s",
			Command:    "nodes --kind hollow",
			Mechanism:  "the whole list to disk, with fsync, at each change",
			FailsFirst: "no budget is stated for a node's disk",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, g, err := m.figureAt("hollow", "backends", "change_bytes_out", p.Demand.Backends, tenNodes)
				return v * p.listChangeRate(), g, err
			},
		},
		{
			Role:       "node",
			Name:       "descriptors for control",
			Unit:       "descriptors",
			Command:    "nodes --kind real",
			Mechanism:  "listeners, the watch, the view's socket",
			FailsFirst: "clients and servers take the rest",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("real", "backends", "descriptors", p.Demand.Backends, tenNodes)
			},
		},
		{
			Role:       "node",
			Name:       "datagrams of the view a second, out",
			Unit:       "datagrams/s",
			Command:    "view",
			Mechanism:  "a probe a period, news on probes",
			FailsFirst: "its rate is the same at all sizes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("view", "members", "datagrams_per_s", p.Demand.Nodes, nil)
			},
		},
		{
			Role:       "node",
			Name:       "halves that were apart 30 s have one view",
			Unit:       "s",
			Command:    "view",
			Mechanism:  "each learns of half of the fleet at a bounded pace",
			FailsFirst: "its time goes with the fleet",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("view", "members", "heal_s", p.Demand.Nodes, nil)
			},
		},
		constantBoundLine(
			"node",
			"members of the view",
			"members",
			"members",
			func(p Plan) float64 { return p.Demand.Nodes },
			"every node knows every node",
			"strangers beyond are refused",
		),
		{
			Role:       "node",
			Name:       "answer of the platform's discovery",
			Unit:       "bytes",
			Command:    "constants",
			Mechanism:  "one answer with every entry, parts or not",
			FailsFirst: "the answer is refused, the node keeps the list of before",
			limit:      "platform_list_bytes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				r, has := m.byName["constants"]
				if !has {
					return 0, grounds{}, errNotRun
				}
				return r.Points[0].Figures["entry_bytes"].Median * p.Demand.Backends, grounds{}, nil
			},
		},
	}
}

// listCores returns the processor time of the leading replica at the peak, including the renewals, which the
// leader handles.
func listCores(m labelRecords, p Plan) (float64, grounds, error) {
	t := &costSum{}
	watchersPerReplica := p.Demand.Nodes / p.Assumed.Replicas
	t.add(1)(m.figureAt("watchers", "watchers", "rest_cores", watchersPerReplica, nil))
	t.add(p.listChangeRate())(m.figureAt("watchers", "watchers", "change_cpu_s", watchersPerReplica, nil))
	t.add(1)(m.figureAt("renewals", "renewals", "cores", p.renewalRate(), nil))
	return t.total()
}

// listLines returns the costs of a replica of the registry.
func listLines() []CostLine {
	replica := "list replica"
	machineCores := func(p Plan) float64 { return p.Assumed.MachineCores }
	return []CostLine{
		{
			Role:       replica,
			Name:       "processor at the peak, the leader's",
			Unit:       "cores",
			Command:    "watchers, renewals",
			Mechanism:  "answers made once for all, watchers woken in batches, renewals out of the log",
			FailsFirst: "renewals, one call for each backend",
			budget:     machineCores,
			cost:       listCores,
		},
		{Role: replica, Name: "bytes out at the peak", Unit: "bytes/s", Command: "watchers",
			Mechanism: "a third of the nodes watch each replica", FailsFirst: "each change goes to every node",
			budget: func(p Plan) float64 { return p.Assumed.MachineBytes },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				t := &costSum{}
				t.add(p.listChangeRate())(
					m.figureAt("watchers", "watchers", "change_bytes", p.Demand.Nodes/p.Assumed.Replicas, nil),
				)
				t.add(1)(m.figureAt("watchers", "watchers", "rest_bytes_out", p.Demand.Nodes/p.Assumed.Replicas, nil))
				return t.total()
			}},
		{
			Role:       replica,
			Name:       "memory",
			Unit:       "bytes",
			Command:    "entries, watchers",
			Mechanism:  "entries, ring of changes, held calls",
			FailsFirst: "answers for watchers that stand at many versions",
			budget:     func(p Plan) float64 { return p.Assumed.MachineMemory },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				t := &costSum{}
				t.add(1)(m.figureAt("entries", "entries", "memory_bytes", p.Demand.Backends, nil))
				t.add(1)(m.figureAt("watchers", "watchers", "memory_bytes", p.Demand.Nodes/p.Assumed.Replicas, nil))
				return t.total()
			},
		},
		{
			Role:       replica,
			Name:       "whole lists to all nodes at once",
			Unit:       "s",
			Command:    "entries",
			Mechanism:  "one encoded answer for all who need it, by three replicas",
			FailsFirst: "nothing paces those who come at once",
			budget:     func(p Plan) float64 { return p.Assumed.StartTime },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, g, err := m.figureAt("entries", "entries", "whole_bytes", p.Demand.Backends, nil)
				return v * p.Demand.Nodes / p.Assumed.Replicas / p.Assumed.MachineBytes, g, err
			},
		},
		{Role: replica, Name: "in force: the last of its watchers", Unit: "s", Command: "watchers",
			Mechanism: "held watches", FailsFirst: "the node's own time for the change comes to it",
			budget: func(p Plan) float64 { return p.Demand.InForce },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("watchers", "watchers", "last_worst_s", p.Demand.Nodes/p.Assumed.Replicas, nil)
			}},
		{
			Role:       replica,
			Name:       "descriptors",
			Unit:       "descriptors",
			Command:    "watchers",
			Mechanism:  "one for each watcher and caller",
			FailsFirst: "the limit of the process, which its machine sets",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("watchers", "watchers", "descriptors", p.Demand.Nodes/p.Assumed.Replicas, nil)
			},
		},
		constantBoundLine(
			replica,
			"entries",
			"entries",
			"entries",
			func(p Plan) float64 { return p.Demand.Backends },
			"the list",
			"registrations are refused",
		),
		constantBoundLine(
			replica,
			"held calls",
			"calls",
			"held_calls",
			func(p Plan) float64 { return 3 * p.Demand.Nodes / p.Assumed.Replicas },
			"three watches a node: list, policy, catalogue",
			"watches are refused with 429",
		),
		constantBoundLine(
			replica,
			"sessions",
			"sessions",
			"sessions",
			func(p Plan) float64 { return p.Demand.Nodes },
			"a session for each node with tenants or shares",
			"opening is refused",
		),
		constantBoundLine(
			replica,
			"records",
			"records",
			"records",
			func(p Plan) float64 { return p.Demand.Tenants },
			"a record for each tenant, and the agents' own",
			"writes are refused as full",
		),
	}
}

// CostLines returns all costs on the page.
func CostLines() []CostLine {
	all := append(nodeLines(), listLines()...)
	return append(all, controlPlaneLines()...)
}

// errNotRun is the error of a figure whose measurement was not run.
var errNotRun = errors.New("not run")

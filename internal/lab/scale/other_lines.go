package scale

// tenantFigure is a figure of a node's cache of tenants: of a cache that reads tenants on demand, if that
// was measured.
func (m labelRecords) tenantFigure(whole, onDemand string, tenants float64) (float64, grounds, error) {
	if _, played := m.byName["tenants-demand"]; played {
		return m.figureAt("tenants-demand", "tenants", onDemand, tenants, nil)
	}
	return m.figureAt("tenants", "tenants", whole, tenants, nil)
}

// otherLines are the costs of tenants, of the holder of shares, of the operator's command and of agents.
func otherLines() []Line {
	cacheRole := "node's desk of tenants"
	return []Line{
		{
			Role:      cacheRole,
			What:      "memory",
			Unit:      "bytes",
			Command:   "tenants",
			Mechanism: "the whole catalogue, compiled; after, what its requests name of a hash tree",
			Next:      "bounds of what is held",
			budget:    func(p Plan) float64 { return p.Plan.NodeMemory },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.tenantFigure("memory_bytes", "memory_bytes", p.Plan.Tenants)
			},
		},
		{
			Role:      cacheRole,
			What:      "catalogue at a start, at its bytes a second",
			Unit:      "s",
			Command:   "tenants",
			Mechanism: "all pages by digest; after, the head, and leaves on demand",
			Next:      "leaves read on demand are paced at 4 a second",
			budget:    func(p Plan) float64 { return p.Assumed.Start },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, on, err := m.tenantFigure("catalogue_bytes", "start_bytes", p.Plan.Tenants)
				return v / p.Plan.NodeBytes, on, err
			},
		},
		{
			Role:      cacheRole,
			What:      "processor for changes of tenants at the peak",
			Unit:      "cores",
			Command:   "tenants",
			Mechanism: "the catalogue is compiled whole at each change; after, the parts that differ",
			Next:      "17,000 changes a day, were all of them tenants'",
			budget:    func(p Plan) float64 { return p.Plan.NodeCores },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, on, err := m.tenantFigure("change_s", "change_s", p.Plan.Tenants)
				return v * p.Assumed.Peak * p.Plan.Changes / secondsPerDay, on, err
			},
		},
		{
			Role:      "list replica",
			What:      "bytes of records, the catalogue's pages alone",
			Unit:      "bytes",
			Command:   "tenants",
			Mechanism: "a backup comes back in one command of the log",
			Next:      "writes are refused as full",
			limit:     "record_bytes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("tenants", "tenants", "catalogue_bytes", p.Plan.Tenants, nil)
			},
		},
		constantLine(
			"tenants' conductor",
			"tenants",
			"tenants",
			"tenants",
			func(p Plan) float64 { return p.Plan.Tenants },
			"one machine, one book",
			"orders are refused",
		),
		constantLine(
			"tenants' conductor",
			"members enrolled",
			"nodes",
			"enrolled",
			func(p Plan) float64 { return p.Plan.Nodes },
			"a barrier over all nodes",
			"nodes beyond are not enrolled",
		),
		{
			Role:      "holder of shares",
			What:      "processor, one limit that all nodes want",
			Unit:      "cores",
			Command:   "holders",
			Mechanism: "a claim a node and 200 ms, in the pure core",
			Next:      "each further busy limit, in each claim",
			budget:    func(p Plan) float64 { return p.Assumed.MachineCores },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("holders", "nodes", "holder_cores", p.Plan.Nodes, nil)
			},
		},
		{
			Role:      "holder of shares",
			What:      "bytes in a second, of one such limit",
			Unit:      "bytes/s",
			Command:   "holders",
			Mechanism: "as above",
			Next:      "as above",
			budget:    func(p Plan) float64 { return p.Assumed.MachineBytes },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("holders", "nodes", "holder_bytes_in", p.Plan.Nodes, nil)
			},
		},
		constantLine(
			"holder of shares",
			"nodes with seats",
			"nodes",
			"seats",
			func(p Plan) float64 { return p.Plan.Nodes },
			"a seat for each node and limit",
			"nodes beyond go by safe shares",
		),
		{
			Role:      "operator's command",
			What:      "a policy's text",
			Unit:      "bytes",
			Command:   "policy",
			Mechanism: "one text, compiled at the operator's",
			Next:      "a text is refused",
			limit:     "policy_bytes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("policy", "books", "text_bytes", p.Plan.Tenants, nil)
			},
		},
		{
			Role:      "agent",
			What:      "calls a second of one that keeps 20 servers",
			Unit:      "calls/s",
			Mechanism: "a renewal for each server",
			Next:      "the leader's renewals",
			cost: func(_ labelRecords, p Plan) (float64, grounds, error) {
				return 20 * 3 / p.Assumed.TTL, grounds{}, nil
			},
		},
	}
}

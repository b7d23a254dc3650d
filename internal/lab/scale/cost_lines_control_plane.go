package scale

// tenantFigure returns a figure of a node's cache of tenants: onDemandFigure of a cache that reads tenants on
// demand, if that was measured, otherwise wholeFigure of a cache of the whole catalogue.
func (m labelRecords) tenantFigure(
	wholeFigure, onDemandFigure string, tenants float64) (float64, grounds, error) {
	if _, measured := m.byName["tenants-demand"]; measured {
		return m.figureAt("tenants-demand", "tenants", onDemandFigure, tenants, nil)
	}
	return m.figureAt("tenants", "tenants", wholeFigure, tenants, nil)
}

// controlPlaneLines returns the costs of tenants, of the quota allocator, of the operator's command and of
// agents.
func controlPlaneLines() []CostLine {
	cacheRole := "node's desk of tenants"
	return []CostLine{
		{
			Role:       cacheRole,
			Name:       "memory",
			Unit:       "bytes",
			Command:    "tenants",
			Mechanism:  "the whole catalogue, compiled; after, what its requests name of a hash tree",
			FailsFirst: "bounds of what is held",
			budget:     func(p Plan) float64 { return p.Demand.NodeMemory },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.tenantFigure("memory_bytes", "memory_bytes", p.Demand.Tenants)
			},
		},
		{
			Role:       cacheRole,
			Name:       "catalogue at a start, at its bytes a second",
			Unit:       "s",
			Command:    "tenants",
			Mechanism:  "all pages by digest; after, the head, and leaves on demand",
			FailsFirst: "leaves read on demand are paced at 4 a second",
			budget:     func(p Plan) float64 { return p.Assumed.StartTime },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, g, err := m.tenantFigure("catalogue_bytes", "start_bytes", p.Demand.Tenants)
				return v / p.Demand.NodeBytes, g, err
			},
		},
		{
			Role:       cacheRole,
			Name:       "processor for changes of tenants at the peak",
			Unit:       "cores",
			Command:    "tenants",
			Mechanism:  "the catalogue is compiled whole at each change; after, the parts that differ",
			FailsFirst: "17,000 changes a day, were all of them tenants'",
			budget:     func(p Plan) float64 { return p.Demand.NodeCores },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				v, g, err := m.tenantFigure("change_s", "change_s", p.Demand.Tenants)
				return v * p.Assumed.PeakFactor * p.Demand.Changes / secondsPerDay, g, err
			},
		},
		{
			Role:       "list replica",
			Name:       "bytes of records, the catalogue's pages alone",
			Unit:       "bytes",
			Command:    "tenants",
			Mechanism:  "a backup comes back in one command of the log",
			FailsFirst: "writes are refused as full",
			limit:      "record_bytes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("tenants", "tenants", "catalogue_bytes", p.Demand.Tenants, nil)
			},
		},
		constantBoundLine(
			"tenants' conductor",
			"tenants",
			"tenants",
			"tenants",
			func(p Plan) float64 { return p.Demand.Tenants },
			"one machine, one book",
			"orders are refused",
		),
		constantBoundLine(
			"tenants' conductor",
			"members enrolled",
			"nodes",
			"enrolled",
			func(p Plan) float64 { return p.Demand.Nodes },
			"a barrier over all nodes",
			"nodes beyond are not enrolled",
		),
		{
			Role:       "holder of shares",
			Name:       "processor, one limit that all nodes want",
			Unit:       "cores",
			Command:    "holders",
			Mechanism:  "a claim a node and 200 ms, in the pure core",
			FailsFirst: "each further busy limit, in each claim",
			budget:     func(p Plan) float64 { return p.Assumed.MachineCores },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("holders", "nodes", "holder_cores", p.Demand.Nodes, nil)
			},
		},
		{
			Role:       "holder of shares",
			Name:       "bytes in a second, of one such limit",
			Unit:       "bytes/s",
			Command:    "holders",
			Mechanism:  "as above",
			FailsFirst: "as above",
			budget:     func(p Plan) float64 { return p.Assumed.MachineBytes },
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("holders", "nodes", "holder_bytes_in", p.Demand.Nodes, nil)
			},
		},
		constantBoundLine(
			"holder of shares",
			"nodes with seats",
			"nodes",
			"seats",
			func(p Plan) float64 { return p.Demand.Nodes },
			"a seat for each node and limit",
			"nodes beyond go by safe shares",
		),
		{
			Role:       "operator's command",
			Name:       "a policy's text",
			Unit:       "bytes",
			Command:    "policy",
			Mechanism:  "one text, compiled at the operator's",
			FailsFirst: "a text is refused",
			limit:      "policy_bytes",
			cost: func(m labelRecords, p Plan) (float64, grounds, error) {
				return m.figureAt("policy", "books", "text_bytes", p.Demand.Tenants, nil)
			},
		},
		{
			Role:       "agent",
			Name:       "calls a second of one that keeps 20 servers",
			Unit:       "calls/s",
			Mechanism:  "a renewal for each server",
			FailsFirst: "the leader's renewals",
			cost: func(_ labelRecords, p Plan) (float64, grounds, error) {
				return 20 * 3 / p.Assumed.TTL, grounds{}, nil
			},
		},
	}
}

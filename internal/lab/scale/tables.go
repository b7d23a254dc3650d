package scale

import (
	"fmt"
	"strings"
)

// assumptionsTable returns the table of the plan's assumptions, each with its effect.
func assumptionsTable(data pageData) (string, error) {
	p, a := data.plan.Demand, data.plan.Assumed
	return markdownTable([]string{"assumed", "its effect"}, [][]string{
		{
			fmt.Sprintf("the peak of changes is %s times the day's mean", formatNumber(a.PeakFactor)),
			fmt.Sprintf(
				"%s changes of the list a second; twice the peak is twice all that is by change",
				formatNumber(data.plan.listChangeRate()),
			),
		},
		{
			fmt.Sprintf(
				"a restart is %s changes of the list, beside the changes of configuration",
				formatNumber(a.RestartChanges),
			),
			fmt.Sprintf(
				"%s of the day's %s changes",
				formatNumber(a.RestartChanges*p.Restarts),
				formatNumber(p.Changes+a.RestartChanges*p.Restarts),
			),
		},
		{
			fmt.Sprintf(
				"an entry's TTL is %s s, its agent renews it three times in it, one server a call",
				formatNumber(a.TTL),
			),
			fmt.Sprintf("%s renewals a second at the leader", formatNumber(data.plan.renewalRate())),
		},
		{
			fmt.Sprintf(
				"a node that starts without what was kept has %s s for a whole list, and as long for a whole catalogue",
				formatNumber(a.StartTime),
			),
			"twice the time is twice the f of those two walls; one that kept them reads changes",
		},
		{
			fmt.Sprintf("watchers are spread evenly over %s replicas", formatNumber(a.Replicas)),
			fmt.Sprintf("%s nodes at each; with one lost, half as many again", formatNumber(p.Nodes/a.Replicas)),
		},
		{
			fmt.Sprintf(
				"a control machine has %s cores, %s and %s a second",
				formatNumber(a.MachineCores),
				formatFigure(a.MachineMemory, "bytes"),
				formatFigure(a.MachineBytes, "bytes"),
			),
			"the budget of replicas, conductors and holders",
		},
		{
			"requests come evenly to all nodes",
			fmt.Sprintf("%s a second at a node at the peak", formatNumber(p.Requests/p.Nodes)),
		},
		{
			"every node has every service, route and tenant",
			"a node's part of them is all of them; services were not measured by themselves, rules of placement were",
		},
		{
			fmt.Sprintf(
				"all %d zones have the same part of nodes and backends, all in one list over both regions",
				p.Zones,
			),
			fmt.Sprintf(
				"a zone is %s nodes and %s backends",
				formatNumber(p.Nodes/float64(p.Zones)),
				formatNumber(p.Backends/float64(p.Zones)),
			),
		},
		{
			fmt.Sprintf(
				"a rack has %s nodes and %s backends", formatNumber(a.RackNodes), formatNumber(a.RackBackends)),
			"the first row of the faults",
		},
	}), nil
}

// costsTable returns the table of all costs, with their bounds and the mechanisms that cause them.
func costsTable(data pageData) (string, error) {
	var rows [][]string
	for _, l := range CostLines() {
		bound := "none stated"
		before, after := l.cell(data.before, data.plan), l.cell(data.after, data.plan)
		if before.bound > 0 {
			bound = formatFigure(before.bound, l.Unit)
		}
		if l.limit != "" {
			bound += ", a constant"
		}
		if after.bound > 0 && before.bound > 0 && after.bound != before.bound {
			bound += "; after: " + formatFigure(after.bound, l.Unit)
		}
		rows = append(rows, []string{l.Role, l.Name, bound, l.formatCell(before), l.formatCell(after),
			l.Mechanism, l.FailsFirst})
	}
	return markdownTable(
		[]string{
			"role",
			"cost at the plan's size",
			"budget",
			"before",
			"after",
			"what carries it",
			"what gives first",
		},
		rows,
	), nil
}

// formatCell formats a cost with its share of the bound and its grounds.
func (l CostLine) formatCell(c cell) string {
	switch {
	case c.notRun():
		return notRun
	case c.err != nil:
		return "not known: " + c.err.Error()
	}
	text := formatFigure(c.value, l.Unit)
	if c.bound > 0 {
		text += ", " + formatPercent(c.value/c.bound)
	}
	if l.Command == "" {
		return text + " (the plan's number)"
	}
	return text + " (" + c.grounds.String() + ")"
}

// boundsTable returns the table of the bounds that costs reach between today's size and the plan's. A line
// before the table states both sizes.
func boundsTable(data pageData) (string, error) {
	var rows [][]string
	text := fmt.Sprintf(
		"f = 1 is the plan. Today's %s backends and %s nodes are f = %s and %s; the way begins at the lower.\n\n",
		formatNumber(
			data.plan.Today.Backends,
		),
		formatNumber(data.plan.Today.Nodes),
		formatNumber(data.plan.Today.Backends/data.plan.Demand.Backends),
		formatNumber(data.plan.Today.Nodes/data.plan.Demand.Nodes),
	)
	for _, m := range []labelRecords{data.before, data.after} {
		if len(m.byName) == 0 {
			rows = append(rows, []string{m.label, "", notRun, "", "", ""})
			continue
		}
		reached, unknown := reachedBounds(m, data.plan)
		for _, r := range reached {
			factor, kind := formatNumber(r.planFactor), "a budget"
			if r.planFactor == 0 {
				factor = "met at the beginning"
			}
			if r.limit != "" {
				kind = "a constant"
			}
			basis := r.grounds.String()
			if r.Command == "" {
				basis = "the plan's number"
			}
			rows = append(
				rows,
				[]string{
					m.label,
					factor,
					r.Role + ": " + r.Name,
					kind + ": " + formatFigure(r.bound, r.Unit),
					formatFigure(r.fullCost, r.Unit),
					basis,
				},
			)
		}
		var names []string
		for _, l := range unknown {
			names = append(names, l.Role+": "+l.Name)
		}
		if len(names) > 0 {
			rows = append(rows, []string{m.label, notRun, strings.Join(names, "; "), "", "", ""})
		}
	}
	return text + markdownTable(
		[]string{"program", "f", "limit", "what it is", "at f = 1", "rests, at that f, on"},
		rows,
	), nil
}

// slopesTable returns the table of all fits from which the costs are computed.
func slopesTable(data pageData) (string, error) {
	var rows [][]string
	for _, k := range []struct {
		measurement, sizeName string
		otherSizes            map[string]int
		figures               []string
	}{
		{"module", "backends", planNodesOnePlacement,
			[]string{"rest_cores", "change_s", "whole_s", "memory_bytes"}},
		{"module", "nodes", map[string]int{"backends": 54000, "placements": 1},
			[]string{"rest_cores", "change_s"}},
		{"module", "placements", map[string]int{"backends": 2000, "nodes": 300},
			[]string{"rest_cores", "change_s", "memory_bytes"}},
		{"real", "backends", tenNodes, []string{"rest_cores", "change_cpu_s", "memory_bytes"}},
		{"hollow", "backends", tenNodes,
			[]string{"rest_cores", "change_cpu_s", "change_bytes_out", "memory_bytes"}},
		{"watchers", "watchers", nil, []string{
			"rest_cores", "change_cpu_s", "change_bytes", "memory_bytes",
			"most99_s", "last_worst_s", "watcher_change_bytes_in", "watcher_change_bytes_out",
		}},
		{"entries", "entries", nil, []string{"change_cpu_s", "whole_bytes", "whole_cpu_s", "memory_bytes"}},
		{"renewals", "renewals", nil, []string{"cores"}},
		{"view", "members", nil,
			[]string{"datagrams_per_s", "datagram_bytes_per_s", "all_joined_s", "one_dies_s", "heal_s"}},
		{"zone", "backends", tenNodes, []string{"settled_s", "node_cpu_s", "node_bytes_in"}},
		{"apart", "members", nil, []string{"heal_s"}},
		{"holders", "nodes", nil,
			[]string{"holder_cores", "holder_peak_cores", "holder_bytes_in", "holder_bytes_out"}},
		{"tenants", "tenants", nil, []string{"catalogue_bytes", "change_s", "memory_bytes"}},
		{"tenants-demand", "tenants", nil,
			[]string{"start_bytes", "change_bytes", "change_s", "memory_bytes", "conductor_order_s"}},
		{"policy", "books", nil, []string{"text_bytes", "compile_s", "memory_bytes"}},
	} {
		for _, figure := range k.figures {
			row := []string{"`scale " + commandOf(k.measurement) + "`", figure, k.sizeName}
			for _, m := range []labelRecords{data.before, data.after} {
				row = append(row, slopeCell(m, k.measurement, k.sizeName, figure, k.otherSizes))
			}
			rows = append(rows, row)
		}
	}
	return markdownTable([]string{"command", "figure", "by", "before", "after"}, rows), nil
}

// commandOf returns the subcommand, with its flags, that makes the record of a measurement.
func commandOf(measurement string) string {
	switch measurement {
	case "hollow", "real":
		return "nodes --kind " + measurement
	case "zone":
		return "nodes --zone"
	}
	return measurement
}

// slopeCell formats the fit of a figure.
func slopeCell(m labelRecords, measurement, sizeName, figure string, otherSizes map[string]int) string {
	r, has := m.byName[measurement]
	if !has {
		return notRun
	}
	f, err := fitOf(r, sizeName, figure, otherSizes)
	if err != nil {
		return "not known: " + err.Error()
	}
	spread := 0.0
	for _, p := range r.Points {
		if s, has := p.Figures[figure]; has && matches(p, otherSizes) {
			spread = max(spread, (s.Max-s.Min)/s.Median)
		}
	}
	text := fmt.Sprintf("%.3g", f.Intercept)
	if f.growth != nil {
		text += fmt.Sprintf(" + %.3g × %s", f.Slope, f.Form)
	}
	return fmt.Sprintf(
		"%s (%s); residual %s, %d sizes to %s, spread to %s",
		text,
		f.Form,
		formatPercent(f.Residual),
		f.Sizes,
		formatNumber(f.Largest),
		formatPercent(spread),
	)
}

package scale

import "fmt"

// fault is a row of the table of faults: what was measured of the fault, and what the slopes give for it at
// the plan's size.
type fault struct {
	name, played, settled, node, control, slopes, harmed string
}

// notRun marks a figure on the page that was not measured.
const notRun = "not run"

// faultsTable is the table of faults, for the programs before and after.
func faultsTable(s pageData) (string, error) {
	var rows [][]string
	for _, m := range []labelRecords{s.before, s.after} {
		if len(m.byName) == 0 {
			rows = append(rows, []string{"all of them", m.label, notRun, "", "", "", "", ""})
			continue
		}
		for _, f := range m.faultRows(s.plan) {
			rows = append(rows, []string{f.name, m.label, f.played, f.settled, f.node, f.control, f.slopes, f.harmed})
		}
	}
	return markdownTable(
		[]string{
			"fault",
			"program",
			"played",
			"settled after",
			"at a node",
			"at a control machine",
			"at the plan's size, by the slopes",
			"requests harmed",
		},
		rows,
	), nil
}

// faultRows gives the rows of one label.
func (m labelRecords) faultRows(plan Plan) []fault {
	p, a := plan.Plan, plan.Assumed
	removalCost := func(n float64) string { // what n changes of the list cost
		loop, out := &terms{}, &terms{}
		loop.add(n)(m.figureAt("module", "backends", "change_s", p.Backends, nodesOfPlan))
		out.add(n)(m.figureAt("watchers", "watchers", "change_bytes", p.Nodes/a.Replicas, nil))
		if loop.err != nil || out.err != nil {
			return notRun
		}
		return "a node's loop " + formatTotal(
			loop,
			"s",
		) + ", were each change taken alone; out of a replica " + formatTotal(
			out,
			"bytes",
		)
	}
	costAt := func(prefix string, times float64, what, along, figure string, n float64, unit string) string {
		t := &terms{}
		if t.add(times)(m.figureAt(what, along, figure, n, nil)); t.err != nil {
			return notRun
		}
		return prefix + formatTotal(t, unit)
	}
	zone, back := m.largestPoint("zone"), m.largestPoint("zone")
	back.prefix = "back_"
	rack, roll, apart, holders, cold, lost := m.largestPoint(
		"rack",
	), m.largestPoint(
		"roll",
	), m.largestPoint(
		"apart",
	), m.largestPoint(
		"holders",
	), m.largestPoint(
		"cold",
	), m.largestPoint(
		"lost",
	)
	survivor := &terms{}
	survivor.add(1)(m.figureAt("watchers", "watchers", "rest_cores", p.Nodes/(a.Replicas-1), nil))
	survivor.add(plan.listChangeRate())(
		m.figureAt("watchers", "watchers", "change_cpu_s", p.Nodes/(a.Replicas-1), nil),
	)
	return []fault{
		{
			"a rack gone at once",
			rack.sizes(),
			rack.fillIn("list {settled_s} after the leases' end ({ttl_s}), view {view_s} after the kill"),
			rack.atNode(),
			rack.atReplica(),
			removalCost(a.RackBackends),
			m.largestPoint("rack-lost").harmed(),
		},
		{
			"a zone's backends gone",
			zone.sizes(),
			zone.fillIn("{settled_s} after the last of {changes} writes"),
			zone.atNode(),
			zone.atReplica(),
			removalCost(p.Backends / float64(p.Zones)),
			m.largestPoint("zone-lost").harmed(),
		},
		{
			"a zone's backends back",
			back.sizes(),
			back.fillIn("{settled_s} after the last of {changes} writes"),
			back.atNode(),
			back.atReplica(),
			"as gone",
			"in the row above",
		},
		{
			"halves apart for an hour, with deaths and joins on both sides, then together",
			apart.sizes(),
			apart.fillIn("one view after {heal_s}"),
			apart.fillIn("view: {peak_bytes_per_s} sent in the worst second"),
			apart.fillIn(
				"none: a region has its own",
			),
			costAt("one view after ", 1, "apart", "members", "heal_s", p.Nodes, "s"),
			m.largestPoint("fleet-split").harmed(),
		},
		{
			"nodes and backends rolled, by the second",
			roll.sizes(),
			roll.fillIn("{settled_s} after the last of {replaced} replacements"),
			roll.atNode(),
			roll.atReplica(),
			"each second: " + removalCost(a.RestartChanges*(p.Nodes+p.Backends)/3600),
			notRun,
		},
		{
			"everything cold at once",
			cold.sizes(),
			cold.fillIn("a list of {entries}: half {half_s}, the last {last_s}"),
			cold.fillIn("{watcher_cpu_s} of processor in all"),
			cold.fillIn("{replica_cpu_s} of processor, {replica_bytes_out} in all"),
			costAt(
				"the list whole, at a node's bytes a second: ",
				1/p.NodeBytes,
				"entries",
				"entries",
				"whole_bytes",
				p.Backends,
				"s",
			) +
				costAt(
					"; out of a replica ",
					p.Nodes/a.Replicas,
					"entries",
					"entries",
					"whole_bytes",
					p.Backends,
					"bytes",
				),
			notRun,
		},
		{
			"one of three replicas lost, the leader",
			lost.sizes(),
			lost.fillIn(
				"a list of {entries}: written {written_s} after the kill, the last watcher {last_s} after that",
			),
			lost.fillIn("a watch made anew"),
			notRun,
			"each of the others, at the peak: " + formatTotal(survivor, "cores"),
			notRun,
		},
		{
			"the holder of shares lost, another in wait",
			holders.sizes(),
			holders.fillIn(
				"heard by all after {heard_all_s}, the limit used as before after {settled_s}; granted beyond it: {over_burst}",
			),
			holders.fillIn(
				"least used in a second: {used_least:share} of the limit",
			),
			holders.fillIn("{holder_peak_cores}; {holder_bytes_in} in, {holder_bytes_out} out a second"),
			costAt(
				"",
				1,
				"holders",
				"nodes",
				"holder_peak_cores",
				p.Nodes,
				"cores",
			),
			m.largestPoint("quota-holder-kill").harmed(),
		},
		{"the tenants' conductor lost", notRun, notRun, notRun, notRun, notRun, notRun},
	}
}

// formatTotal writes a sum of slopes with its unit and the grounds on which it rests.
func formatTotal(t *terms, unit string) string {
	value, on, err := t.total()
	if err != nil {
		return notRun
	}
	return fmt.Sprintf("%s (%v)", formatFigure(value, unit), on)
}

package scale

import "fmt"

// faultRow is a row of the table of faults: the measured figures of the fault, and its costs at the plan's
// size (atPlan), which fits over the measured sizes give.
type faultRow struct {
	name, sizes, settled, node, replica, atPlan, harmed string
}

// notRun is the text on the page for a figure whose measurement was not run.
const notRun = "not run"

// faultsTable returns the table of faults, for the programs before and after.
func faultsTable(data pageData) (string, error) {
	var rows [][]string
	for _, m := range []labelRecords{data.before, data.after} {
		if len(m.byName) == 0 {
			rows = append(rows, []string{"all of them", m.label, notRun, "", "", "", "", ""})
			continue
		}
		for _, f := range m.faultRows(data.plan) {
			rows = append(rows, []string{f.name, m.label, f.sizes, f.settled, f.node, f.replica, f.atPlan, f.harmed})
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

// faultRows returns the rows of the table of faults for one label.
func (m labelRecords) faultRows(plan Plan) []faultRow {
	p, a := plan.Demand, plan.Assumed
	removalCost := func(n float64) string { // text of the cost of n changes of the list
		nodeTime, replicaBytes := &costSum{}, &costSum{}
		nodeTime.add(n)(m.figureAt("module", "backends", "change_s", p.Backends, planNodesOnePlacement))
		replicaBytes.add(n)(m.figureAt("watchers", "watchers", "change_bytes", p.Nodes/a.Replicas, nil))
		if nodeTime.err != nil || replicaBytes.err != nil {
			return notRun
		}
		return "a node's loop " + formatTotal(
			nodeTime,
			"s",
		) + ", were each change taken alone; out of a replica " + formatTotal(
			replicaBytes,
			"bytes",
		)
	}
	costAt := func(
		prefix string, times float64, measurement, sizeName, figure string, n float64, unit string) string {
		t := &costSum{}
		if t.add(times)(m.figureAt(measurement, sizeName, figure, n, nil)); t.err != nil {
			return notRun
		}
		return prefix + formatTotal(t, unit)
	}
	zone, zoneBack := m.largestPoint("zone"), m.largestPoint("zone")
	zoneBack.prefix = "back_"
	rack, rolling, partition, allocator, coldStart, leaderLoss := m.largestPoint(
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
	survivor := &costSum{}
	survivor.add(1)(m.figureAt("watchers", "watchers", "rest_cores", p.Nodes/(a.Replicas-1), nil))
	survivor.add(plan.listChangeRate())(
		m.figureAt("watchers", "watchers", "change_cpu_s", p.Nodes/(a.Replicas-1), nil),
	)
	return []faultRow{
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
			zoneBack.sizes(),
			zoneBack.fillIn("{settled_s} after the last of {changes} writes"),
			zoneBack.atNode(),
			zoneBack.atReplica(),
			"as gone",
			"in the row above",
		},
		{
			"halves apart for an hour, with deaths and joins on both sides, then together",
			partition.sizes(),
			partition.fillIn("one view after {heal_s}"),
			partition.fillIn("view: {peak_bytes_per_s} sent in the worst second"),
			partition.fillIn(
				"none: a region has its own",
			),
			costAt("one view after ", 1, "apart", "members", "heal_s", p.Nodes, "s"),
			m.largestPoint("fleet-split").harmed(),
		},
		{
			"nodes and backends rolled, by the second",
			rolling.sizes(),
			rolling.fillIn("{settled_s} after the last of {replaced} replacements"),
			rolling.atNode(),
			rolling.atReplica(),
			"each second: " + removalCost(a.RestartChanges*(p.Nodes+p.Backends)/3600),
			notRun,
		},
		{
			"everything cold at once",
			coldStart.sizes(),
			coldStart.fillIn("a list of {entries}: half {half_s}, the last {last_s}"),
			coldStart.fillIn("{watcher_cpu_s} of processor in all"),
			coldStart.fillIn("{replica_cpu_s} of processor, {replica_bytes_out} in all"),
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
			leaderLoss.sizes(),
			leaderLoss.fillIn(
				"a list of {entries}: written {written_s} after the kill, the last watcher {last_s} after that",
			),
			leaderLoss.fillIn("a watch made anew"),
			notRun,
			"each of the others, at the peak: " + formatTotal(survivor, "cores"),
			notRun,
		},
		{
			"the holder of shares lost, another in wait",
			allocator.sizes(),
			allocator.fillIn(
				"heard by all after {heard_all_s}, the limit used as before after {settled_s}; granted beyond it: {over_burst}",
			),
			allocator.fillIn(
				"least used in a second: {used_least:share} of the limit",
			),
			allocator.fillIn("{holder_peak_cores}; {holder_bytes_in} in, {holder_bytes_out} out a second"),
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

// formatTotal formats a sum of costs with its unit and grounds.
func formatTotal(t *costSum, unit string) string {
	value, g, err := t.total()
	if err != nil {
		return notRun
	}
	return fmt.Sprintf("%s (%v)", formatFigure(value, unit), g)
}

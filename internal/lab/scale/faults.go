package scale

import "fmt"

// fault is a row: what was played of it, and what the slopes make of it at the plan's size.
type fault struct {
	name, played, settled, node, control, slopes, harmed string
}

const notRun = "not run"

// faults are those that the page is asked for.
func faults(s sheet) (string, error) {
	var rows [][]string
	for _, m := range []measured{s.before, s.after} {
		if len(m.of) == 0 {
			rows = append(rows, []string{"all of them", m.label, notRun, "", "", "", "", ""})
			continue
		}
		for _, f := range m.faults(s.plan) {
			rows = append(rows, []string{f.name, m.label, f.played, f.settled, f.node, f.control, f.slopes, f.harmed})
		}
	}
	return table(
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

// faults are rows of one label.
func (m measured) faults(plan Plan) []fault {
	p, a := plan.Plan, plan.Assumed
	gone := func(n float64) string { // so many changes of the list
		loop, out := &terms{}, &terms{}
		loop.add(n)(m.at("module", "backends", "change_s", p.Backends, nodesOfPlan))
		out.add(n)(m.at("watchers", "watchers", "change_bytes", p.Nodes/a.Replicas, nil))
		if loop.err != nil || out.err != nil {
			return notRun
		}
		return "a node's loop " + worked(
			loop,
			"s",
		) + ", were each change taken alone; out of a replica " + worked(
			out,
			"bytes",
		)
	}
	one := func(prefix string, times float64, what, along, figure string, n float64, unit string) string {
		t := &terms{}
		if t.add(times)(m.at(what, along, figure, n, nil)); t.err != nil {
			return notRun
		}
		return prefix + worked(t, unit)
	}
	zone, back := m.play("zone"), m.play("zone")
	back.prefix = "back_"
	rack, roll, apart, holders, cold, lost := m.play(
		"rack",
	), m.play(
		"roll",
	), m.play(
		"apart",
	), m.play(
		"holders",
	), m.play(
		"cold",
	), m.play(
		"lost",
	)
	left := &terms{}
	left.add(1)(m.at("watchers", "watchers", "rest_cores", p.Nodes/(a.Replicas-1), nil))
	left.add(plan.listChanges())(m.at("watchers", "watchers", "change_cpu_s", p.Nodes/(a.Replicas-1), nil))
	return []fault{
		{
			"a rack gone at once",
			rack.sizes(),
			rack.say("list {settled_s} after the leases' end ({ttl_s}), view {view_s} after the kill"),
			rack.atNode(),
			rack.atReplica(),
			gone(a.RackBackends),
			m.play("rack-lost").harmed(),
		},
		{
			"a zone's backends gone",
			zone.sizes(),
			zone.say("{settled_s} after the last of {changes} writes"),
			zone.atNode(),
			zone.atReplica(),
			gone(p.Backends / float64(p.Zones)),
			m.play("zone-lost").harmed(),
		},
		{
			"a zone's backends back",
			back.sizes(),
			back.say("{settled_s} after the last of {changes} writes"),
			back.atNode(),
			back.atReplica(),
			"as gone",
			"in the row above",
		},
		{
			"halves apart for an hour, with deaths and joins on both sides, then together",
			apart.sizes(),
			apart.say("one view after {heal_s}"),
			apart.say("view: {peak_bytes_per_s} sent in the worst second"),
			apart.say(
				"none: a region has its own",
			),
			one("one view after ", 1, "apart", "members", "heal_s", p.Nodes, "s"),
			m.play("fleet-split").harmed(),
		},
		{
			"nodes and backends rolled, by the second",
			roll.sizes(),
			roll.say("{settled_s} after the last of {replaced} replacements"),
			roll.atNode(),
			roll.atReplica(),
			"each second: " + gone(a.RestartChanges*(p.Nodes+p.Backends)/3600),
			notRun,
		},
		{
			"everything cold at once",
			cold.sizes(),
			cold.say("a list of {entries}: half {half_s}, the last {last_s}"),
			cold.say("{watcher_cpu_s} of processor in all"),
			cold.say("{replica_cpu_s} of processor, {replica_bytes_out} in all"),
			one(
				"the list whole, at a node's bytes a second: ",
				1/p.NodeBytes,
				"entries",
				"entries",
				"whole_bytes",
				p.Backends,
				"s",
			) +
				one(
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
			lost.say("a list of {entries}: written {written_s} after the kill, the last watcher {last_s} after that"),
			lost.say("a watch made anew"),
			notRun,
			"each of the others, at the peak: " + worked(left, "cores"),
			notRun,
		},
		{
			"the holder of shares lost, another in wait",
			holders.sizes(),
			holders.say(
				"heard by all after {heard_all_s}, the limit used as before after {settled_s}; granted beyond it: {over_burst}",
			),
			holders.say(
				"least used in a second: {used_least:share} of the limit",
			),
			holders.say("{holder_peak_cores}; {holder_bytes_in} in, {holder_bytes_out} out a second"),
			one(
				"",
				1,
				"holders",
				"nodes",
				"holder_peak_cores",
				p.Nodes,
				"cores",
			),
			m.play("quota-holder-kill").harmed(),
		},
		{"the tenants' conductor lost", notRun, notRun, notRun, notRun, notRun, notRun},
	}
}

// worked is a sum of slopes, and what it rests on.
func worked(t *terms, unit string) string {
	value, on, err := t.total()
	if err != nil {
		return notRun
	}
	return fmt.Sprintf("%s (%v)", shown(value, unit), on)
}

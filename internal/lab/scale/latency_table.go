package scale

import (
	"fmt"
	"strings"
)

// latencyTable is the table of the time that a node adds to a request, and of its parts.
func latencyTable(s pageData) (string, error) {
	var totals, ways [][]string
	for _, r := range s.records("latency") {
		for _, p := range r.Points {
			all := func(name string) string { return p.formatSpread(name, "s") }
			at := []string{
				knownServers(p),
				formatNumber(float64(p.Sizes["servers"])),
				formatNumber(float64(p.Sizes["changes"])),
			}
			share := formatPercent(p.Figures["added_p99_s"].Median / s.plan.Plan.Added)
			totals = append(
				totals,
				append(
					at[:3:3],
					all("direct_added_p50_s"),
					all("direct_added_p99_s"),
					all("added_p50_s"),
					all("added_p99_s")+", "+share,
					all("added_p999_s"),
					all("direct_calm_p99_s"),
					all("calm_p99_s"),
					calmShare(p),
					fmt.Sprintf("%s of %s", p.formatSpread("failed", ""), p.formatSpread("requests", "")),
				),
			)
			ways = append(
				ways,
				append(
					at[:3:3],
					all("direct_in_p50_s"),
					all("direct_out_p50_s"),
					all("in_kept_p50_s"),
					all("in_kept_p99_s"),
					all("in_made_p50_s"),
					formatPercent(p.Figures["made_share"].Median),
					all("out_p50_s"),
					all("out_p99_s"),
					p.formatSpread("attempts", ""),
					all("node_request_cpu_s"),
					all("node_request_wait_s"),
					p.formatSpread("load", ""),
				),
			)
		}
	}
	return markdownTable(
		[]string{
			"known of the list",
			"servers",
			"changes a second",
			"straight to the server: 50%",
			"99%",
			"through the node: 50%",
			"99%, of the budget",
			"99.9%",
			"in calm seconds, straight: 99%",
			"through the node: 99%",
			"calm seconds",
			"refused beside those timed",
		},
		orNotRun(totals, 12),
	) +
		"\nOf which, through the node:\n\n" +
		markdownTable(
			[]string{
				"known of the list",
				"servers",
				"changes a second",
				"straight, in: 50%",
				"out: 50%",
				"through the node, in, on a kept connection: 50%",
				"99%",
				"in, on one just made: 50%",
				"so many of them",
				"out: 50%",
				"99%",
				"attempts a request",
				"node's processor a request",
				"its threads' wait for a core a request",
				"load",
			},
			orNotRun(ways, 15),
		), nil
}

// orNotRun returns rows or, if there are none, a row that says that nothing was run.
func orNotRun(rows [][]string, cells int) [][]string {
	if len(rows) > 0 {
		return rows
	}
	return [][]string{append([]string{notRun}, repeatedString(cells-1, "")...)}
}

// subsetFlag gives, as a size of a point, whether nodes follow only their subsets of the list.
func subsetFlag(parts bool) int {
	if parts {
		return 1
	}
	return 0
}

// calmShare writes the share of calm seconds of a point.
func calmShare(p Point) string {
	if f, has := p.Figures["calm_share"]; has {
		return formatPercent(f.Median)
	}
	return "none"
}

// knownServers says whether the node of a point knows all servers or its subset of them.
func knownServers(p Point) string {
	if p.Sizes["part"] == 1 {
		return "its part"
	}
	return "all"
}

// records are the records of a measurement, one of each program.
func (s pageData) records(what string) (all []Record) {
	for _, m := range []labelRecords{s.before, s.after} {
		if r, has := m.byName[what]; has {
			all = append(all, r)
		}
	}
	return all
}

// formatSpread writes a figure with the least and the most of its repetitions.
func (p Point) formatSpread(name, unit string) string {
	f, has := p.Figures[name]
	if !has {
		return "none"
	}
	one := func(v float64) string { return strings.TrimSpace(formatFigure(v, unit)) }
	if f.Least == f.Most {
		return one(f.Median)
	}
	return fmt.Sprintf("%s (%s to %s)", one(f.Median), one(f.Least), one(f.Most))
}

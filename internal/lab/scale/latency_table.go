package scale

import (
	"fmt"
	"strings"
)

// latencyTable returns the tables of the time that a node adds to a request, and of the parts of that time.
func latencyTable(data pageData) (string, error) {
	var totals, parts [][]string
	for _, r := range data.records("latency") {
		for _, p := range r.Points {
			timeText := func(name string) string { return p.formatSpread(name, "s") }
			sizes := []string{
				knownServers(p),
				formatNumber(float64(p.Sizes["servers"])),
				formatNumber(float64(p.Sizes["changes"])),
			}
			share := formatPercent(p.Figures["added_p99_s"].Median / data.plan.Demand.AddedLatency)
			totals = append(
				totals,
				append(
					sizes[:3:3],
					timeText("direct_added_p50_s"),
					timeText("direct_added_p99_s"),
					timeText("added_p50_s"),
					timeText("added_p99_s")+", "+share,
					timeText("added_p999_s"),
					timeText("direct_calm_p99_s"),
					timeText("calm_p99_s"),
					calmShare(p),
					fmt.Sprintf("%s of %s", p.formatSpread("failed", ""), p.formatSpread("requests", "")),
				),
			)
			parts = append(
				parts,
				append(
					sizes[:3:3],
					timeText("direct_in_p50_s"),
					timeText("direct_out_p50_s"),
					timeText("in_kept_p50_s"),
					timeText("in_kept_p99_s"),
					timeText("in_made_p50_s"),
					formatPercent(p.Figures["made_share"].Median),
					timeText("out_p50_s"),
					timeText("out_p99_s"),
					p.formatSpread("attempts", ""),
					timeText("node_request_cpu_s"),
					timeText("node_request_wait_s"),
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
			orNotRun(parts, 15),
		), nil
}

// orNotRun returns the rows or, if there are none, a row that says that the measurement was not run.
func orNotRun(rows [][]string, cells int) [][]string {
	if len(rows) > 0 {
		return rows
	}
	return [][]string{append([]string{notRun}, repeatedString(cells-1, "")...)}
}

// subsetFlag returns 1 if nodes follow only their subsets of the list, and 0 if not, as a size of a point.
func subsetFlag(subsets bool) int {
	if subsets {
		return 1
	}
	return 0
}

// calmShare formats the share of calm seconds of a point.
func calmShare(p Point) string {
	if f, has := p.Figures["calm_share"]; has {
		return formatPercent(f.Median)
	}
	return "none"
}

// knownServers returns the text that says whether the node of a point knows all servers or only its subset.
func knownServers(p Point) string {
	if p.Sizes["part"] == 1 {
		return "its part"
	}
	return "all"
}

// records returns the records of a measurement: the one before and the one after, as far as they exist.
func (s pageData) records(measurement string) (found []Record) {
	for _, m := range []labelRecords{s.before, s.after} {
		if r, has := m.byName[measurement]; has {
			found = append(found, r)
		}
	}
	return found
}

// formatSpread formats the median of a figure with the minimum and the maximum of its repetitions.
func (p Point) formatSpread(name, unit string) string {
	f, has := p.Figures[name]
	if !has {
		return "none"
	}
	format := func(v float64) string { return strings.TrimSpace(formatFigure(v, unit)) }
	if f.Min == f.Max {
		return format(f.Median)
	}
	return fmt.Sprintf("%s (%s to %s)", format(f.Median), format(f.Min), format(f.Max))
}

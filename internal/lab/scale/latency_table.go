package scale

import (
	"fmt"
	"strings"
)

// latencyTable is what a node adds to a request, and of which ways that is made.
func latencyTable(s sheet) (string, error) {
	var whole, ways [][]string
	for _, r := range s.records("latency") {
		for _, p := range r.Points {
			all := func(name string) string { return p.shown(name, "s") }
			at := []string{knows(p), number(float64(p.Sizes["servers"])), number(float64(p.Sizes["changes"]))}
			share := percent(p.Figures["added_p99_s"].Median / s.plan.Plan.Added)
			whole = append(
				whole,
				append(
					at[:3:3],
					all("direct_added_p50_s"),
					all("direct_added_p99_s"),
					all("added_p50_s"),
					all("added_p99_s")+", "+share,
					all("added_p999_s"),
					all("direct_calm_p99_s"),
					all("calm_p99_s"),
					calmOf(p),
					fmt.Sprintf("%s of %s", p.shown("failed", ""), p.shown("requests", "")),
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
					percent(p.Figures["made_share"].Median),
					all("out_p50_s"),
					all("out_p99_s"),
					p.shown("attempts", ""),
					all("node_request_cpu_s"),
					all("node_request_wait_s"),
					p.shown("load", ""),
				),
			)
		}
	}
	return table(
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
		orNotRun(whole, 12),
	) +
		"\nOf which, through the node:\n\n" +
		table(
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

// orNotRun is rows, or one that says that there are none.
func orNotRun(rows [][]string, cells int) [][]string {
	if len(rows) > 0 {
		return rows
	}
	return [][]string{append([]string{notRun}, slicesOf(cells-1, "")...)}
}

// partOf says as a size whether nodes follow their subsets of the list alone.
func partOf(parts bool) int {
	if parts {
		return 1
	}
	return 0
}

func calmOf(p Point) string {
	if f, has := p.Figures["calm_share"]; has {
		return percent(f.Median)
	}
	return "none"
}

func knows(p Point) string {
	if p.Sizes["part"] == 1 {
		return "its part"
	}
	return "all"
}

// records are those of something, of each program.
func (s sheet) records(what string) (all []Record) {
	for _, m := range []measured{s.before, s.after} {
		if r, has := m.of[what]; has {
			all = append(all, r)
		}
	}
	return all
}

// shown is a figure with the least and the most of its repetitions.
func (p Point) shown(name, unit string) string {
	f, has := p.Figures[name]
	if !has {
		return "none"
	}
	one := func(v float64) string { return strings.TrimSpace(shown(v, unit)) }
	if f.Least == f.Most {
		return one(f.Median)
	}
	return fmt.Sprintf("%s (%s to %s)", one(f.Median), one(f.Least), one(f.Most))
}

package scale

import (
	"fmt"
	"strings"
)

// sidesTable is the table of the measured figures of a node and of a replica, before and after.
func sidesTable(s pageData) (string, error) {
	var rows [][]string
	for _, k := range []struct {
		what, along, name string
		others            map[string]int
		sizes             []int
		figures           [][2]string // names and units
	}{
		{"module", "backends", "decisions alone, told of 4,300 nodes", nodesOfPlan, []int{200, 2000, 20000, 54000},
			[][2]string{{"rest_cores", "cores"}, {"change_s", "s"}, {"memory_bytes", "bytes"}}},
		{"real", "backends", "a real node's process", tenNodes, []int{200, 2000, 20000, 54000},
			[][2]string{
				{"rest_cores", "cores"}, {"change_cpu_s", "s"},
				{"change_bytes_out", "bytes"}, {"memory_bytes", "bytes"},
			}},
		{"watchers", "watchers", "a replica by watchers", nil, []int{300, 1000, 4300},
			[][2]string{{"change_cpu_s", "s"}, {"change_bytes", "bytes"}, {"last_s", "s"}}},
		{"entries", "entries", "a replica by entries", nil, []int{200, 2000, 20000, 54000},
			[][2]string{{"change_cpu_s", "s"}, {"whole_bytes", "bytes"}, {"memory_bytes", "bytes"}}},
	} {
		for _, f := range k.figures {
			row := []string{k.name, "`" + f[0] + "`"}
			for _, m := range []labelRecords{s.before, s.after} {
				row = append(row, asMeasured(m, k.what, k.along, f[0], f[1], k.others, k.sizes))
			}
			rows = append(rows, row)
		}
	}
	return markdownTable([]string{"of", "figure", "before", "after"}, rows), nil
}

// asMeasured lists a figure at the given sizes, with a mark at the figures of a trial.
func asMeasured(m labelRecords, what, along, figure, unit string, others map[string]int, sizes []int) string {
	r, has := m.byName[what]
	if !has {
		return notRun
	}
	var cells []string
	for _, n := range sizes {
		cell := notRun
		for _, p := range r.Points {
			if f, has := p.Figures[figure]; has && p.Sizes[along] == n && matches(p, others) {
				if cell = formatFigure(f.Median, unit); p.Trial != "" {
					cell += " (trial)"
				}
			}
		}
		cells = append(cells, formatNumber(float64(n))+": "+cell)
	}
	return strings.Join(cells, "; ")
}

// inForceTable is the table of the times from the acknowledged write until watchers have it.
func inForceTable(s pageData) (string, error) {
	var rows [][]string
	for _, m := range []labelRecords{s.before, s.after} {
		r, has := m.byName["watchers"]
		if !has {
			rows = append(rows, []string{m.label, notRun, "", "", "", "", "", ""})
			continue
		}
		for _, p := range r.Points {
			t := func(name string) string {
				f := p.Figures[name]
				return fmt.Sprintf(
					"%s (%s to %s)",
					formatFigure(f.Median, "s"), formatFigure(f.Least, "s"), formatFigure(f.Most, "s"))
			}
			rows = append(
				rows,
				[]string{
					m.label,
					formatNumber(float64(p.Sizes["watchers"])),
					formatNumber(float64(p.Sizes["entries"])),
					t("half_s"),
					t("most99_s"),
					t("last_s"),
					t("last_worst_s"),
					fmt.Sprintf("%s to %s", formatNumber(r.Load[0]), formatNumber(r.Load[1])),
				},
			)
		}
	}
	return markdownTable(
		[]string{
			"program",
			"watchers of one replica",
			"entries",
			"half of those concerned",
			"99%",
			"the last",
			"the last, worst of 20 changes",
			"load on 8 cores",
		},
		rows,
	), nil
}

// hollowCheckTable compares hollow nodes with real ones, at the same sizes and changes.
func hollowCheckTable(s pageData) (string, error) {
	var rows [][]string
	for _, m := range []labelRecords{s.before, s.after} {
		hollow, has := m.byName["hollow"]
		real, both := m.byName["real"]
		if !has || !both {
			rows = append(rows, []string{m.label, notRun, "", "", "", ""})
			continue
		}
		for _, h := range hollow.Points {
			for _, r := range real.Points {
				if h.Sizes["nodes"] != r.Sizes["nodes"] || h.Sizes["backends"] != r.Sizes["backends"] ||
					h.Sizes["backends"] != 200 {
					continue
				}
				for _, f := range [][2]string{{"datagrams_per_s", "/s"}, {"datagram_bytes_per_s", "bytes/s"},
					{"change_bytes_in", "bytes"}, {"change_bytes_out", "bytes"},
					{"change_cpu_s", "s"}, {"rest_cores", "cores"}, {"memory_bytes", "bytes"}} {
					a, b := h.Figures[f[0]].Median, r.Figures[f[0]].Median
					verdict := "within 15%"
					if b < 0.85*a || b > 1.15*a {
						if verdict = fmt.Sprintf("factor %s, %s more", formatNumber(b/a), formatFigure(b-a, f[1])); b < a {
							verdict = fmt.Sprintf("factor %s", formatNumber(b/a))
						}
					}
					rows = append(
						rows,
						[]string{
							m.label,
							formatNumber(float64(h.Sizes["nodes"])),
							"`" + f[0] + "`",
							formatFigure(a, f[1]),
							formatFigure(b, f[1]),
							verdict,
						},
					)
				}
			}
		}
	}
	return markdownTable(
		[]string{"program", "nodes, 200 backends", "figure, a node", "hollow", "real", "real over hollow"},
		rows,
	), nil
}

// runsTable is the table of the records from which the figures come.
func runsTable(s pageData) (string, error) {
	var rows [][]string
	for _, r := range s.all {
		var trial []string
		for _, p := range r.Points {
			if p.Trial != "" {
				trial = append(trial, Point{Sizes: p.Sizes}.String()+"with "+p.Trial)
			}
		}
		rows = append(
			rows,
			[]string{
				r.What,
				r.Label,
				r.Commit,
				"`" + r.Command + "`",
				fmt.Sprint(len(r.Points)),
				fmt.Sprintf("%s to %s on %d cores", formatNumber(r.Load[0]), formatNumber(r.Load[1]), r.Cores),
				strings.Join(trial, "; "),
			},
		)
	}
	return markdownTable(
		[]string{"record", "program", "commit", "last made by", "points", "load", "trials"}, rows), nil
}

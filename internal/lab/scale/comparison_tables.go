package scale

import (
	"fmt"
	"strings"
)

// beforeAfterTable returns the table of the measured figures of a node and of a replica, before and after.
func beforeAfterTable(data pageData) (string, error) {
	var rows [][]string
	for _, k := range []struct {
		measurement, sizeName, subject string
		otherSizes                     map[string]int
		sizes                          []int
		figures                        [][2]string // names and units
	}{
		{"module", "backends", "decisions alone, told of 4,300 nodes", planNodesOnePlacement,
			[]int{200, 2000, 20000, 54000},
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
			row := []string{k.subject, "`" + f[0] + "`"}
			for _, m := range []labelRecords{data.before, data.after} {
				row = append(row, asMeasured(m, k.measurement, k.sizeName, f[0], f[1], k.otherSizes, k.sizes))
			}
			rows = append(rows, row)
		}
	}
	return markdownTable([]string{"of", "figure", "before", "after"}, rows), nil
}

// asMeasured returns the text of the medians of a figure at the given sizes, with a mark at those of a trial.
func asMeasured(
	m labelRecords,
	measurement, sizeName, figure, unit string,
	otherSizes map[string]int,
	sizes []int) string {
	r, has := m.byName[measurement]
	if !has {
		return notRun
	}
	var cells []string
	for _, n := range sizes {
		cell := notRun
		for _, p := range r.Points {
			if f, has := p.Figures[figure]; has && p.Sizes[sizeName] == n && matches(p, otherSizes) {
				if cell = formatFigure(f.Median, unit); p.Trial != "" {
					cell += " (trial)"
				}
			}
		}
		cells = append(cells, formatNumber(float64(n))+": "+cell)
	}
	return strings.Join(cells, "; ")
}

// inForceTable returns the table of the times from an acknowledged change of the list until its watchers have
// it.
func inForceTable(data pageData) (string, error) {
	var rows [][]string
	for _, m := range []labelRecords{data.before, data.after} {
		r, has := m.byName["watchers"]
		if !has {
			rows = append(rows, []string{m.label, notRun, "", "", "", "", "", ""})
			continue
		}
		for _, p := range r.Points {
			timeText := func(name string) string {
				f := p.Figures[name]
				return fmt.Sprintf(
					"%s (%s to %s)",
					formatFigure(f.Median, "s"), formatFigure(f.Min, "s"), formatFigure(f.Max, "s"))
			}
			rows = append(
				rows,
				[]string{
					m.label,
					formatNumber(float64(p.Sizes["watchers"])),
					formatNumber(float64(p.Sizes["entries"])),
					timeText("half_s"),
					timeText("most99_s"),
					timeText("last_s"),
					timeText("last_worst_s"),
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

// hollowCheckTable returns the table that compares hollow nodes with real nodes, at the same sizes and
// changes.
func hollowCheckTable(data pageData) (string, error) {
	var rows [][]string
	for _, m := range []labelRecords{data.before, data.after} {
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
					hollowMedian, realMedian := h.Figures[f[0]].Median, r.Figures[f[0]].Median
					comparison := "within 15%"
					if realMedian < 0.85*hollowMedian || realMedian > 1.15*hollowMedian {
						if comparison = fmt.Sprintf("factor %s, %s more", formatNumber(realMedian/hollowMedian),
							formatFigure(realMedian-hollowMedian, f[1])); realMedian < hollowMedian {
							comparison = fmt.Sprintf("factor %s", formatNumber(realMedian/hollowMedian))
						}
					}
					rows = append(
						rows,
						[]string{
							m.label,
							formatNumber(float64(h.Sizes["nodes"])),
							"`" + f[0] + "`",
							formatFigure(hollowMedian, f[1]),
							formatFigure(realMedian, f[1]),
							comparison,
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

// runsTable returns the table of the records from which the figures come.
func runsTable(data pageData) (string, error) {
	var rows [][]string
	for _, r := range data.allRecords {
		var trials []string
		for _, p := range r.Points {
			if p.Trial != "" {
				trials = append(trials, Point{Sizes: p.Sizes}.String()+"with "+p.Trial)
			}
		}
		rows = append(
			rows,
			[]string{
				r.Measurement,
				r.Label,
				r.Commit,
				"`" + r.Command + "`",
				fmt.Sprint(len(r.Points)),
				fmt.Sprintf("%s to %s on %d cores", formatNumber(r.Load[0]), formatNumber(r.Load[1]), r.Cores),
				strings.Join(trials, "; "),
			},
		)
	}
	return markdownTable(
		[]string{"record", "program", "commit", "last made by", "points", "load", "trials"}, rows), nil
}

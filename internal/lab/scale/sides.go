package scale

import (
	"fmt"
	"strings"
)

// sides are a node's and a replica's figures as they were measured, before and after.
func sides(s sheet) (string, error) {
	var rows [][]string
	for _, k := range []struct {
		what, along, name string
		others            map[string]int
		sizes             []int
		figures           [][2]string // and their units
	}{
		{"module", "backends", "decisions alone, told of 4,300 nodes", nodesOfPlan, []int{200, 2000, 20000, 54000}, [][2]string{{"rest_cores", "cores"}, {"change_s", "s"}, {"memory_bytes", "bytes"}}},
		{"real", "backends", "a real node's process", nodeFew, []int{200, 2000, 20000, 54000}, [][2]string{{"rest_cores", "cores"}, {"change_cpu_s", "s"}, {"change_bytes_out", "bytes"}, {"memory_bytes", "bytes"}}},
		{"watchers", "watchers", "a replica by watchers", nil, []int{300, 1000, 4300}, [][2]string{{"change_cpu_s", "s"}, {"change_bytes", "bytes"}, {"last_s", "s"}}},
		{"entries", "entries", "a replica by entries", nil, []int{200, 2000, 20000, 54000}, [][2]string{{"change_cpu_s", "s"}, {"whole_bytes", "bytes"}, {"memory_bytes", "bytes"}}},
	} {
		for _, f := range k.figures {
			row := []string{k.name, "`" + f[0] + "`"}
			for _, m := range []measured{s.before, s.after} {
				row = append(row, asMeasured(m, k.what, k.along, f[0], f[1], k.others, k.sizes))
			}
			rows = append(rows, row)
		}
	}
	return table([]string{"of", "figure", "before", "after"}, rows), nil
}

// asMeasured lists a figure at sizes, with a sign at those of a trial.
func asMeasured(m measured, what, along, figure, unit string, others map[string]int, sizes []int) string {
	r, has := m.of[what]
	if !has {
		return notRun
	}
	var cells []string
	for _, n := range sizes {
		cell := notRun
		for _, p := range r.Points {
			if f, has := p.Figures[figure]; has && p.Sizes[along] == n && matches(p, others) {
				if cell = shown(f.Median, unit); p.Trial != "" {
					cell += " (trial)"
				}
			}
		}
		cells = append(cells, number(float64(n))+": "+cell)
	}
	return strings.Join(cells, "; ")
}

// inForce is the time from the acknowledged write to the watchers.
func inForce(s sheet) (string, error) {
	var rows [][]string
	for _, m := range []measured{s.before, s.after} {
		r, has := m.of["watchers"]
		if !has {
			rows = append(rows, []string{m.label, notRun, "", "", "", "", "", ""})
			continue
		}
		for _, p := range r.Points {
			t := func(name string) string {
				f := p.Figures[name]
				return fmt.Sprintf("%s (%s to %s)", shown(f.Median, "s"), shown(f.Least, "s"), shown(f.Most, "s"))
			}
			rows = append(
				rows,
				[]string{
					m.label,
					number(float64(p.Sizes["watchers"])),
					number(float64(p.Sizes["entries"])),
					t("half_s"),
					t("most99_s"),
					t("last_s"),
					t("last_worst_s"),
					fmt.Sprintf("%s to %s", number(r.Load[0]), number(r.Load[1])),
				},
			)
		}
	}
	return table(
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

// honest sets hollow nodes beside real ones, at the same sizes and changes.
func honest(s sheet) (string, error) {
	var rows [][]string
	for _, m := range []measured{s.before, s.after} {
		hollow, has := m.of["hollow"]
		real, both := m.of["real"]
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
				for _, f := range [][2]string{{"datagrams_per_s", "/s"}, {"datagram_bytes_per_s", "bytes/s"}, {"change_bytes_in", "bytes"}, {"change_bytes_out", "bytes"},
					{"change_cpu_s", "s"}, {"rest_cores", "cores"}, {"memory_bytes", "bytes"}} {
					a, b := h.Figures[f[0]].Median, r.Figures[f[0]].Median
					says := "within 15%"
					if b < 0.85*a || b > 1.15*a {
						if says = fmt.Sprintf("factor %s, %s more", number(b/a), shown(b-a, f[1])); b < a {
							says = fmt.Sprintf("factor %s", number(b/a))
						}
					}
					rows = append(
						rows,
						[]string{
							m.label,
							number(float64(h.Sizes["nodes"])),
							"`" + f[0] + "`",
							shown(a, f[1]),
							shown(b, f[1]),
							says,
						},
					)
				}
			}
		}
	}
	return table(
		[]string{"program", "nodes, 200 backends", "figure, a node", "hollow", "real", "real over hollow"},
		rows,
	), nil
}

// runs say where the figures come from.
func runs(s sheet) (string, error) {
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
				fmt.Sprintf("%s to %s on %d cores", number(r.Load[0]), number(r.Load[1]), r.Cores),
				strings.Join(trial, "; "),
			},
		)
	}
	return table([]string{"record", "program", "commit", "last made by", "points", "load", "trials"}, rows), nil
}

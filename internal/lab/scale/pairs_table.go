package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// pairsTable is the table of the figures measured by two sizes together: their ends, their joint fit, and
// whether the product of the sizes counts.
func pairsTable(s pageData) (string, error) {
	var rows [][]string
	figures := [][2]string{
		{"rest_cores", "cores"},
		{"change_cpu_s", "s"},
		{"change_bytes_in", "bytes"},
		{"memory_bytes", "bytes"},
		{"replica_cores", "cores"},
		{"replica_bytes_out_per_s", "bytes/s"},
		{"replica_memory_bytes", "bytes"},
	}
	ofTenants := [][2]string{
		{"rest_cores", "cores"},
		{"change_cpu_s", "s"},
		{"change_bytes_in", "bytes"},
		{"memory_bytes", "bytes"},
		{"replica_change_cpu_s", "s"},
		{"replica_change_bytes_out", "bytes"},
		{"replica_memory_bytes", "bytes"},
	}
	for _, k := range []struct {
		what, of, a, b string
		others         map[string]int
		figures        [][2]string // names and units
	}{
		{"module", "decisions alone", "nodes", "backends", map[string]int{"placements": 1},
			[][2]string{{"rest_cores", "cores"}, {"change_s", "s"}, {"memory_bytes", "bytes"}}},
		{"pairs", "hollow nodes, all of the list", "nodes", "backends", map[string]int{"part": 0}, figures},
		{"pairs", "hollow nodes, their parts", "nodes", "backends", map[string]int{"part": 1}, figures},
		{"pairs-routes", "decisions alone, 2,000 backends, 300 nodes", "services", "routes", nil,
			[][2]string{{"rest_cores", "cores"}, {"change_s", "s"}, {"memory_bytes", "bytes"}}},
		{"pairs-tenants", "hollow nodes, the whole catalogue", "nodes", "tenants", nil, ofTenants},
	} {
		for _, m := range []labelRecords{s.before, s.after} {
			r, has := m.byName[k.what]
			if !has || !slices.ContainsFunc(r.Points, func(p Point) bool { return matches(p, k.others) }) {
				continue
			}
			for _, f := range k.figures {
				at := append(
					[]string{m.label, k.of, k.a + ", " + k.b, "`" + f[0] + "`"},
					corners(r, k.a, k.b, f[0], f[1], k.others)...)
				fit, err := fitPairOf(r, k.a, k.b, f[0], k.others)
				if err != nil {
					rows = append(rows, append(at, "no fit: "+err.Error(), "", ""))
					continue
				}
				text := fmt.Sprintf(
					"%.3g + %.3g × %s + %.3g × %s",
					fit.Terms[0],
					fit.Terms[1],
					strings.Replace(fit.A, "n", "A", 1),
					fit.Terms[2],
					strings.Replace(fit.B, "n", "B", 1),
				)
				verdict := fmt.Sprintf("no (chance %s)", formatPercent(fit.Chance))
				if fit.Product() {
					text, verdict = text+fmt.Sprintf(
						" + %.3g × their product",
						fit.Terms[3],
					), fmt.Sprintf(
						"yes (chance %s)",
						formatPercent(fit.Chance),
					)
				}
				rows = append(
					rows,
					append(
						at,
						fmt.Sprintf("%s; residual %s, %d points", text, formatPercent(fit.Residual), fit.Points),
						verdict,
					),
				)
			}
		}
	}
	return markdownTable(
		[]string{
			"program",
			"of",
			"A, B",
			"figure",
			"least of both",
			"most of A",
			"most of B",
			"most of both",
			"fit",
			"product counts",
		},
		rows,
	), nil
}

// corners are a figure at the ends of two sizes: least of both, most of the first, most of the second, most
// of both.
func corners(r Record, a, b, figure, unit string, others map[string]int) []string {
	var as, bs [2]int
	for _, p := range r.Points {
		if _, has := p.Figures[figure]; has && matches(p, others) {
			as, bs = widen(as, p.Sizes[a]), widen(bs, p.Sizes[b])
		}
	}
	var cells []string
	for _, at := range [][2]int{{as[0], bs[0]}, {as[1], bs[0]}, {as[0], bs[1]}, {as[1], bs[1]}} {
		here, cell := map[string]int{a: at[0], b: at[1]}, "none"
		maps.Copy(here, others)
		for _, p := range r.Points {
			if f, has := p.Figures[figure]; has && matches(p, here) {
				cell = fmt.Sprintf(
					"%s, %s: %s",
					formatNumber(float64(at[0])), formatNumber(float64(at[1])), formatFigure(f.Median, unit))
			}
		}
		cells = append(cells, cell)
	}
	return cells
}

// widen extends the least and the greatest size by n.
func widen(ends [2]int, n int) [2]int {
	if ends[0] == 0 {
		return [2]int{n, n}
	}
	return [2]int{min(ends[0], n), max(ends[1], n)}
}

package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// pairsTable returns the table of the figures measured by two sizes together: their values at the smallest
// and largest sizes, their fit over both sizes, and whether the product of the sizes counts.
func pairsTable(data pageData) (string, error) {
	var rows [][]string
	backendFigures := [][2]string{
		{"rest_cores", "cores"},
		{"change_cpu_s", "s"},
		{"change_bytes_in", "bytes"},
		{"memory_bytes", "bytes"},
		{"replica_cores", "cores"},
		{"replica_bytes_out_per_s", "bytes/s"},
		{"replica_memory_bytes", "bytes"},
	}
	tenantFigures := [][2]string{
		{"rest_cores", "cores"},
		{"change_cpu_s", "s"},
		{"change_bytes_in", "bytes"},
		{"memory_bytes", "bytes"},
		{"replica_change_cpu_s", "s"},
		{"replica_change_bytes_out", "bytes"},
		{"replica_memory_bytes", "bytes"},
	}
	for _, k := range []struct {
		measurement, subject, a, b string
		otherSizes                 map[string]int
		figures                    [][2]string // names and units
	}{
		{"module", "decisions alone", "nodes", "backends", map[string]int{"placements": 1},
			[][2]string{{"rest_cores", "cores"}, {"change_s", "s"}, {"memory_bytes", "bytes"}}},
		{"pairs", "hollow nodes, all of the list", "nodes", "backends", map[string]int{"part": 0}, backendFigures},
		{"pairs", "hollow nodes, their parts", "nodes", "backends", map[string]int{"part": 1}, backendFigures},
		{"pairs-routes", "decisions alone, 2,000 backends, 300 nodes", "services", "routes", nil,
			[][2]string{{"rest_cores", "cores"}, {"change_s", "s"}, {"memory_bytes", "bytes"}}},
		{"pairs-tenants", "hollow nodes, the whole catalogue", "nodes", "tenants", nil, tenantFigures},
	} {
		for _, m := range []labelRecords{data.before, data.after} {
			r, has := m.byName[k.measurement]
			if !has || !slices.ContainsFunc(r.Points, func(p Point) bool { return matches(p, k.otherSizes) }) {
				continue
			}
			for _, f := range k.figures {
				row := append(
					[]string{m.label, k.subject, k.a + ", " + k.b, "`" + f[0] + "`"},
					corners(r, k.a, k.b, f[0], f[1], k.otherSizes)...)
				fit, err := fitPairOf(r, k.a, k.b, f[0], k.otherSizes)
				if err != nil {
					rows = append(rows, append(row, "no fit: "+err.Error(), "", ""))
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
				productCounts := fmt.Sprintf("no (chance %s)", formatPercent(fit.PValue))
				if fit.ProductCounts() {
					text, productCounts = text+fmt.Sprintf(
						" + %.3g × their product",
						fit.Terms[3],
					), fmt.Sprintf(
						"yes (chance %s)",
						formatPercent(fit.PValue),
					)
				}
				rows = append(
					rows,
					append(
						row,
						fmt.Sprintf("%s; residual %s, %d points", text, formatPercent(fit.Residual), fit.Points),
						productCounts,
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

// corners returns the texts of a figure at the smallest and largest measured sizes of the kinds a and b: at
// the smallest of both, the largest a, the largest b, and the largest of both.
func corners(r Record, a, b, figure, unit string, otherSizes map[string]int) []string {
	var as, bs [2]int
	for _, p := range r.Points {
		if _, has := p.Figures[figure]; has && matches(p, otherSizes) {
			as, bs = widen(as, p.Sizes[a]), widen(bs, p.Sizes[b])
		}
	}
	var cells []string
	for _, corner := range [][2]int{{as[0], bs[0]}, {as[1], bs[0]}, {as[0], bs[1]}, {as[1], bs[1]}} {
		sizes, cell := map[string]int{a: corner[0], b: corner[1]}, "none"
		maps.Copy(sizes, otherSizes)
		for _, p := range r.Points {
			if f, has := p.Figures[figure]; has && matches(p, sizes) {
				cell = fmt.Sprintf(
					"%s, %s: %s",
					formatNumber(float64(corner[0])), formatNumber(float64(corner[1])), formatFigure(f.Median, unit))
			}
		}
		cells = append(cells, cell)
	}
	return cells
}

// widen extends a range of sizes, its least and its greatest, to include n.
func widen(ends [2]int, n int) [2]int {
	if ends[0] == 0 {
		return [2]int{n, n}
	}
	return [2]int{min(ends[0], n), max(ends[1], n)}
}

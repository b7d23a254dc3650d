package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"wrenspread/internal/besteffort"
)

// Compare writes the figures of two runs side by side, with their differences.
func Compare(w io.Writer, a, b Run) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name string, x, y float64, format string) {
		besteffort.Output(fmt.Fprintf(t, "%s\t"+format+"\t"+format+"\t%+.4f\n", name, x, y, y-x))
	}
	besteffort.Output(
		fmt.Fprintf(
			t,
			"\t%s (seed %d)\t%s (seed %d)\tdifference\n",
			a.Figures.Name,
			a.Figures.Seed,
			b.Figures.Name,
			b.Figures.Seed,
		),
	)
	counts := func(name string, x, y Count) {
		row(name+" asked", float64(x.Asked), float64(y.Asked), "%.0f")
		row(name+" in time", x.Served(), y.Served(), "%.4f")
		row(name+" late", x.share(x.Late), y.share(y.Late), "%.4f")
		row(name+" refused", x.share(x.Refused), y.share(y.Refused), "%.4f")
		row(name+" failed", x.share(x.Failed), y.share(y.Failed), "%.4f")
	}
	counts("all", a.Figures.All, b.Figures.All)
	for _, c := range Names(a.Figures.Classes) {
		counts(c, a.Figures.Classes[c], b.Figures.Classes[c])
		x, y := a.Figures.Latency[c], b.Figures.Latency[c]
		row(c+" median, ms", ms(x.P50), ms(y.P50), "%.1f")
		row(c+" 99%, ms", ms(x.P99), ms(y.P99), "%.1f")
	}
	row("attempts an operation", a.Figures.Attempts, b.Figures.Attempts, "%.4f")
	row("nodes' processor, cores", a.Figures.NodesCPU, b.Figures.NodesCPU, "%.3f")
	row("lab's lateness, ms", ms(a.Figures.LabLatenessP99), ms(b.Figures.LabLatenessP99), "%.2f")
	countFindings := func(r Run) int {
		n := 0
		for _, v := range r.Verdicts {
			n += len(v.Broken)
		}
		return n
	}
	row("findings", float64(countFindings(a)), float64(countFindings(b)), "%.0f")
	return t.Flush()
}

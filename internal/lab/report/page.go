package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"time"

	"wrenspread/internal/besteffort"
)

//go:embed page.html
var pageText string

const pageFile = "report.html"

// mostFindings bounds the findings that a page shows of one check; the summary has all.
const mostFindings = 50

var page = template.Must(template.New(pageFile).Funcs(template.FuncMap{
	"share": func(n, of int) string {
		if of == 0 {
			return "-"
		}
		return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(of))
	},
	"ms":    func(d time.Duration) string { return fmt.Sprintf("%.1f", ms(d)) },
	"s":     func(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) },
	"mb":    func(n int64) string { return fmt.Sprintf("%.1f", float64(n)/(1<<20)) },
	"pct":   func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"names": func(m any) []string { return namesOf(m) },
}).Parse(pageText))

func namesOf(m any) []string {
	switch m := m.(type) {
	case map[string]Count:
		return Names(m)
	case map[string]NodeUse:
		return Names(m)
	case map[string]BoxUse:
		return Names(m)
	}
	return nil
}

func (r Run) writePage(dir string) (string, error) {
	drawn, err := r.Figures.plots(dir)
	if err != nil {
		return "", err
	}
	var plots []template.HTML
	for _, p := range drawn {
		plots = append(plots, template.HTML(p)) // of our own making
	}
	path := filepath.Join(dir, pageFile)
	f, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	defer besteffort.Close(f)
	err = page.Execute(f, struct {
		Run
		Plots []template.HTML
		Most  int
	}{r, plots, mostFindings})
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return path, f.Close()
}

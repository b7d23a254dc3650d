package scale

import (
	"fmt"
	"math"
	"path/filepath"
	"strings"
)

// Marks of the page around each table; the first names the table.
const (
	beginMark = "<!-- scale: %s -->"
	endMark   = "<!-- /scale -->"
)

// pageData is the plan and the records of which the tables are made.
type pageData struct {
	plan          Plan
	before, after labelRecords
	all           []Record
}

// tableMakers are the functions that make the page's tables, by the tables' names.
var tableMakers = map[string]func(pageData) (string, error){
	"assumptions": assumptionsTable,
	"costs":       costsTable,
	"sides":       sidesTable,
	"walls":       boundsTable,
	"force":       inForceTable,
	"faults":      faultsTable,
	"honest":      hollowCheckTable,
	"slopes":      slopesTable,
	"runs":        runsTable,
	"latency":     latencyTable,
	"orders":      ordersTable,
	"pairs":       pairsTable,
	"fleet":       fleetTable,
}

// Page returns a page's text with its tables replaced by those made from the plan and the records in a
// folder.
func Page(text, dir string) (string, error) {
	plan, err := LoadPlan(filepath.Join(dir, "plan.toml"))
	if err != nil {
		return "", err
	}
	all, err := Load(dir)
	if err != nil {
		return "", err
	}
	s := pageData{
		plan:   plan,
		before: labelRecords{Before, map[string]Record{}},
		after:  labelRecords{After, map[string]Record{}},
		all:    all,
	}
	for _, r := range all {
		for _, m := range []labelRecords{s.before, s.after} {
			if r.Label == m.label {
				m.byName[r.What] = r
			}
		}
	}
	for _, name := range sortedKeys(tableMakers) {
		mark := fmt.Sprintf(beginMark, name)
		before, rest, begun := strings.Cut(text, mark+"\n")
		_, after, ended := strings.Cut(rest, endMark)
		if !begun || !ended || strings.Contains(rest, mark) {
			return "", fmt.Errorf(
				"replace table %s: the page has to have it once, between %s and %s", name, mark, endMark)
		}
		table, err := tableMakers[name](s)
		if err != nil {
			return "", fmt.Errorf("make table %s: %w", name, err)
		}
		text = before + mark + "\n" + table + endMark + after
	}
	if n := strings.Count(text, "<!-- scale:"); n != len(tableMakers) {
		return "", fmt.Errorf("the page has %d tables, want %d", n, len(tableMakers))
	}
	return text, nil
}

// markdownTable writes rows as a Markdown table.
func markdownTable(head []string, rows [][]string) string {
	var t strings.Builder
	line := func(cells []string) { t.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	line(repeatedString(len(head), "---"))
	for _, r := range rows {
		line(r)
	}
	return t.String()
}

// repeatedString is a slice of n times s.
func repeatedString(n int, s string) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = s
	}
	return all
}

// formatFigure writes a figure with its unit.
func formatFigure(v float64, unit string) string {
	switch unit {
	case "cores":
		if v < 0.5 {
			return formatNumber(100*v) + "% of a core"
		}
		return formatNumber(v) + " cores"
	case "bytes", "bytes/s":
		for _, u := range []struct {
			of   float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}} {
			if v >= u.of {
				return formatNumber(v/u.of) + " " + u.name + strings.TrimPrefix(unit, "bytes")
			}
		}
		return formatNumber(v) + " B" + strings.TrimPrefix(unit, "bytes")
	case "s":
		if v < 0.001 {
			return formatNumber(1e6*v) + " us"
		}
		if v < 1 {
			return formatNumber(1e3*v) + " ms"
		}
	}
	return formatNumber(v) + " " + unit
}

// formatNumber writes a number with three digits; from 100 on, with all digits before the decimal point.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 || v == 0 {
		s := fmt.Sprintf("%.0f", v)
		for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		return s
	}
	return fmt.Sprintf("%.3g", v)
}

// formatPercent writes a share as a percentage.
func formatPercent(part float64) string { return formatNumber(100*part) + "%" }

package scale

import (
	"fmt"
	"math"
	"path/filepath"
	"strings"
)

// Marks on the page before and after each table. The mark before a table names the table.
const (
	beginMark = "<!-- scale: %s -->"
	endMark   = "<!-- /scale -->"
)

// pageData holds the plan and the records from which the tables are made.
type pageData struct {
	plan          Plan
	before, after labelRecords
	allRecords    []Record
}

// tableMakers holds the functions that make the page's tables, by the names of the tables.
var tableMakers = map[string]func(pageData) (string, error){
	"assumptions": assumptionsTable,
	"costs":       costsTable,
	"sides":       beforeAfterTable,
	"walls":       boundsTable,
	"force":       inForceTable,
	"faults":      faultsTable,
	"honest":      hollowCheckTable,
	"slopes":      slopesTable,
	"runs":        runsTable,
	"latency":     latencyTable,
	"orders":      propagationTable,
	"pairs":       pairsTable,
	"fleet":       fleetTable,
}

// Page returns the text of the page with its tables made anew from the plan and the records in a folder.
func Page(text, dir string) (string, error) {
	plan, err := LoadPlan(filepath.Join(dir, "plan.toml"))
	if err != nil {
		return "", err
	}
	records, err := Load(dir)
	if err != nil {
		return "", err
	}
	data := pageData{
		plan:       plan,
		before:     labelRecords{Before, map[string]Record{}},
		after:      labelRecords{After, map[string]Record{}},
		allRecords: records,
	}
	for _, r := range records {
		for _, m := range []labelRecords{data.before, data.after} {
			if r.Label == m.label {
				m.byName[r.Measurement] = r
			}
		}
	}
	for _, name := range sortedKeys(tableMakers) {
		mark := fmt.Sprintf(beginMark, name)
		before, rest, begun := strings.Cut(text, mark+"\n")
		_, after, ended := strings.Cut(rest, endMark)
		if !begun || !ended || strings.Contains(rest, mark) {
			return "", fmt.Errorf(
				"replace table %s: the page does not have it exactly once, between %s and %s", name, mark, endMark)
		}
		table, err := tableMakers[name](data)
		if err != nil {
			return "", fmt.Errorf("make table %s: %w", name, err)
		}
		text = before + mark + "\n" + table + endMark + after
	}
	if n := strings.Count(text, "<!-- scale:"); n != len(tableMakers) {
		return "", fmt.Errorf("replace the tables: the page has %d tables, want %d", n, len(tableMakers))
	}
	return text, nil
}

// markdownTable formats rows as a Markdown table.
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

// repeatedString returns a slice that has s n times.
func repeatedString(n int, s string) []string {
	copies := make([]string, n)
	for i := range copies {
		copies[i] = s
	}
	return copies
}

// formatFigure formats a figure with its unit.
func formatFigure(v float64, unit string) string {
	switch unit {
	case "cores":
		if v < 0.5 {
			return formatNumber(100*v) + "% of a core"
		}
		return formatNumber(v) + " cores"
	case "bytes", "bytes/s":
		for _, u := range []struct {
			size float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}} {
			if v >= u.size {
				return formatNumber(v/u.size) + " " + u.name + strings.TrimPrefix(unit, "bytes")
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

// formatNumber formats a number with three significant digits, and a number from 100 on without decimals.
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

// formatPercent formats a share as a percentage.
func formatPercent(share float64) string { return formatNumber(100*share) + "%" }

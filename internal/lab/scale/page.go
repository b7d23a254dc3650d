package scale

import (
	"fmt"
	"math"
	"path/filepath"
	"strings"
)

// The page's tables stand between these, each by its name.
const (
	beginMark = "<!-- scale: %s -->"
	endMark   = "<!-- /scale -->"
)

// sheet is all that the tables are made of.
type sheet struct {
	plan          Plan
	before, after measured
	all           []Record
}

// tables are the makers of the page's tables, by name.
var tables = map[string]func(sheet) (string, error){
	"assumptions": assumptions,
	"costs":       costs,
	"sides":       sides,
	"walls":       wallsTable,
	"force":       inForce,
	"faults":      faults,
	"honest":      honest,
	"slopes":      slopes,
	"runs":        runs,
	"latency":     latencyTable,
	"orders":      ordersTable,
	"pairs":       pairsTable,
	"fleet":       fleetTable,
}

// Page puts the tables, made from the records and the plan of a folder, into a page's text.
func Page(text, dir string) (string, error) {
	plan, err := LoadPlan(filepath.Join(dir, "plan.toml"))
	if err != nil {
		return "", err
	}
	all, err := Load(dir)
	if err != nil {
		return "", err
	}
	s := sheet{
		plan:   plan,
		before: measured{Before, map[string]Record{}},
		after:  measured{After, map[string]Record{}},
		all:    all,
	}
	for _, r := range all {
		for _, m := range []measured{s.before, s.after} {
			if r.Label == m.label {
				m.of[r.What] = r
			}
		}
	}
	for _, name := range sorted(tables) {
		mark := fmt.Sprintf(beginMark, name)
		before, rest, begun := strings.Cut(text, mark+"\n")
		_, after, ended := strings.Cut(rest, endMark)
		if !begun || !ended || strings.Contains(rest, mark) {
			return "", fmt.Errorf("the page wants the table %s once, between %s and %s", name, mark, endMark)
		}
		table, err := tables[name](s)
		if err != nil {
			return "", fmt.Errorf("the table %s: %w", name, err)
		}
		text = before + mark + "\n" + table + endMark + after
	}
	if n := strings.Count(text, "<!-- scale:"); n != len(tables) {
		return "", fmt.Errorf("the page has %d tables, %d are made", n, len(tables))
	}
	return text, nil
}

// table writes rows as Markdown.
func table(head []string, rows [][]string) string {
	var t strings.Builder
	line := func(cells []string) { t.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	line(slicesOf(len(head), "---"))
	for _, r := range rows {
		line(r)
	}
	return t.String()
}

func slicesOf(n int, s string) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = s
	}
	return all
}

// shown writes a figure with its unit.
func shown(v float64, unit string) string {
	switch unit {
	case "cores":
		if v < 0.5 {
			return number(100*v) + "% of a core"
		}
		return number(v) + " cores"
	case "bytes", "bytes/s":
		for _, u := range []struct {
			of   float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "kB"}} {
			if v >= u.of {
				return number(v/u.of) + " " + u.name + strings.TrimPrefix(unit, "bytes")
			}
		}
		return number(v) + " B" + strings.TrimPrefix(unit, "bytes")
	case "s":
		if v < 0.001 {
			return number(1e6*v) + " us"
		}
		if v < 1 {
			return number(1e3*v) + " ms"
		}
	}
	return number(v) + " " + unit
}

// number has three digits, and those of whole numbers all.
func number(v float64) string {
	if math.Abs(v) >= 100 || v == 0 {
		s := fmt.Sprintf("%.0f", v)
		for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		return s
	}
	return fmt.Sprintf("%.3g", v)
}

// percent is a share.
func percent(part float64) string { return number(100*part) + "%" }

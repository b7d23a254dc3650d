// Package timeline draws a history as text: time downwards, one column for
// each node (service, holder, controller), and in each cell what happened there.
// It is pure and takes events from anywhere.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Event says that something happened somewhere.
type Event struct {
	At   time.Duration // since the history's beginning
	Who  string        // the column
	What string        // a few words: "suspects n3", "takes over"
}

// Bounds of a drawing, in runes and lines.
const (
	minWidth     = 40 // of a drawing, so that there is room for the time and a column
	defaultWidth = 118
	minCellWidth = 6
	maxCellLines = 8 // of a cell; what is beyond is counted
)

// Drawing says how a history is to be drawn.
type Drawing struct {
	Says    string        // a sentence on what it shows, and why it must be so
	Columns []string      // who is drawn, from left to right; the others' events are counted at the foot
	Width   int           // the most runes of a line; 0: 118, and 40 at least
	Step    time.Duration // events of one step share a row; 0: 100 ms
	Fold    time.Duration // a gap from here on is marked; 0: a second
}

// Draw returns the drawing. The order of the events does not matter.
func (d Drawing) Draw(events []Event) string {
	d = d.defaults()
	events = slices.Clone(events)
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Who, b.Who), cmp.Compare(a.What, b.What))
	})
	rows, rest := d.rows(events)
	t := d.layout(rows)
	var out strings.Builder
	for _, l := range wrap(d.Says, d.Width) {
		out.WriteString(l + "\n")
	}
	out.WriteString("\n")
	t.write(&out, "time", columnHeads(t.columns))
	out.WriteString(strings.Repeat("-", t.timeWidth+1))
	for _, w := range t.cellWidths {
		out.WriteString("+" + strings.Repeat("-", w+2))
	}
	out.WriteString("\n")
	for i, r := range rows {
		if gap := r.at - rows[max(i-1, 0)].at; gap >= d.Fold {
			fmt.Fprintf(&out, "%*s ~ %s of nothing\n", t.timeWidth, "", d.seconds(gap))
		}
		t.write(&out, d.seconds(r.at), r.cells)
	}
	if n := rest.count + t.countHidden(rows); n > 0 {
		for _, l := range wrap(fmt.Sprintf("(%d more events: %s)", n, strings.Join(append(rest.columns, t.hiddenColumns...), ", ")), d.Width) {
			out.WriteString(l + "\n")
		}
	}
	return out.String()
}

func (d Drawing) defaults() Drawing {
	d.Width = max(cmp.Or(d.Width, defaultWidth), minWidth)
	d.Step = cmp.Or(max(d.Step, 0), 100*time.Millisecond)
	d.Fold = max(cmp.Or(max(d.Fold, 0), time.Second), d.Step)
	return d
}

// seconds writes a time as exactly as the steps are.
func (d Drawing) seconds(t time.Duration) string {
	digits := 3
	for unit := time.Millisecond; digits > 0 && d.Step%(10*unit) == 0; unit *= 10 {
		digits--
	}
	return fmt.Sprintf("%.*f s", digits, t.Seconds())
}

func columnHeads(names []string) map[string][]Event {
	heads := map[string][]Event{}
	for _, n := range names {
		heads[n] = []Event{{Who: n, What: n}}
	}
	return heads
}

// row is one step in which something happened.
type row struct {
	at    time.Duration
	cells map[string][]Event
}

// hiddenEvents are the events that belong to no column.
type hiddenEvents struct {
	count   int
	columns []string
}

func (d Drawing) rows(events []Event) (rows []row, rest hiddenEvents) {
	for _, e := range events {
		if !slices.Contains(d.Columns, e.Who) {
			rest.count++
			if !slices.Contains(rest.columns, e.Who) {
				rest.columns = append(rest.columns, e.Who)
			}
			continue
		}
		at := e.At - e.At%d.Step
		if len(rows) == 0 || rows[len(rows)-1].at != at {
			rows = append(rows, row{at, map[string][]Event{}})
		}
		r := rows[len(rows)-1]
		r.cells[e.Who] = append(r.cells[e.Who], e)
	}
	slices.Sort(rest.columns)
	return rows, rest
}

// table is where the cells stand.
type table struct {
	timeWidth     int      // the width of the time
	columns       []string // those for which there is room
	hiddenColumns []string // the others
	cellWidths    []int    // widths
}

// layout gives each column the width that it needs, and all an even part where that is too much.
func (d Drawing) layout(rows []row) table {
	t := table{timeWidth: len("time"), columns: slices.Compact(slices.Clone(d.Columns))}
	for _, r := range rows {
		t.timeWidth = max(t.timeWidth, len(d.seconds(r.at)))
	}
	available := d.Width - t.timeWidth - 1
	if maxColumns := max(1, available/(minCellWidth+3)); len(t.columns) > maxColumns {
		t.columns, t.hiddenColumns = t.columns[:maxColumns], t.columns[maxColumns:]
	}
	need := make([]int, len(t.columns))
	for i, c := range t.columns {
		need[i] = max(minCellWidth, utf8.RuneCountInString(c))
		for _, r := range rows {
			for _, text := range cellTexts(r.cells[c]) {
				need[i] = max(need[i], utf8.RuneCountInString(text))
			}
		}
	}
	t.cellWidths = shareWidth(need, available-3*len(need))
	return t
}

// shareWidth gives each its need, and where all are more than there is, the most needy less.
func shareWidth(needed []int, available int) []int {
	order := make([]int, len(needed))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(needed[a], needed[b]) })
	widths := make([]int, len(needed))
	for k, i := range order {
		widths[i] = min(needed[i], available/(len(order)-k))
		available -= widths[i]
	}
	return widths
}

// countHidden counts the events of columns for which there was no room.
func (t table) countHidden(rows []row) (n int) {
	for _, r := range rows {
		for _, c := range t.hiddenColumns {
			n += len(r.cells[c])
		}
	}
	return n
}

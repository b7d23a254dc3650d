// Package timeline draws a history as text. Time runs downwards. Each node, service, lease holder or
// controller has a column, and each cell shows its events in a step of time. The package does no I/O and
// takes events from any source.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Event is something that happened, with the column in which it is drawn.
type Event struct {
	At     time.Duration // since the beginning of the history
	Column string        // name of the column
	Text   string        // short, such as "suspects n3" or "takes over"
}

// Bounds of a drawing: widths in runes, heights in lines.
const (
	minWidth     = 40  // of a drawing, so that the time and one column fit
	defaultWidth = 118 // of a drawing
	minCellWidth = 6   // of a cell
	maxCellLines = 8   // of a cell; texts that do not fit are counted instead
)

// Drawing describes how a history is drawn.
type Drawing struct {
	Caption string        // what the drawing shows, and why that is correct
	Columns []string      // names from left to right; events of other columns are counted below the drawing
	Width   int           // maximum runes of a line, at least 40; 0: 118
	Step    time.Duration // events of one step share a row; 0: 100 ms
	MinGap  time.Duration // a gap of this length or longer is marked; 0: 1 s
}

// Draw returns the drawing. The order of the events does not matter.
func (d Drawing) Draw(events []Event) string {
	d = d.defaults()
	events = slices.Clone(events)
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Text, b.Text))
	})
	rows, hidden := d.rows(events)
	t := d.layout(rows)
	var out strings.Builder
	for _, l := range wrap(d.Caption, d.Width) {
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
		if gap := r.at - rows[max(i-1, 0)].at; gap >= d.MinGap {
			fmt.Fprintf(&out, "%*s ~ %s of nothing\n", t.timeWidth, "", d.seconds(gap))
		}
		t.write(&out, d.seconds(r.at), r.cells)
	}
	if n := hidden.count + t.countHidden(rows); n > 0 {
		for _, l := range wrap(
			fmt.Sprintf("(%d more events: %s)", n, strings.Join(append(hidden.columns, t.hiddenColumns...), ", ")),
			d.Width,
		) {
			out.WriteString(l + "\n")
		}
	}
	return out.String()
}

// defaults returns d with valid values for fields that are 0 or out of range.
func (d Drawing) defaults() Drawing {
	d.Width = max(cmp.Or(d.Width, defaultWidth), minWidth)
	d.Step = cmp.Or(max(d.Step, 0), 100*time.Millisecond)
	d.MinGap = max(cmp.Or(max(d.MinGap, 0), time.Second), d.Step)
	return d
}

// seconds formats a time in seconds, with the digits that Step needs.
func (d Drawing) seconds(t time.Duration) string {
	digits := 3
	for unit := time.Millisecond; digits > 0 && d.Step%(10*unit) == 0; unit *= 10 {
		digits--
	}
	return fmt.Sprintf("%.*f s", digits, t.Seconds())
}

// columnHeads returns the cells of the head row, which have the names of the columns.
func columnHeads(names []string) map[string][]Event {
	heads := map[string][]Event{}
	for _, n := range names {
		heads[n] = []Event{{Column: n, Text: n}}
	}
	return heads
}

// row is one step of time in which something happened.
type row struct {
	at    time.Duration
	cells map[string][]Event // by column
}

// hiddenEvents describes the events that belong to no column of the drawing.
type hiddenEvents struct {
	count   int
	columns []string // the names of their columns, sorted
}

// rows groups events, which must be sorted by time, into rows. hidden describes the events whose column is
// not in d.Columns.
func (d Drawing) rows(events []Event) (rows []row, hidden hiddenEvents) {
	for _, e := range events {
		if !slices.Contains(d.Columns, e.Column) {
			hidden.count++
			if !slices.Contains(hidden.columns, e.Column) {
				hidden.columns = append(hidden.columns, e.Column)
			}
			continue
		}
		at := e.At - e.At%d.Step
		if len(rows) == 0 || rows[len(rows)-1].at != at {
			rows = append(rows, row{at, map[string][]Event{}})
		}
		r := rows[len(rows)-1]
		r.cells[e.Column] = append(r.cells[e.Column], e)
	}
	slices.Sort(hidden.columns)
	return rows, hidden
}

// table holds the layout of a drawing.
type table struct {
	timeWidth     int      // width of the column of times
	columns       []string // columns that fit into the drawing's width
	hiddenColumns []string // columns that do not fit
	cellWidths    []int    // by index of columns
}

// layout gives each column the width that its texts need, or less if the sum exceeds the width of the
// drawing.
func (d Drawing) layout(rows []row) table {
	t := table{timeWidth: len("time"), columns: slices.Compact(slices.Clone(d.Columns))}
	for _, r := range rows {
		t.timeWidth = max(t.timeWidth, len(d.seconds(r.at)))
	}
	available := d.Width - t.timeWidth - 1
	if maxColumns := max(1, available/(minCellWidth+3)); len(t.columns) > maxColumns {
		t.columns, t.hiddenColumns = t.columns[:maxColumns], t.columns[maxColumns:]
	}
	needed := make([]int, len(t.columns))
	for i, c := range t.columns {
		needed[i] = max(minCellWidth, utf8.RuneCountInString(c))
		for _, r := range rows {
			for _, text := range cellTexts(r.cells[c]) {
				needed[i] = max(needed[i], utf8.RuneCountInString(text))
			}
		}
	}
	t.cellWidths = shareWidth(needed, available-3*len(needed))
	return t
}

// shareWidth gives each column the width that it needs. If the sum exceeds the available width, the widest
// columns get equal shares of the width that the others leave.
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

// countHidden returns the number of events in hiddenColumns.
func (t table) countHidden(rows []row) (n int) {
	for _, r := range rows {
		for _, c := range t.hiddenColumns {
			n += len(r.cells[c])
		}
	}
	return n
}

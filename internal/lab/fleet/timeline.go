package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/timeline"
)

const (
	timelineFile   = "timeline.txt"
	labColumn      = "lab" // the column of the faults
	maxNodeColumns = 8     // more columns are hard to read; events of other nodes are only counted at the foot
)

// writeTimeline draws a timeline of the run as text, and writes it to timelineFile in the run's folder. The
// text has a column for the faults and a column for each of the first nodes.
func (f *fleet) writeTimeline() error {
	columns := append([]string{labColumn}, f.nodeNames[:min(len(f.nodeNames), maxNodeColumns)]...)
	text := timeline.Drawing{
		Caption: fmt.Sprintf("%s, seed %d. %s.", f.experiment.Name, f.options.Seed, f.experiment.About),
		Columns: columns,
	}.Draw(
		timelineEvents(f.log.Events()),
	)
	if err := os.WriteFile(filepath.Join(f.options.Dir, timelineFile), []byte(text), 0o644); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	return nil
}

// timelineEvents converts events of the history into events of the timeline: faults, starts and ends of
// processes, and changes of a node's health in the view of another node. It stops at the event that marks the
// end of the run.
func timelineEvents(events []history.Event) (drawn []timeline.Event) {
	previousViews := map[string]map[string]string{} // last view of each node: the health of each member by name
	add := func(e history.Event, column, format string, args ...any) {
		drawn = append(drawn, timeline.Event{At: e.T, Column: column, Text: fmt.Sprintf(format, args...)})
	}
	for _, e := range events {
		switch e.Kind {
		case history.Ending:
			return drawn
		case history.Fault:
			_, do, _ := strings.Cut(e.Detail, "-")
			add(
				e,
				labColumn,
				"%s: %s",
				map[string]string{"begin": do, "end": "end of " + do}[e.How],
				strings.Join(e.Also, ", "),
			)
		case history.Proc:
			add(e, e.Node, "%s", strings.TrimSpace(e.How+" "+e.Detail))
		case history.View:
			view := map[string]string{}
			for _, text := range e.Also {
				name, rest, _ := strings.Cut(text, " ")
				health, _, _ := strings.Cut(rest, " ")
				if view[name] = health; previousViews[e.Node] != nil &&
					previousViews[e.Node][name] != health && name != e.Node {
					add(e, e.Node, "%s: %s", health, name)
				}
			}
			previousViews[e.Node] = view
		}
	}
	slices.SortStableFunc(drawn, func(a, b timeline.Event) int { return int(a.At - b.At) })
	return drawn
}

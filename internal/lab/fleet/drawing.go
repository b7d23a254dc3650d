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
	maxNodeColumns = 8     // more columns are hard to read; the events of other nodes are counted at the foot
)

// writeTimeline writes the history of the nodes and their views into the run's folder, as a text with a
// column for each node.
func (f *fleet) writeTimeline() error {
	columns := append([]string{labColumn}, f.nodeNames[:min(len(f.nodeNames), maxNodeColumns)]...)
	text := timeline.Drawing{
		Caption: fmt.Sprintf("%s, seed %d. %s.", f.experiment.Name, f.options.Seed, f.experiment.About),
		Columns: columns,
	}.Draw(
		timelineEvents(f.log.Events()),
	)
	if err := os.WriteFile(filepath.Join(f.options.Dir, timelineFile), []byte(text), 0o644); err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	return nil
}

// timelineEvents converts the events of the history up to the end of the run: faults, starts and ends of
// processes, and changes in the nodes' views of each other.
func timelineEvents(events []history.Event) (all []timeline.Event) {
	previousViews := map[string]map[string]string{} // health of each node in the view of each node
	tell := func(e history.Event, who, format string, args ...any) {
		all = append(all, timeline.Event{At: e.T, Column: who, Text: fmt.Sprintf(format, args...)})
	}
	for _, e := range events {
		switch e.Kind {
		case history.Ending:
			return all
		case history.Fault:
			_, do, _ := strings.Cut(e.Detail, "-")
			tell(
				e,
				labColumn,
				"%s: %s",
				map[string]string{"begin": do, "end": "end of " + do}[e.How],
				strings.Join(e.Also, ", "),
			)
		case history.Proc:
			tell(e, e.Node, "%s", strings.TrimSpace(e.How+" "+e.Detail))
		case history.View:
			now := map[string]string{}
			for _, text := range e.Also {
				name, rest, _ := strings.Cut(text, " ")
				health, _, _ := strings.Cut(rest, " ")
				if now[name] = health; previousViews[e.Node] != nil &&
					previousViews[e.Node][name] != health && name != e.Node {
					tell(e, e.Node, "%s: %s", health, name)
				}
			}
			previousViews[e.Node] = now
		}
	}
	slices.SortStableFunc(all, func(a, b timeline.Event) int { return int(a.At - b.At) })
	return all
}

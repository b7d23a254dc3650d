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
	drawingFile = "timeline.txt"
	lab         = "lab" // the column of what is done to the others
	mostColumns = 8     // of a drawing that a reader can take in; the others' events are counted at its foot
)

// draw puts the history of the nodes and their views into the run's folder, as text with a column for each.
func (f *fleet) draw() error {
	columns := append([]string{lab}, f.names[:min(len(f.names), mostColumns)]...)
	text := timeline.Drawing{
		Says:    fmt.Sprintf("%s, seed %d. %s.", f.e.Name, f.o.Seed, f.e.About),
		Columns: columns,
	}.Draw(
		drawn(f.log.Events()),
	)
	if err := os.WriteFile(filepath.Join(f.o.Dir, drawingFile), []byte(text), 0o644); err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	return nil
}

// drawn are the events of a history that say what nodes did, and what was done to them, until the run's end.
func drawn(events []history.Event) (all []timeline.Event) {
	last := map[string]map[string]string{} // what each saw of each
	tell := func(e history.Event, who, format string, args ...any) {
		all = append(all, timeline.Event{At: e.T, Who: who, What: fmt.Sprintf(format, args...)})
	}
	for _, e := range events {
		switch e.Kind {
		case history.Ending:
			return all
		case history.Fault:
			_, do, _ := strings.Cut(e.Detail, "-")
			tell(
				e,
				lab,
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
				if now[name] = health; last[e.Node] != nil && last[e.Node][name] != health && name != e.Node {
					tell(e, e.Node, "%s: %s", health, name)
				}
			}
			last[e.Node] = now
		}
	}
	slices.SortStableFunc(all, func(a, b timeline.Event) int { return int(a.At - b.At) })
	return all
}

package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/history"
)

// Run is what a run shows.
type Run struct {
	Figures  Figures         `json:"figures"`
	Verdicts []check.Verdict `json:"verdicts"`
	Late     string          `json:"late,omitempty"` // why times can't be judged; empty: they can
}

// Result is how a run counts.
type Result int

// The results, as a program's exit status.
const (
	Pass Result = iota
	Fail
	Unplayed // the machine was too late to count
)

// Result says how the run counts: a broken rule that rests on order fails it at
// any time, one that rests on times only if the machine was in time.
func (r Run) Result() Result {
	result := Pass
	for _, v := range r.Verdicts {
		switch {
		case v.OK():
		case !v.Timed || r.Late == "":
			return Fail
		default:
			result = Unplayed
		}
	}
	return result
}

// From these on, times are not judged. An aim of 200 ms is the shortest that is
// measured, so a tenth of it may be the lab's; and a node that waits for a core
// for a quarter of its time is measured no more.
const (
	lateP99     = 20 * time.Millisecond
	lateSeconds = 0.1 // part of the run's seconds in which the lab may be later
	lateStalled = 0.25
)

// TooLate says why times of a history can't be judged, or nothing.
func TooLate(events []history.Event, f Figures) string {
	seconds, late := 0, 0
	for _, e := range events {
		if e.Kind == history.Lab {
			seconds++
			if e.P99 > lateP99 {
				late++
			}
		}
	}
	if float64(late) > lateSeconds*float64(seconds) {
		return fmt.Sprintf("in %d of %d seconds the lab's own timers were over %v late", late, seconds, lateP99)
	}
	if f.Stalled > lateStalled {
		return fmt.Sprintf("the nodes' threads waited for a core for %.0f%% of the time", 100*f.Stalled)
	}
	return ""
}

// Line is the run in one line: PASS, FAIL or VOID, its name, and its figures, what broke or why it does not
// count.
func (r Run) Line() string {
	f := r.Figures
	switch r.Result() {
	case Fail:
		for _, v := range r.Verdicts {
			if !v.OK() && (!v.Timed || r.Late == "") {
				more := ""
				if n := len(v.Broken) - 1; n > 0 {
					more = fmt.Sprintf(" (and %d more)", n)
				}
				return fmt.Sprintf("FAIL %s: seed %d, %s: %s%s", f.Name, f.Seed, v.Name, v.Broken[0], more)
			}
		}
	case Unplayed:
		return fmt.Sprintf("VOID %s: seed %d, the machine was too late to count: %s", f.Name, f.Seed, r.Late)
	}
	return fmt.Sprintf(
		"PASS %s: seed %d, asked %d, in time %.4f, late %.4f, refused %.4f, failed %.4f, attempts %.3f",
		f.Name,
		f.Seed,
		f.All.Asked,
		f.All.Served(),
		f.All.part(f.All.Late),
		f.All.part(f.All.Refused),
		f.All.part(f.All.Failed),
		f.Attempts,
	)
}

const summaryFile = "summary.json"

// Write puts the summary, the plots and the page of a run into its folder and gives the page's path.
func (r Run) Write(dir string) (page string, err error) {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", fmt.Errorf("summary: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, summaryFile), raw, 0o644); err != nil {
		return "", fmt.Errorf("summary: %w", err)
	}
	return r.writePage(dir)
}

// Read returns the run whose report lies in a folder.
func Read(dir string) (Run, error) {
	raw, err := os.ReadFile(filepath.Join(dir, summaryFile))
	if err != nil {
		return Run{}, fmt.Errorf("%s is not the report of a run: %w", dir, err)
	}
	var r Run
	if err := json.Unmarshal(raw, &r); err != nil {
		return Run{}, fmt.Errorf("%s: %w", filepath.Join(dir, summaryFile), err)
	}
	return r, nil
}

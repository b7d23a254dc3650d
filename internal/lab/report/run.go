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

// Run holds the results of a run: its figures and the verdicts of the checks.
type Run struct {
	Figures  Figures         `json:"figures"`
	Verdicts []check.Verdict `json:"verdicts"`
	Late     string          `json:"late,omitempty"` // why rules about times can't be judged; empty if they can
}

// Result says whether a run passed, failed or does not count.
type Result int

// The results. Their values are the program's exit status.
const (
	Pass Result = iota
	Fail
	Void // the machine was too slow for the run to count
)

// Result returns the overall result. A broken rule about the order of events always fails the run; a broken
// rule about times fails it only if the machine was fast enough.
func (r Run) Result() Result {
	result := Pass
	for _, v := range r.Verdicts {
		switch {
		case v.OK():
		case !v.Timed || r.Late == "":
			return Fail
		default:
			result = Void
		}
	}
	return result
}

// Above these limits, rules about times are not judged. The shortest latency objective is 200 ms, and a tenth
// of it may be due to the lab. If the nodes wait for a core for a quarter of the time, the run measures the
// machine and not the nodes.
const (
	maxLabLateP99       = 20 * time.Millisecond
	maxLateSecondsShare = 0.1 // share of the run's seconds in which the lab may exceed maxLabLateP99
	maxStalledShare     = 0.25
)

// TooLate returns the reason why rules about times can't be judged on a history, or an empty string if they
// can.
func TooLate(events []history.Event, f Figures) string {
	seconds, late := 0, 0
	for _, e := range events {
		if e.Kind == history.Lab {
			seconds++
			if e.P99 > maxLabLateP99 {
				late++
			}
		}
	}
	if float64(late) > maxLateSecondsShare*float64(seconds) {
		return fmt.Sprintf("in %d of %d seconds the lab's own timers were over %v late",
			late, seconds, maxLabLateP99)
	}
	if f.Stalled > maxStalledShare {
		return fmt.Sprintf("the nodes' threads waited for a core for %.0f%% of the time", 100*f.Stalled)
	}
	return ""
}

// Line returns the run in one line: PASS, FAIL or VOID, the experiment's name and seed, and then the figures,
// the first broken rule, or the reason why the run does not count.
func (r Run) Line() string {
	f := r.Figures
	switch r.Result() {
	case Fail:
		for _, v := range r.Verdicts {
			if !v.OK() && (!v.Timed || r.Late == "") {
				suffix := ""
				if n := len(v.Broken) - 1; n > 0 {
					suffix = fmt.Sprintf(" (and %d more)", n)
				}
				return fmt.Sprintf("FAIL %s: seed %d, %s: %s%s", f.Name, f.Seed, v.Name, v.Broken[0], suffix)
			}
		}
	case Void:
		return fmt.Sprintf("VOID %s: seed %d, the machine was too late to count: %s", f.Name, f.Seed, r.Late)
	}
	return fmt.Sprintf(
		"PASS %s: seed %d, asked %d, in time %.4f, late %.4f, refused %.4f, failed %.4f, attempts %.3f",
		f.Name,
		f.Seed,
		f.All.Asked,
		f.All.Served(),
		f.All.share(f.All.Late),
		f.All.share(f.All.Refused),
		f.All.share(f.All.Failed),
		f.Attempts,
	)
}

const summaryFile = "summary.json"

// Write writes the summary, the plots and the page of a run into a folder, and returns the page's path.
func (r Run) Write(dir string) (page string, err error) {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", fmt.Errorf("encode summary: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, summaryFile), raw, 0o644); err != nil {
		return "", fmt.Errorf("write summary: %w", err)
	}
	return r.writePage(dir)
}

// Read returns the run whose summary is in a folder.
func Read(dir string) (Run, error) {
	raw, err := os.ReadFile(filepath.Join(dir, summaryFile))
	if err != nil {
		return Run{}, fmt.Errorf("read summary of a run: folder %s: %w", dir, err)
	}
	var r Run
	if err := json.Unmarshal(raw, &r); err != nil {
		return Run{}, fmt.Errorf("parse summary %s: %w", filepath.Join(dir, summaryFile), err)
	}
	return r, nil
}

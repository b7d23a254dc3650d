package fleet

import (
	"context"
	"errors"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/spec"
)

// shortExperiment is an experiment that is long enough to show the fault of most stand-ins.
const shortExperiment = `
length = "3s"
[fleet]
nodes = 2
boxes = 4
zones = 2
memory_mb = 256
[discovery]
notice = "10ms"
[load]
rate = 60
`

// drainExperiment is longer and drains a backend, whose process ends 3 s after the drain begins
// (drainServingShare of 5 s).
const drainExperiment = `
length = "6s"
[fleet]
nodes = 2
boxes = 4
zones = 2
[discovery]
notice = "10ms"
[load]
rate = 60
[[fault]]
at = "100ms"
for = "5s"
do = "drain"
on = ["s1"]
`

// crashExperiment is shortExperiment with a backend that crashes and returns cold after half a second.
const crashExperiment = shortExperiment + `
[[fault]]
at = "100ms"
for = "500ms"
do = "crash"
on = ["s1"]
`

func playStandIn(t *testing.T, mode, text string) report.Run {
	t.Helper()
	e, err := spec.Parse("test.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	run, err := Play(context.Background(), Options{
		Experiment:  e,
		Seed:        5,
		Dir:         t.TempDir(),
		NodeCommand: []string{os.Args[0]},
		Env:         []string{"STANDIN=" + mode},
	})
	if err != nil {
		t.Fatal(err)
	}
	return run
}

// TestEachCheckFindsTheStandInThatBreaksItsRule checks that a node that follows all rules passes, and that
// each node that breaks one rule fails the check of this rule.
func TestEachCheckFindsTheStandInThatBreaksItsRule(t *testing.T) {
	for mode, c := range map[string]struct {
		text   string
		breaks []string
	}{
		"correct":                   {shortExperiment, nil},
		"duplicates-concurrently":   {shortExperiment, []string{"one-at-a-time", "unsafe-once"}},
		"repeats-after-response":    {shortExperiment, []string{"unsafe-once", "key-once"}},
		"drops-response":            {shortExperiment, []string{"answered"}},
		"responds-without-backend":  {shortExperiment, []string{"own-answer"}},
		"responds-to-other-request": {shortExperiment, []string{"own-answer"}},
		"changes-request-id":        {shortExperiment, []string{"as-sent"}},
		"ignores-drain":             {drainExperiment, []string{"drains"}},
		"sends-all-to-one-backend":  {crashExperiment, []string{"cold"}},
		"exits-with-error":          {shortExperiment, []string{"processes"}},
		"ignores-sigterm":           {shortExperiment, []string{"processes"}},
		"leaks-memory":              {shortExperiment, []string{"limits"}},
	} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			run := playStandIn(t, mode, c.text)
			for range 3 { // a run on a machine that was late proves nothing about times
				if run.Late != "" {
					run = playStandIn(t, mode, c.text)
				}
			}
			for _, v := range run.Verdicts {
				switch {
				case slices.Contains(c.breaks, v.Name):
					if v.OK() {
						t.Errorf("%s has seen %d and finds nothing", v.Name, v.Seen)
					}
				case c.breaks == nil && !v.OK() && (!v.Timed || run.Late == ""):
					t.Errorf("%s: %v", v.Name, v.Broken[0])
				}
			}
			if (run.Result() == report.Fail) != (c.breaks != nil) && run.Late == "" {
				t.Error(run.Line())
			}
		})
	}
}

// TestInterruptedRunReportsCancellationAndLeavesNoProcesses checks that a cancelled run leaves no process and
// no goroutine running, and returns the cancellation.
func TestInterruptedRunReportsCancellationAndLeavesNoProcesses(t *testing.T) {
	defer goleak.VerifyNone(t)
	e, err := spec.Parse("test.toml", `length = "1h"`)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var pids []int
	_, err = Play(ctx, Options{
		Experiment:  e,
		Seed:        1,
		Dir:         t.TempDir(),
		NodeCommand: []string{os.Args[0]},
		Env:         []string{"STANDIN=correct"},
		Follow: func(e history.Event) {
			if e.Kind == history.Proc && e.How == "start" {
				pids = append(pids, e.Pid)
			}
			if e.Kind == history.Over {
				cancel()
			}
		},
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the interrupted run returned %v, want context.Canceled", err)
	}
	if len(pids) != 3 {
		t.Errorf("%d processes were started, want 3", len(pids))
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is still there: %v", pid, err)
		}
	}
}

// TestRunWhoseNodesCantStartIsAnErrorAndNoVerdict checks that a node that can't be started is an error of the
// lab, not a verdict on the program.
func TestRunWhoseNodesCantStartIsAnErrorAndNoVerdict(t *testing.T) {
	e, err := spec.Parse("test.toml", `length = "2s"`)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for name, command := range map[string][]string{
		"command does not exist": {"/nonexistent"}, "process exits at once": {"/bin/false"}} {
		if _, err := Play(ctx, Options{Experiment: e, Seed: 1, Dir: t.TempDir(), NodeCommand: command}); err == nil {
			t.Errorf("%s: the run returned no error", name)
		}
	}
}

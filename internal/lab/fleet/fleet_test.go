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

// short is an experiment that shows what each stand-in breaks.
const short = `
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

// drained also drains a backend, whose process stays until 2.4 s later.
const drained = `
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

// returned also has a backend return cold, after half a second.
const returned = short + `
[[fault]]
at = "100ms"
for = "500ms"
do = "crash"
on = ["s1"]
`

func play(t *testing.T, mode, text string) report.Run {
	t.Helper()
	e, err := spec.Parse("test.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	run, err := Play(context.Background(), Options{Experiment: e, Seed: 5, Dir: t.TempDir(), Node: []string{os.Args[0]}, Env: []string{"STANDIN=" + mode}})
	if err != nil {
		t.Fatal(err)
	}
	return run
}

// TestStandIns: a node that keeps the rules passes, and each that breaks one is found out by the check for it.
func TestStandIns(t *testing.T) {
	for mode, c := range map[string]struct {
		text   string
		breaks []string
	}{
		"plain":  {short, nil},
		"both":   {short, []string{"one-at-a-time", "unsafe-once"}},
		"repeat": {short, []string{"unsafe-once", "key-once"}},
		"lose":   {short, []string{"answered"}},
		"invent": {short, []string{"own-answer"}},
		"swap":   {short, []string{"own-answer"}},
		"stray":  {short, []string{"as-sent"}},
		"drains": {drained, []string{"drains"}},
		"push":   {returned, []string{"cold"}},
		"exit":   {short, []string{"processes"}},
		"stay":   {short, []string{"processes"}},
		"grow":   {short, []string{"limits"}},
	} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			run := play(t, mode, c.text)
			for range 3 { // a run in which the machine was late shows nothing of times
				if run.Late != "" {
					run = play(t, mode, c.text)
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

// TestInterrupted: a run that is called off leaves nothing running and says so.
func TestInterrupted(t *testing.T) {
	defer goleak.VerifyNone(t)
	e, err := spec.Parse("test.toml", `length = "1h"`)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var pids []int
	_, err = Play(ctx, Options{Experiment: e, Seed: 1, Dir: t.TempDir(), Node: []string{os.Args[0]}, Env: []string{"STANDIN=plain"},
		Follow: func(e history.Event) {
			if e.Kind == history.Proc && e.How == "start" {
				pids = append(pids, e.Pid)
			}
			if e.Kind == history.Over {
				cancel()
			}
		}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("it says %v", err)
	}
	if len(pids) != 3 {
		t.Errorf("%d processes were started", len(pids))
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is still there: %v", pid, err)
		}
	}
}

// TestNotPlayed: what can't be started is an error of the lab, not a verdict.
func TestNotPlayed(t *testing.T) {
	e, err := spec.Parse("test.toml", `length = "2s"`)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for name, command := range map[string][]string{"none": {"/nonexistent"}, "ends": {"/bin/false"}} {
		if _, err := Play(ctx, Options{Experiment: e, Seed: 1, Dir: t.TempDir(), Node: command}); err == nil {
			t.Errorf("%s: it was played", name)
		}
	}
}

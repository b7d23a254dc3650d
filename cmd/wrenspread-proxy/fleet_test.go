package main

import (
	"context"
	"os"
	"testing"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/spec"
)

// faultyExperiment is a short run of real proxies with most of the faults that the lab can cause.
const faultyExperiment = `
length = "9s"
[fleet]
nodes = 3
boxes = 6
memory_mb = 512 # the race detector's own
messages = true
accept_fd = true
[discovery]
notice = "100ms"
[load]
rate = 50
[[fault]]
at = "1s"
for = "1s"
do = "kill"
on = ["n0"]
[[fault]]
at = "2s"
for = "1s"
do = "pause"
on = ["n1"]
[[fault]]
at = "3s"
for = "1500ms"
do = "cut"
on = ["zone:klein-windhoek"]
to = ["zone:southern-ind", "zone:okuryangava"]
[[fault]]
at = "4s"
do = "upgrade"
on = ["n2"]
[[fault]]
at = "4500ms"
for = "4s"
do = "drain"
on = ["s2"]
[[fault]]
at = "5s"
for = "1s"
do = "crash"
on = ["s5"]
[[fault]]
at = "6s"
do = "move"
`

// TestFleetKeepsInvariantsUnderFaults: three real proxies keep all invariants while processes, links,
// backends and discovery fail. Times are not checked if the machine was too busy during the run.
func TestFleetKeepsInvariantsUnderFaults(t *testing.T) {
	experiment, err := spec.Parse("faulty.toml", faultyExperiment)
	if err != nil {
		t.Fatal(err)
	}
	run, err := fleet.Play(context.Background(), fleet.Options{Experiment: experiment, Seed: 11, Dir: t.TempDir(),
		NodeCommand: []string{os.Args[0]}, Env: []string{"WRENSPREAD_PROXY_AS_PROGRAM=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(run.Line())
	if run.Result() == report.Fail {
		for _, v := range run.Verdicts {
			for _, f := range v.Broken {
				t.Errorf("%s: %s", v.Name, f)
			}
		}
	}
	if run.Figures.All.InTime == 0 {
		t.Error("no request was served in time")
	}
}

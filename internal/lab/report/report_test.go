package report

import (
	"os"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/spec"
)

// sampleHistory returns a history of 20 s with 20 operations per second. The operations due from 5 to 9 s
// fail; a fault lasts from 5 to 7 s.
func sampleHistory() []history.Event {
	events := []history.Event{{Kind: history.Meta, Detail: "day", Seed: 4, Took: 20 * time.Second}}
	for i := range 400 {
		due := time.Duration(i) * 50 * time.Millisecond
		e := history.Event{T: due + 80*time.Millisecond, Kind: history.Over, Op: i + 1, Class: "a", Node: "n0", How: history.Served, Took: 80 * time.Millisecond}
		switch {
		case due >= 5*time.Second && due < 9*time.Second:
			e.How = history.Broken
		case i%100 == 0:
			e.Took = 300 * time.Millisecond // late
		case i%100 == 1:
			e.How = history.Refused
		}
		events = append(events, history.Event{T: due, Kind: history.Due, Op: i + 1, Class: "a"}, e)
	}
	return append(events, history.Event{T: 5 * time.Second, Kind: history.Fault, How: "begin", Detail: "1-kill", Nodes: []string{"n0"}},
		history.Event{T: 7 * time.Second, Kind: history.Fault, How: "end", Detail: "1-kill", Nodes: []string{"n0"}})
}

var objectives = map[string]time.Duration{"a": 200 * time.Millisecond}

func TestFiguresCountOutcomesRecoveryAndLatency(t *testing.T) {
	f := Compute(sampleHistory(), objectives)
	if want := (Count{Asked: 400, InTime: 314, Late: 3, Refused: 3, Failed: 80}); f.All != want || f.Classes["a"] != want || f.Nodes["n0"].Count != want {
		t.Errorf("counts %+v, want %+v", f.All, want)
	}
	if got := f.Recovered(0.9); got != 2*time.Second {
		t.Errorf("recovered after %v, want 2s", got)
	}
	if got := f.Recovered(1.01); got >= 0 {
		t.Errorf("recovered after %v to a level that was never reached", got)
	}
	if p := f.Latency["a"]; p.P50 < 79*time.Millisecond || p.P50 > 81*time.Millisecond || p.Max < 299*time.Millisecond {
		t.Errorf("latency %+v", p)
	}
}

// TestEachBoundPassesAtItsValueAndFailsBeyond: figures at a bound pass, and figures just beyond it fail.
func TestEachBoundPassesAtItsValueAndFailsBeyond(t *testing.T) {
	f := Compute(sampleHistory(), objectives)
	share := func(v float64) *float64 { return &v }
	for name, c := range map[string]struct{ kept, broken spec.Bounds }{
		"served":    {spec.Bounds{Served: 0.785}, spec.Bounds{Served: 0.786}},
		"failed":    {spec.Bounds{Failed: share(0.2)}, spec.Bounds{Failed: share(0.199)}},
		"refused":   {spec.Bounds{Refused: share(0.0075)}, spec.Bounds{Refused: share(0)}},
		"class":     {spec.Bounds{Class: map[string]float64{"a": 0.785}}, spec.Bounds{Class: map[string]float64{"a": 0.9}}},
		"p99":       {spec.Bounds{P99: map[string]string{"a": "310ms"}}, spec.Bounds{P99: map[string]string{"a": "70ms"}}},
		"recovered": {spec.Bounds{Recovered: spec.Duration(2 * time.Second), Level: 0.9}, spec.Bounds{Recovered: spec.Duration(time.Second), Level: 0.9}},
	} {
		if v := Bounds(f, c.kept); !v.OK() || v.Seen == 0 {
			t.Errorf("%s: %v", name, v.Broken)
		}
		if Bounds(f, c.broken).OK() {
			t.Errorf("%s: figures beyond the bound pass", name)
		}
	}
}

// TestLateMachineVoidsOnlyTimedVerdicts: on a slow machine rules about times are not judged, but rules about
// order are.
func TestLateMachineVoidsOnlyTimedVerdicts(t *testing.T) {
	bad := []check.Finding{{Text: "x"}}
	for _, c := range []struct {
		timed bool
		late  string
		want  Result
	}{{true, "", Fail}, {true, "late", Void}, {false, "", Fail}, {false, "late", Fail}} {
		r := Run{Verdicts: []check.Verdict{{Name: "v", Timed: c.timed, Broken: bad}}, Late: c.late}
		if got := r.Result(); got != c.want || !strings.HasPrefix(r.Line(), map[Result]string{Fail: "FAIL", Void: "VOID"}[c.want]) {
			t.Errorf("%+v: result %d, line %s", c, got, r.Line())
		}
	}
	slow := []history.Event{{Kind: history.Lab, P99: time.Second}, {Kind: history.Lab}}
	if TooLate(slow, Figures{}) == "" || TooLate(nil, Figures{Stalled: 0.3}) == "" || TooLate(slow[1:], Figures{}) != "" {
		t.Error("TooLate does not report a late lab or stalled nodes, or reports a lab that is not late")
	}
}

// TestPageNeedsNoOtherFileAndSummaryReadsBack: the page is written and needs no other file, and reading the
// summary returns the same run.
func TestPageNeedsNoOtherFileAndSummaryReadsBack(t *testing.T) {
	dir := t.TempDir()
	run := Run{Figures: Compute(sampleHistory(), objectives), Verdicts: []check.Verdict{{Name: "answered", Broken: []check.Finding{{ID: "<id>", Text: "lost"}}}}}
	page, err := run.Write(dir)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(text), "&lt;id&gt;") || strings.Count(string(text), "<svg") != 3 || strings.Contains(string(text), "src=") {
		t.Errorf("%v: the page of %d bytes lacks a plot, or a finding, or needs other files", err, len(text))
	}
	got, err := Read(dir)
	if err != nil || got.Line() != run.Line() {
		t.Errorf("summary read back: error %v, line %s", err, got.Line())
	}
	var b strings.Builder
	if err := Compare(&b, run, got); err != nil || !strings.Contains(b.String(), "all in time") {
		t.Errorf("%v: %s", err, b.String())
	}
}

package scale

import (
	"testing"
	"time"

	"wrenspread/internal/lab/report"
)

// TestHarmCountsLossesBeyondRunWithoutFaults checks that harm is the share of requests lost during a fault,
// less the share lost in the same time without the fault, and that a run in which the lab was late is
// refused.
func TestHarmCountsLossesBeyondRunWithoutFaults(t *testing.T) {
	runThatLost := func(lost int) report.Run {
		f := report.Figures{Faults: []report.Span{{From: time.Second, To: 2 * time.Second}}}
		for i, n := range []int{0, lost, 1} {
			f.Seconds = append(f.Seconds, report.Second{At: time.Duration(i) * time.Second, Count: report.Count{Asked: 10, InTime: 10 - n, Failed: n}})
		}
		return report.Run{Figures: f}
	}
	f, err := harmed(runThatLost(5), runThatLost(2))
	if err != nil || roundToFourDigits(f["harmed_share"]) != 0.3 || f["failed_share"] != 0.5 || f["asked"] != 10 || roundToFourDigits(f["whole_run_share"]) != 0.1 {
		t.Error(f, err)
	}
	late := runThatLost(5)
	late.Late = "a busy machine"
	if _, err := harmed(late, runThatLost(2)); err == nil {
		t.Error("a run in which the lab was late is accepted")
	}
}

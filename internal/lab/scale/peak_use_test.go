package scale

import (
	"context"
	"os"
	"testing"

	"wrenspread/internal/lab/process"
)

// TestPeaksOfAShortChangeAreSampledForASecond checks that sampling continues for a second if the change ends
// sooner. Fewer samples give no peak, so that the peaks were recorded as 0 on a busy machine.
func TestPeaksOfAShortChangeAreSampledForASecond(t *testing.T) {
	self := []*process.Proc{{Pid: os.Getpid()}}
	changing, stop := context.WithCancel(context.Background())
	stop()
	nodes, replica, err := samplePeaks(context.Background(), changing, self, self)
	if err != nil || nodes.rss <= 0 || replica.rss <= 0 {
		t.Errorf("samplePeaks = %+v, %+v, %v, want the memory of this process in both", nodes, replica, err)
	}
}

// TestPeaksWithoutAWholeSecondAreAnError checks that sampling that is cancelled within its first second
// returns an error, not peaks of 0.
func TestPeaksWithoutAWholeSecondAreAnError(t *testing.T) {
	self := []*process.Proc{{Pid: os.Getpid()}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if nodes, replica, err := samplePeaks(ctx, ctx, self, self); err == nil {
		t.Errorf("samplePeaks of a cancelled context = %+v, %+v without an error", nodes, replica)
	}
}

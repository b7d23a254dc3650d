package balancer

import (
	"math"
	"testing"
)

// The modes change exactly at the thresholds, which differ by direction.
func TestNextModeThresholds(t *testing.T) {
	const low, high, block = 3, 5, 9
	for _, c := range []struct {
		from     Mode
		inFlight float64
		want     Mode
	}{
		{Normal, 4, Normal}, {Normal, 5, Overloaded}, // above high-1
		{Normal, 8, Overloaded}, {Normal, 9, Blocking}, // above block-1
		{Overloaded, 3, Overloaded}, {Overloaded, 2, Normal}, // below low
		{Overloaded, 8, Overloaded}, {Overloaded, 9, Blocking},
		{Blocking, 6, Blocking}, {Blocking, 5, Overloaded}, // below high+1
	} {
		if got := NextMode(c.from, c.inFlight, low, high, block); got != c.want {
			t.Errorf("from mode %v with %v in flight: %v, want %v", c.from, c.inFlight, got, c.want)
		}
	}
}

// In the comments, others are the requests without priority.
func TestSplitSheddingDropsRequestsWithoutPriorityFirst(t *testing.T) {
	for _, c := range []struct{ drop, priorityArrivals, otherArrivals, priorityDrop, otherDrop float64 }{
		{0.3, 50, 50, 0, 0.6},  // dropping some others suffices
		{0.5, 50, 50, 0, 1},    // exactly all others are dropped
		{0.75, 50, 50, 0.5, 1}, // priority requests are dropped, too
		{1, 50, 50, 1, 1},
		{0.4, 50, 0, 0.4, 0}, // there are no others
		{0.4, 0, 50, 0, 0.4}, // there are no priority requests
		{1, 0, 50, 0, 1},
		{0, 10, 10, 0, 0},
	} {
		priorityDrop, otherDrop := SplitShedding(c.drop, c.priorityArrivals, c.otherArrivals)
		if math.Abs(priorityDrop-c.priorityDrop) > 1e-9 || math.Abs(otherDrop-c.otherDrop) > 1e-9 {
			t.Errorf("drop %v, arrivals %v and %v: drop probabilities %v and %v, want %v and %v", c.drop, c.priorityArrivals, c.otherArrivals, priorityDrop, otherDrop, c.priorityDrop, c.otherDrop)
		}
	}
}

func TestPriorityFractionGrowsWithWeight(t *testing.T) {
	if priorityFraction(12, 12) != 1 || priorityFraction(1, 12) != 0 || priorityFraction(0, 0) != 0 {
		t.Error("want 1 for the highest weight, 0 for a twelfth of it and for no weight")
	}
	if fraction := priorityFraction(5, 10); fraction < 0.4 || fraction > 0.5 {
		t.Errorf("half the highest weight: fraction %v, want 0.4 to 0.5", fraction)
	}
}

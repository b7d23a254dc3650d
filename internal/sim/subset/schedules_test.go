package subset

import (
	"context"
	"flag"
	"runtime"
	"testing"

	"wrenspread/internal/sim"
)

var schedules = flag.Int("schedules", 60, "number of schedules that are drawn for each number of replicas")

// TestRandomSchedulesViolateNoCheck: random schedules violate no check, with one replica and with three.
func TestRandomSchedulesViolateNoCheck(t *testing.T) {
	for _, replicas := range []int{1, 3} {
		p := play(replicas, nil)
		err := p.Series(context.Background(), 1, *schedules, runtime.GOMAXPROCS(0), func(result sim.ScheduleResult) {
			if result.Violation != nil {
				t.Errorf("%d replicas: %s", replicas, p.Explain(result.Seed, result.Faults, result.Violation))
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

package subset

import (
	"context"
	"flag"
	"runtime"
	"testing"

	"wrenspread/internal/sim"
)

var schedules = flag.Int("schedules", 60, "drawn for each number of replicas")

// Random schedules violate no check, with one replica and with three.
func TestRandomSchedulesViolateNoCheck(t *testing.T) {
	for _, replicas := range []int{1, 3} {
		p := play(replicas, nil)
		err := p.Series(context.Background(), 1, *schedules, runtime.GOMAXPROCS(0), func(played sim.ScheduleResult) {
			if played.Violation != nil {
				t.Errorf("%d replicas: %s", replicas, p.Explain(played.Seed, played.Faults, played.Violation))
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

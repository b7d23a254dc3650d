package subset

import (
	"context"
	"flag"
	"runtime"
	"testing"

	"wrenspread/internal/sim"
)

var schedules = flag.Int("schedules", 60, "drawn for each number of replicas")

// Drawn schedules break nothing, before one replica and before three.
func TestSchedules(t *testing.T) {
	for _, replicas := range []int{1, 3} {
		p := play(replicas, nil)
		err := p.Series(context.Background(), 1, *schedules, runtime.GOMAXPROCS(0), func(one sim.Played) {
			if one.Broken != nil {
				t.Errorf("%d replicas: %s", replicas, p.Explain(one.Seed, one.Faults, one.Broken))
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

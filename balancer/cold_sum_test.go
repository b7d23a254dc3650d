package balancer_test

import (
	"fmt"
	"testing"
	"time"
)

// A cold server falls when all nodes together send it more than N + 2 x root of N + 2 in the overload time. Nodes know
// nothing of each other, so this has to hold for any number of them, also where the server shows no queue that would
// keep nodes away; and it has to get what it can do, a third of N here, or near it where it is wanted.
func TestColdServerUnderTheSumOfNodes(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name string
		day  coldDay
		used float64 // least part of all N that it gets, on average over the plays
	}{
		{"joined", coldDay{load: 0.7}, 0.15},
		{"joined, busy", coldDay{load: 1.1}, 0.25},
		{"returned, busy", coldDay{load: 1.1, down: s}, 0.2},
		{"returned into a burst", coldDay{load: 0.7, down: s, burst: 1}, 0.15},
		{"told late, burst", coldDay{load: 0.7, down: 2 * s, late: 6 * s, burst: 6 * s}, 0.15},
		{"nodes restart, burst", coldDay{load: 0.7, down: 2 * s, restarts: true, burst: 8 * s}, 0.15},
		{"suspects, burst", coldDay{load: 0.7, down: 2 * s, suspects: 1, burst: 3 * s}, 0.1},
		{"cut off in its ramp", coldDay{load: 0.7, cut: 3 * s}, 0.15},
		{"cut off, busy", coldDay{load: 1.1, cut: 3 * s}, 0.25},
		{"suspects after a quiet time", coldDay{load: 0.25, down: s, suspects: 4 * s, burst: 4 * s}, 0.08},
		{"small, returned, busy", coldDay{load: 1.1, down: s, size: 0.3}, 0.15},
		{"large, busy", coldDay{load: 1.1, size: 2}, 0.25},
		{"half of the nodes are dead, busy", coldDay{load: 1.1, dead: 0.5}, 0.25},
		{"heavy requests, burst", coldDay{load: 0.7, down: 2 * s, heavy: true, burst: 3 * s}, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			total, plays := 0.0, 0.0
			for _, n := range []int{1, 3, 10, 20, 30, 300} {
				for _, flat := range []bool{true, false} {
					if n == 300 && (!flat || c.day.load < 1 && c.day.late == 0) {
						continue // long to play: the hard ones only
					}
					d := c.day
					d.nodes, d.servers, d.flat, d.rate, d.base = n, max(8, n/6), flat, 16, 30*time.Millisecond
					d.factor, d.window, d.ramp = 3, 1500*time.Millisecond, 20*s
					name := fmt.Sprintf("%d nodes, flat %v", n, flat)
					windows, over, worst, used := playCold(d, int64(n)).windows()
					t.Logf("%s: %.0f%% of its budget used, at most %.2f of the bound", name, 100*used, worst)
					if over > 0 {
						t.Errorf("%s: %d of %d windows over, the worst %.2f of the bound", name, over, windows, worst)
					}
					total, plays = total+used, plays+1
				}
			}
			if total < c.used*plays {
				t.Errorf("it got %.3f of its budget, want %.2f", total/plays, c.used)
			}
		})
	}
}

// The bound comes from the settings alone, and so holds for slow servers and short windows, where N is about one.
func TestColdServerUnderTheSumWhereLittleIsAllowed(t *testing.T) {
	for seed := range int64(3) {
		for _, n := range []int{3, 10, 30} {
			for _, heavy := range []bool{true, false} {
				windows, over, worst, _ := playCold(coldDay{nodes: n, servers: 8, load: 1.1, rate: 4, base: 30 * time.Millisecond,
					flat: true, down: time.Second, burst: 1, heavy: heavy, factor: 1.5, window: 750 * time.Millisecond, ramp: 20 * time.Second}, seed).windows()
				if over > 0 {
					t.Errorf("%d nodes: %d of %d windows over, the worst %.2f of the bound", n, over, windows, worst)
				}
			}
		}
	}
}

package scale

import "testing"

// TestSay: a play's figures come with their units, the largest play speaks, and what was not run says so.
func TestSay(t *testing.T) {
	few := Point{Sizes: map[string]int{"nodes": 10, "backends": 200}, Figures: map[string]Spread{"settled_s": {Median: 9}}}
	many := Point{Sizes: map[string]int{"nodes": 100, "backends": 200}, Trial: "more entries", Figures: map[string]Spread{"settled_s": {Median: 0.5, Least: 0.25, Most: 2},
		"back_peak_bytes_per_s": {Median: 2000}, "used_least": {Median: 0.25}, "peak_cores": {Median: 0.75}}}
	m := measured{After, map[string]Record{"zone": {Points: []Point{many, few}}}}
	back := m.play("zone")
	back.prefix = "back_"
	for got, want := range map[string]string{
		m.play("zone").sizes():                                     "200 backends, 100 nodes (trial)",
		m.play("zone").say("after {settled_s}"):                    "after 500 ms (250 ms to 2 s)",
		m.play("zone").say("{used_least:share}, {peak_cores}"):     "25%, 0.75 cores",
		back.say("{peak_bytes_per_s}"):                             "2 kB",
		m.play("zone").say("{other_s}"):                            notRun,
		m.play("rack").say("{settled_s}") + m.play("rack").sizes(): notRun + notRun,
	} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

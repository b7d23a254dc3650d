package scale

import "testing"

// TestFigureSentencesUseLargestPointAndUnits checks that the texts have the figures of the largest point,
// with their units, and say so if a figure was not measured.
func TestFigureSentencesUseLargestPointAndUnits(t *testing.T) {
	few := Point{Sizes: map[string]int{"nodes": 10, "backends": 200}, Figures: map[string]Spread{"settled_s": {Median: 9}}}
	many := Point{Sizes: map[string]int{"nodes": 100, "backends": 200}, Trial: "more entries", Figures: map[string]Spread{"settled_s": {Median: 0.5, Min: 0.25, Max: 2},
		"back_peak_bytes_per_s": {Median: 2000}, "used_least": {Median: 0.25}, "peak_cores": {Median: 0.75}}}
	m := labelRecords{After, map[string]Record{"zone": {Points: []Point{many, few}}}}
	back := m.largestPoint("zone")
	back.prefix = "back_"
	for got, want := range map[string]string{
		m.largestPoint("zone").sizes():                                                "200 backends, 100 nodes (trial)",
		m.largestPoint("zone").fillIn("after {settled_s}"):                            "after 500 ms (250 ms to 2 s)",
		m.largestPoint("zone").fillIn("{used_least:share}, {peak_cores}"):             "25%, 0.75 cores",
		back.fillIn("{peak_bytes_per_s}"):                                             "2 kB",
		m.largestPoint("zone").fillIn("{other_s}"):                                    notRun,
		m.largestPoint("rack").fillIn("{settled_s}") + m.largestPoint("rack").sizes(): notRun + notRun,
	} {
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

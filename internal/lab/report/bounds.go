package report

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/spec"
)

// Bounds compares the figures of a run with its experiment's bounds. The verdict's findings are the broken
// bounds.
func Bounds(f Figures, b spec.Bounds) check.Verdict {
	v := check.Verdict{Name: "bounds", Rule: "the experiment's bounds", Timed: true}
	require := func(ok bool, format string, args ...any) {
		v.Seen++
		if !ok {
			v.Broken = append(v.Broken, check.Finding{Text: fmt.Sprintf(format, args...)})
		}
	}
	if f.All.Asked == 0 {
		require(false, "nothing was asked for")
		return v
	}
	if b.Served > 0 {
		require(f.All.Served() >= b.Served, "served %.4f, want %v", f.All.Served(), b.Served)
	}
	if b.Failed != nil {
		got := f.All.share(f.All.Failed)
		require(got <= *b.Failed, "failed %.4f, want %v at most", got, *b.Failed)
	}
	if b.Refused != nil {
		got := f.All.share(f.All.Refused)
		require(got <= *b.Refused, "refused %.4f, want %v at most", got, *b.Refused)
	}
	for _, c := range slices.Sorted(maps.Keys(b.Class)) {
		require(f.Classes[c].Served() >= b.Class[c],
			"%s served %.4f, want %v", c, f.Classes[c].Served(), b.Class[c])
	}
	for _, c := range slices.Sorted(maps.Keys(b.P99)) {
		bound, _ := time.ParseDuration(b.P99[c]) // checked when the file was parsed
		require(f.Latency[c].P99 <= bound, "%s: 99th percentile %v, want %v at most", c, f.Latency[c].P99, bound)
	}
	if b.Recovered > 0 {
		level := b.Level * f.Baseline()
		got := f.Recovered(level)
		require(
			got >= 0 && got <= time.Duration(b.Recovered),
			"back at %.4f %v after the last fault (negative: never), want %v at most",
			level,
			got,
			time.Duration(b.Recovered),
		)
	}
	if b.Attempts > 0 {
		require(f.Attempts <= b.Attempts, "%.3f attempts an operation, want %v at most", f.Attempts, b.Attempts)
	}
	return v
}

package scale

import (
	"context"
	"fmt"

	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/spec"
)

// Harm plays an experiment with and without its faults, with a new seed for each repetition. It records by
// how much the faults increase the share of requests that are not served within their latency objective while
// the faults are active.
func Harm(
	ctx context.Context,
	run Run,
	e *spec.Experiment,
	play func(context.Context, *spec.Experiment, uint64) (report.Run, error),
	reportPoint func(Point),
) error {
	return run.record(e.Name, func() ([]Point, error) {
		seed := uint64(0)
		p, err := repeated(
			run.Repeat,
			map[string]int{"nodes": e.Fleet.Nodes, "boxes": e.Fleet.Backends},
			func() (map[string]float64, error) {
				seed++
				withFaults, err := play(ctx, e, seed)
				if err != nil {
					return nil, err
				}
				faultless := *e
				faultless.Faults = nil
				withoutFaults, err := play(ctx, &faultless, seed)
				if err != nil {
					return nil, err
				}
				return harmed(withFaults, withoutFaults)
			},
		)
		if err != nil {
			return nil, err
		}
		reportPoint(p)
		return []Point{p}, nil
	})
}

// harmed compares a run with faults and a run without faults by the outcomes of the requests that were due
// while the faults of the first run were active.
func harmed(withFaults, withoutFaults report.Run) (map[string]float64, error) {
	for _, r := range []report.Run{withFaults, withoutFaults} {
		if r.Late != "" {
			return nil, fmt.Errorf("seed %d: the run does not count, as the lab was late: %s", r.Figures.Seed, r.Late)
		}
	}
	var faultTime, faultTimeBaseline, wholeRun, wholeRunBaseline report.Count
	for _, fault := range withFaults.Figures.Faults {
		if fault.To <= fault.From {
			return nil, fmt.Errorf("compare the runs: fault %s has no end", fault.Name)
		}
	}
	duringFault := func(sec report.Second) bool {
		for _, fault := range withFaults.Figures.Faults {
			if sec.At >= fault.From && sec.At < fault.To {
				return true
			}
		}
		return false
	}
	addTo := func(total *report.Count, c report.Count) {
		total.Asked, total.InTime, total.Late, total.Refused, total.Failed =
			total.Asked+c.Asked, total.InTime+c.InTime, total.Late+c.Late,
			total.Refused+c.Refused, total.Failed+c.Failed
	}
	for counts, r := range map[*[2]*report.Count]report.Run{
		{&faultTime, &wholeRun}: withFaults, {&faultTimeBaseline, &wholeRunBaseline}: withoutFaults} {
		for _, sec := range r.Figures.Seconds {
			if addTo(counts[1], sec.Count); duringFault(sec) {
				addTo(counts[0], sec.Count)
			}
		}
	}
	if faultTime.Asked == 0 || faultTimeBaseline.Asked == 0 {
		return nil, fmt.Errorf("seed %d: compare the runs: no requests were due during the faults",
			withFaults.Figures.Seed)
	}
	share := func(part, whole int) float64 { return float64(part) / float64(whole) }
	brokenChecks := 0
	for _, v := range withFaults.Verdicts {
		if !v.OK() {
			brokenChecks++
		}
	}
	return map[string]float64{
		"asked":        float64(faultTime.Asked),
		"harmed_share": faultTimeBaseline.Served() - faultTime.Served(),
		"failed_share": share(faultTime.Failed, faultTime.Asked),
		"refused_share": share(
			faultTime.Refused,
			faultTime.Asked,
		),
		"late_share":      share(faultTime.Late, faultTime.Asked),
		"spared_share":    1 - faultTimeBaseline.Served(),
		"whole_run_share": wholeRunBaseline.Served() - wholeRun.Served(),
		"broken_checks":   float64(brokenChecks),
	}, nil
}

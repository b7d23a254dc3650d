package scale

import (
	"context"
	"fmt"

	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/spec"
)

// Harm plays an experiment with and without its faults, with a new seed for each repetition. It counts the
// requests that were not served within their latency objective while the faults were on, less those of the
// run without faults.
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
			map[string]int{"nodes": e.Fleet.Nodes, "boxes": e.Fleet.Boxes},
			func() (map[string]float64, error) {
				seed++
				hit, err := play(ctx, e, seed)
				if err != nil {
					return nil, err
				}
				spared := *e
				spared.Faults = nil
				calm, err := play(ctx, &spared, seed)
				if err != nil {
					return nil, err
				}
				return harmed(hit, calm)
			},
		)
		if err != nil {
			return nil, err
		}
		reportPoint(p)
		return []Point{p}, nil
	})
}

// harmed compares the outcomes of the requests that were due during the faults in a run with faults (hit)
// and in one without (calm).
func harmed(hit, calm report.Run) (map[string]float64, error) {
	for _, r := range []report.Run{hit, calm} {
		if r.Late != "" {
			return nil, fmt.Errorf("seed %d: the run is not valid: %s", r.Figures.Seed, r.Late)
		}
	}
	var during, spared, all, allSpared report.Count
	for _, s := range hit.Figures.Faults {
		if s.To <= s.From {
			return nil, fmt.Errorf("fault %s has no end", s.Name)
		}
	}
	on := func(s report.Second) bool {
		for _, f := range hit.Figures.Faults {
			if s.At >= f.From && s.At < f.To {
				return true
			}
		}
		return false
	}
	sum := func(all *report.Count, c report.Count) {
		all.Asked, all.InTime, all.Late, all.Refused, all.Failed =
			all.Asked+c.Asked, all.InTime+c.InTime, all.Late+c.Late, all.Refused+c.Refused, all.Failed+c.Failed
	}
	for of, r := range map[*[2]*report.Count]report.Run{{&during, &all}: hit, {&spared, &allSpared}: calm} {
		for _, s := range r.Figures.Seconds {
			if sum(of[1], s.Count); on(s) {
				sum(of[0], s.Count)
			}
		}
	}
	if during.Asked == 0 || spared.Asked == 0 {
		return nil, fmt.Errorf("seed %d: no requests were due during the faults", hit.Figures.Seed)
	}
	share := func(n, of int) float64 { return float64(n) / float64(of) }
	broken := 0
	for _, v := range hit.Verdicts {
		if !v.OK() {
			broken++
		}
	}
	return map[string]float64{
		"asked":        float64(during.Asked),
		"harmed_share": spared.Served() - during.Served(),
		"failed_share": share(during.Failed, during.Asked),
		"refused_share": share(
			during.Refused,
			during.Asked,
		),
		"late_share":      share(during.Late, during.Asked),
		"spared_share":    1 - spared.Served(),
		"whole_run_share": allSpared.Served() - all.Served(),
		"broken_checks":   float64(broken),
	}, nil
}

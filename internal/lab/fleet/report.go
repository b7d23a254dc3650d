package fleet

import (
	"time"

	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/report"
)

// buildReport computes the figures of the run from its history, and checks the history against all rules and
// the figures against the bounds of the experiment.
func (f *fleet) buildReport() report.Run {
	events := f.log.Events()
	latencyObjectives := map[string]time.Duration{}
	for _, c := range f.world.Classes {
		latencyObjectives[c.Name] = c.LatencyObjective
	}
	run := report.Run{Figures: report.Compute(events, latencyObjectives)}
	run.Late = report.TooLate(events, run.Figures)
	limits := check.Limits{Memory: int64(f.experiment.Fleet.MemoryMB) << 20, FDs: f.experiment.Fleet.Sockets,
		Slack: 2*time.Duration(float64(f.world.Cross)*(1+f.world.Jitter)) + run.Figures.MaxLabLateness}
	run.Verdicts = append(check.All(events, limits), report.Bounds(run.Figures, f.experiment.Bounds))
	if q := f.experiment.Quota; q != nil {
		limits := []check.Quota{{Rate: q.Rate, Burst: q.Burst}}
		for _, c := range q.Changes {
			limits = append(limits, check.Quota{From: f.loadStart + time.Duration(c.At), Rate: c.Rate, Burst: c.Burst})
		}
		run.Verdicts = append(
			run.Verdicts,
			check.Quotas(
				events,
				limits,
				f.loadStart,
				f.loadStart+time.Duration(f.experiment.Length),
				f.experiment.Bounds.QuotaUsed,
			),
		)
	}
	if f.experiment.Fleet.View {
		run.Verdicts = append(run.Verdicts, check.View(events))
	}
	if f.service != nil && f.service.followers != nil {
		run.Verdicts = append(
			run.Verdicts,
			f.service.followers.verdicts(time.Duration(f.experiment.Bounds.Propagation))...,
		)
	}
	if f.service != nil && f.service.workers != nil {
		run.Verdicts = append(run.Verdicts, f.service.leaseVerdicts(time.Duration(f.experiment.Bounds.LeaseGap))...)
	}
	run.Verdicts = append(run.Verdicts, f.releaseVerdicts...)
	return run
}

package fleet

import (
	"time"

	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/report"
)

// buildReport computes the figures of the history and checks it against all rules and bounds of the
// experiment.
func (f *fleet) buildReport() report.Run {
	events := f.log.Events()
	aims := map[string]time.Duration{}
	for _, c := range f.world.Classes {
		aims[c.Name] = c.Aim
	}
	o := report.Run{Figures: report.Of(events, aims)}
	o.Late = report.TooLate(events, o.Figures)
	limits := check.Limits{Memory: int64(f.experiment.Fleet.MemoryMB) << 20, FDs: f.experiment.Fleet.Sockets,
		Slack: 2*time.Duration(float64(f.world.Cross)*(1+f.world.Jitter)) + o.Figures.WorstLab}
	o.Verdicts = append(check.All(events, limits), report.Bounds(o.Figures, f.experiment.Bounds))
	if q := f.experiment.Quota; q != nil {
		limits := []check.Quota{{Rate: q.Rate, Burst: q.Burst}}
		for _, c := range q.Changes {
			limits = append(limits, check.Quota{From: f.loadStart + time.Duration(c.At), Rate: c.Rate, Burst: c.Burst})
		}
		o.Verdicts = append(
			o.Verdicts,
			check.Quotas(
				events,
				limits,
				f.loadStart,
				f.loadStart+time.Duration(f.experiment.Length),
				f.experiment.Bounds.Used,
			),
		)
	}
	if f.experiment.Fleet.View {
		o.Verdicts = append(o.Verdicts, check.View(events))
	}
	if f.service != nil && f.service.followers != nil {
		o.Verdicts = append(
			o.Verdicts,
			f.service.followers.verdicts(time.Duration(f.experiment.Bounds.Followers))...,
		)
	}
	if f.service != nil && f.service.workers != nil {
		o.Verdicts = append(o.Verdicts, f.service.leaseVerdicts(time.Duration(f.experiment.Bounds.Holder))...)
	}
	o.Verdicts = append(o.Verdicts, f.releaseVerdicts...)
	return o
}

package fleet

import (
	"time"

	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/report"
)

func (f *fleet) judge() report.Run {
	events := f.log.Events()
	aims := map[string]time.Duration{}
	for _, c := range f.w.Classes {
		aims[c.Name] = c.Aim
	}
	o := report.Run{Figures: report.Of(events, aims)}
	o.Late = report.TooLate(events, o.Figures)
	limits := check.Limits{Memory: int64(f.e.Fleet.MemoryMB) << 20, FDs: f.e.Fleet.Sockets,
		Slack: 2*time.Duration(float64(f.w.Cross)*(1+f.w.Jitter)) + o.Figures.WorstLab}
	o.Verdicts = append(check.All(events, limits), report.Bounds(o.Figures, f.e.Bounds))
	if q := f.e.Quota; q != nil {
		limits := []check.Quota{{Rate: q.Rate, Burst: q.Burst}}
		for _, c := range q.Changes {
			limits = append(limits, check.Quota{From: f.start + time.Duration(c.At), Rate: c.Rate, Burst: c.Burst})
		}
		o.Verdicts = append(
			o.Verdicts,
			check.Quotas(events, limits, f.start, f.start+time.Duration(f.e.Length), f.e.Bounds.Used),
		)
	}
	if f.e.Fleet.View {
		o.Verdicts = append(o.Verdicts, check.View(events))
	}
	if f.service != nil && f.service.crowd != nil {
		o.Verdicts = append(o.Verdicts, f.service.crowd.verdicts(time.Duration(f.e.Bounds.Followers))...)
	}
	if f.service != nil && f.service.workers != nil {
		o.Verdicts = append(o.Verdicts, f.service.dutyVerdicts(time.Duration(f.e.Bounds.Holder))...)
	}
	o.Verdicts = append(o.Verdicts, f.releaseVerdicts...)
	return o
}

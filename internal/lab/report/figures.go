// Package report makes figures, plots and pages of a history. The figures are
// pure; the writing of files is at its edge.
package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

// Count is what became of a group of operations.
type Count struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"` // served within the aim
	Late    int `json:"late"`    // served after it
	Refused int `json:"refused"`
	Failed  int `json:"failed"` // failed, broken, silent or unreached
}

// Served is the share of those asked for that was answered within the aim.
func (c Count) Served() float64 { return c.part(c.InTime) }

func (c Count) part(n int) float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(n) / float64(c.Asked)
}

func (c *Count) add(how string, took, aim time.Duration) {
	c.Asked++
	switch {
	case how == history.Served && took <= aim:
		c.InTime++
	case how == history.Served:
		c.Late++
	case how == history.Refused:
		c.Refused++
	default:
		c.Failed++
	}
}

// Quantiles are of the times from when operations were due to their answers.
type Quantiles struct {
	P50, P90, P99, P999, Max time.Duration
}

// Second is one second of a run, by when operations were due.
type Second struct {
	Count
	At       time.Duration `json:"at"`
	P50, P99 time.Duration // of those served, in time or late
	took     []time.Duration
}

// Span is a fault over time.
type Span struct {
	Name     string        `json:"name"`
	From, To time.Duration // To is the run's end where it was never lifted
}

// NodeUse is what one node did and used.
type NodeUse struct {
	Count
	CPU     time.Duration `json:"cpu"`   // of all its processes
	Stall   time.Duration `json:"stall"` // its threads waited for a core
	Memory  int64         `json:"memory"`
	FDs     int           `json:"fds"`
	Sampled time.Duration `json:"-"`
}

// BoxUse is what reached one backend.
type BoxUse struct {
	Arrived int           `json:"arrived"`
	Begun   int           `json:"begun"`
	Turned  int           `json:"turned"`
	Errors  int           `json:"errors"`
	Work    time.Duration `json:"work"`
}

// Figures are those of one run.
type Figures struct {
	Name     string               `json:"name"`
	Seed     uint64               `json:"seed"`
	Length   time.Duration        `json:"length"`
	All      Count                `json:"all"`
	Classes  map[string]Count     `json:"classes"`
	Latency  map[string]Quantiles `json:"latency"` // by class, of served operations
	Seconds  []Second             `json:"seconds"`
	Faults   []Span               `json:"faults"`
	Nodes    map[string]NodeUse   `json:"nodes"`
	Boxes    map[string]BoxUse    `json:"boxes"`
	Attempts float64              `json:"attempts"` // at backends, for an operation
	Crossed  int                  `json:"crossed"`  // requests that a node's close crossed
	LateLab  time.Duration        `json:"late_lab"` // 99th percentile of the lab's own lateness
	WorstLab time.Duration        `json:"worst_lab"`
	LabCPU   float64              `json:"lab_cpu"`   // cores, in the mean
	NodesCPU float64              `json:"nodes_cpu"` // of all nodes together
	// share of the time that a node's threads waited for a core, in the mean
	Stalled float64 `json:"stalled"`
}

// latencyTop bounds what the histograms tell apart.
const latencyTop = int64(time.Minute)

// Of makes the figures of a history. aims are those of the classes.
func Of(events []history.Event, aims map[string]time.Duration) Figures {
	f := Figures{
		Classes: map[string]Count{},
		Latency: map[string]Quantiles{},
		Nodes:   map[string]NodeUse{},
		Boxes:   map[string]BoxUse{},
	}
	due := map[int]time.Duration{}
	hists := map[string]*hdrhistogram.Histogram{}
	type life struct{ first, last history.Event }
	lives := map[int]*life{}
	arrived := 0
	var lab history.Event
	var labFirst time.Duration
	for _, e := range events {
		switch e.Kind {
		case history.Meta:
			f.Name, f.Seed, f.Length = e.Detail, e.Seed, e.Took
		case history.Due:
			due[e.Op] = e.T
		case history.Over:
			f.over(e, due[e.Op], aims[e.Class], hists)
		case history.Cross:
			f.Crossed++
		case history.Arrive:
			arrived++
			f.box(e.Box, func(b *BoxUse) { b.Arrived++; b.Work += e.Took })
		case history.Begin:
			f.box(e.Box, func(b *BoxUse) { b.Begun++ })
		case history.Turn:
			f.box(e.Box, func(b *BoxUse) { b.Turned++ })
		case history.End:
			if e.Status != 200 {
				f.box(e.Box, func(b *BoxUse) { b.Errors++ })
			}
		case history.Sample:
			if lives[e.Pid] == nil {
				lives[e.Pid] = &life{first: e}
			}
			lives[e.Pid].last = e
			n := f.Nodes[e.Node]
			n.Memory, n.FDs = max(n.Memory, e.RSS), max(n.FDs, e.FDs)
			f.Nodes[e.Node] = n
		case history.Lab:
			if labFirst == 0 {
				labFirst = e.T
				lab.CPU = e.CPU
			}
			f.LateLab, f.WorstLab = max(f.LateLab, e.P99), max(f.WorstLab, e.Took)
			if e.T > labFirst {
				f.LabCPU = float64(e.CPU-lab.CPU) / float64(e.T-labFirst)
			}
		case history.Fault:
			f.fault(e)
		}
	}
	for _, l := range lives {
		n := f.Nodes[l.last.Node]
		n.CPU += l.last.CPU - l.first.CPU
		n.Stall += l.last.Stall - l.first.Stall
		n.Sampled += l.last.T - l.first.T
		f.Nodes[l.last.Node] = n
	}
	f.finish(hists, arrived)
	return f
}

func (f *Figures) over(e history.Event, due, aim time.Duration, hists map[string]*hdrhistogram.Histogram) {
	f.All.add(e.How, e.Took, aim)
	c := f.Classes[e.Class]
	c.add(e.How, e.Took, aim)
	f.Classes[e.Class] = c
	if e.Node != "" {
		n := f.Nodes[e.Node]
		n.add(e.How, e.Took, aim)
		f.Nodes[e.Node] = n
	}
	for at := int(due / time.Second); len(f.Seconds) <= at; {
		f.Seconds = append(f.Seconds, Second{At: time.Duration(len(f.Seconds)) * time.Second})
	}
	second := &f.Seconds[due/time.Second]
	second.add(e.How, e.Took, aim)
	if e.How == history.Served {
		if hists[e.Class] == nil {
			hists[e.Class] = hdrhistogram.New(int64(10*time.Microsecond), latencyTop, 3)
		}
		second.took = append(second.took, e.Took)
		besteffort.Sample(hists[e.Class].RecordValue(min(latencyTop, int64(e.Took))))
	}
}

func (f *Figures) box(name string, change func(*BoxUse)) {
	b := f.Boxes[name]
	change(&b)
	f.Boxes[name] = b
}

func (f *Figures) fault(e history.Event) {
	if e.How == "begin" {
		f.Faults = append(f.Faults, Span{Name: e.Detail, From: e.T})
		return
	}
	for i := range f.Faults {
		if f.Faults[i].Name == e.Detail {
			f.Faults[i].To = e.T
		}
	}
}

func (f *Figures) finish(hists map[string]*hdrhistogram.Histogram, arrived int) {
	for class, h := range hists {
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
		f.Latency[class] = Quantiles{at(50), at(90), at(99), at(99.9), time.Duration(h.Max())}
	}
	if f.All.Asked > 0 {
		f.Attempts = float64(arrived) / float64(f.All.Asked)
	}
	for i := range f.Seconds {
		s := &f.Seconds[i]
		if slices.Sort(s.took); len(s.took) > 0 {
			s.P50, s.P99 = s.took[len(s.took)/2], s.took[len(s.took)*99/100]
		}
	}
	end := time.Duration(len(f.Seconds)) * time.Second
	for i := range f.Faults {
		if f.Faults[i].To == 0 {
			f.Faults[i].To = end
		}
	}
	var sampled time.Duration
	for _, n := range f.Nodes {
		f.Stalled += float64(n.Stall)
		sampled += n.Sampled
		if n.Sampled > 0 {
			f.NodesCPU += float64(n.CPU) / float64(n.Sampled)
		}
	}
	if sampled > 0 {
		f.Stalled /= float64(sampled)
	}
}

// Before is what was served in time ahead of the first fault: the run's own base line.
func (f Figures) Before() float64 {
	var sum Count
	for _, s := range f.Seconds {
		if len(f.Faults) == 0 || s.At+time.Second <= f.first() {
			sum.Asked, sum.InTime = sum.Asked+s.Asked, sum.InTime+s.InTime
		}
	}
	return sum.Served()
}

func (f Figures) first() time.Duration {
	first := f.Faults[0].From
	for _, s := range f.Faults {
		first = min(first, s.From)
	}
	return first
}

// leastAsked is how many operations a second needs to report whether service has recovered.
const leastAsked = 10

// Recovered is how long after the end of the last fault the service took to reach
// a level and keep it to the end, but for one second in ten; it is negative if it never did.
func (f Figures) Recovered(level float64) time.Duration {
	var last time.Duration
	for _, s := range f.Faults {
		last = max(last, s.To)
	}
	var after []Second
	for _, s := range f.Seconds {
		if s.At >= last-time.Second+1 && s.Asked >= leastAsked {
			after = append(after, s)
		}
	}
	for i := range after {
		below := 0
		for _, s := range after[i:] {
			if s.Served() < level {
				below++
			}
		}
		if after[i].Served() >= level && below*10 <= len(after)-i {
			return max(0, after[i].At-last)
		}
	}
	return -1
}

// Names returns the sorted keys of one of the figures' maps.
func Names[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		if len(a) != len(b) && a[:1] == b[:1] && len(a) < 5 && len(b) < 5 { // n2 before n10
			return len(a) - len(b)
		}
		return cmp.Compare(a, b)
	})
}

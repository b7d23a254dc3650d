// Package report computes the figures of a run from its history, and writes them as plots and pages.
// Computing the figures has no side effects.
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

// Count counts the outcomes of a group of operations.
type Count struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"` // served within the latency objective
	Late    int `json:"late"`    // served after the latency objective
	Refused int `json:"refused"`
	Failed  int `json:"failed"` // failed, broken, silent or unreached
}

// Served returns the share of the operations that was served within the latency objective.
func (c Count) Served() float64 { return c.share(c.InTime) }

// share returns n as a share of all operations, or 0 if there are none.
func (c Count) share(n int) float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(n) / float64(c.Asked)
}

// add counts an operation by its outcome, the time that it took, and the latency objective of its class.
func (c *Count) add(outcome string, took, objective time.Duration) {
	c.Asked++
	switch {
	case outcome == history.Served && took <= objective:
		c.InTime++
	case outcome == history.Served:
		c.Late++
	case outcome == history.Refused:
		c.Refused++
	default:
		c.Failed++
	}
}

// Quantiles holds quantiles of the time from when an operation was due until its answer.
type Quantiles struct {
	P50, P90, P99, P999, Max time.Duration
}

// Second holds the figures of the operations that were due in one second of a run. At is the start of the
// second.
type Second struct {
	Count
	At        time.Duration `json:"at"`
	P50, P99  time.Duration // latencies of served operations, in time or late
	latencies []time.Duration
}

// Span is the time during which a fault lasted.
type Span struct {
	Name     string        `json:"name"`
	From, To time.Duration // To is the run's end if the fault was never lifted
}

// NodeUse holds the outcomes of a node's operations and the resources that the node used.
type NodeUse struct {
	Count
	CPU     time.Duration `json:"cpu"`   // processor time of all its processes
	Stall   time.Duration `json:"stall"` // time for which its threads waited for a core
	Memory  int64         `json:"memory"`
	FDs     int           `json:"fds"`
	Sampled time.Duration `json:"-"` // time that the samples cover
}

// BackendUse counts the attempts that reached one backend, and the events of these attempts.
type BackendUse struct {
	Arrived  int           `json:"arrived"`
	Begun    int           `json:"begun"`
	Rejected int           `json:"turned"`
	Errors   int           `json:"errors"`
	Work     time.Duration `json:"work"` // total work of the attempts that arrived
}

// Figures holds the figures of one run.
type Figures struct {
	Name     string                `json:"name"`
	Seed     uint64                `json:"seed"`
	Length   time.Duration         `json:"length"`
	All      Count                 `json:"all"`
	Classes  map[string]Count      `json:"classes"`
	Latency  map[string]Quantiles  `json:"latency"` // by class, of served operations
	Seconds  []Second              `json:"seconds"`
	Faults   []Span                `json:"faults"`
	Nodes    map[string]NodeUse    `json:"nodes"`
	Backends map[string]BackendUse `json:"boxes"`
	Attempts float64               `json:"attempts"` // mean number of attempts at backends per operation
	// requests that were on their way when the node closed the connection
	Crossed int `json:"crossed"`
	// 99th percentile of the lab's own lateness, in its worst second
	LabLatenessP99 time.Duration `json:"late_lab"`
	MaxLabLateness time.Duration `json:"worst_lab"`
	LabCPU         float64       `json:"lab_cpu"`   // mean number of cores
	NodesCPU       float64       `json:"nodes_cpu"` // mean number of cores of all nodes together
	// Stalled is the mean share of the time for which a node's threads waited for a core.
	Stalled float64 `json:"stalled"`
}

// maxLatency is the greatest latency that the histograms distinguish.
const maxLatency = int64(time.Minute)

// Compute computes the figures of a run from its history. objectives holds the latency objective of each
// class.
func Compute(events []history.Event, objectives map[string]time.Duration) Figures {
	f := Figures{
		Classes:  map[string]Count{},
		Latency:  map[string]Quantiles{},
		Nodes:    map[string]NodeUse{},
		Backends: map[string]BackendUse{},
	}
	dueAt := map[int]time.Duration{}
	histograms := map[string]*hdrhistogram.Histogram{}
	type processSamples struct{ first, last history.Event }
	processes := map[int]*processSamples{}
	arrived := 0
	var firstLab history.Event
	var firstLabTime time.Duration
	for _, e := range events {
		switch e.Kind {
		case history.Meta:
			f.Name, f.Seed, f.Length = e.Detail, e.Seed, e.Took
		case history.Due:
			dueAt[e.Op] = e.T
		case history.Over:
			f.addOperation(e, dueAt[e.Op], objectives[e.Class], histograms)
		case history.Cross:
			f.Crossed++
		case history.Arrive:
			arrived++
			f.updateBackend(e.Backend, func(b *BackendUse) { b.Arrived++; b.Work += e.Took })
		case history.Begin:
			f.updateBackend(e.Backend, func(b *BackendUse) { b.Begun++ })
		case history.Reject:
			f.updateBackend(e.Backend, func(b *BackendUse) { b.Rejected++ })
		case history.End:
			if e.Status != 200 {
				f.updateBackend(e.Backend, func(b *BackendUse) { b.Errors++ })
			}
		case history.Sample:
			if processes[e.Pid] == nil {
				processes[e.Pid] = &processSamples{first: e}
			}
			processes[e.Pid].last = e
			n := f.Nodes[e.Node]
			n.Memory, n.FDs = max(n.Memory, e.RSS), max(n.FDs, e.FDs)
			f.Nodes[e.Node] = n
		case history.Lab:
			if firstLabTime == 0 {
				firstLabTime = e.T
				firstLab.CPU = e.CPU
			}
			f.LabLatenessP99, f.MaxLabLateness = max(f.LabLatenessP99, e.P99), max(f.MaxLabLateness, e.Took)
			if e.T > firstLabTime {
				f.LabCPU = float64(e.CPU-firstLab.CPU) / float64(e.T-firstLabTime)
			}
		case history.Fault:
			f.addFault(e)
		}
	}
	for _, p := range processes {
		n := f.Nodes[p.last.Node]
		n.CPU += p.last.CPU - p.first.CPU
		n.Stall += p.last.Stall - p.first.Stall
		n.Sampled += p.last.T - p.first.T
		f.Nodes[p.last.Node] = n
	}
	f.finish(histograms, arrived)
	return f
}

// addOperation counts an operation that ended in all groups to which it belongs.
func (f *Figures) addOperation(e history.Event, due, objective time.Duration,
	histograms map[string]*hdrhistogram.Histogram) {
	f.All.add(e.How, e.Took, objective)
	c := f.Classes[e.Class]
	c.add(e.How, e.Took, objective)
	f.Classes[e.Class] = c
	if e.Node != "" {
		n := f.Nodes[e.Node]
		n.add(e.How, e.Took, objective)
		f.Nodes[e.Node] = n
	}
	for at := int(due / time.Second); len(f.Seconds) <= at; {
		f.Seconds = append(f.Seconds, Second{At: time.Duration(len(f.Seconds)) * time.Second})
	}
	second := &f.Seconds[due/time.Second]
	second.add(e.How, e.Took, objective)
	if e.How == history.Served {
		if histograms[e.Class] == nil {
			histograms[e.Class] = hdrhistogram.New(int64(10*time.Microsecond), maxLatency, 3)
		}
		second.latencies = append(second.latencies, e.Took)
		besteffort.Sample(histograms[e.Class].RecordValue(min(maxLatency, int64(e.Took))))
	}
}

// updateBackend applies a change to the counts of one backend.
func (f *Figures) updateBackend(name string, change func(*BackendUse)) {
	b := f.Backends[name]
	change(&b)
	f.Backends[name] = b
}

// addFault records the begin or the end of a fault.
func (f *Figures) addFault(e history.Event) {
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

// finish computes the figures that need all events: quantiles and means. It ends the faults that were never
// lifted at the run's end.
func (f *Figures) finish(histograms map[string]*hdrhistogram.Histogram, arrived int) {
	for class, h := range histograms {
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
		f.Latency[class] = Quantiles{at(50), at(90), at(99), at(99.9), time.Duration(h.Max())}
	}
	if f.All.Asked > 0 {
		f.Attempts = float64(arrived) / float64(f.All.Asked)
	}
	for i := range f.Seconds {
		s := &f.Seconds[i]
		if slices.Sort(s.latencies); len(s.latencies) > 0 {
			s.P50, s.P99 = s.latencies[len(s.latencies)/2], s.latencies[len(s.latencies)*99/100]
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

// Baseline returns the share of operations that were served in time before the first fault, or in the whole
// run if it had no faults.
func (f Figures) Baseline() float64 {
	var sum Count
	for _, s := range f.Seconds {
		if len(f.Faults) == 0 || s.At+time.Second <= f.firstFault() {
			sum.Asked, sum.InTime = sum.Asked+s.Asked, sum.InTime+s.InTime
		}
	}
	return sum.Served()
}

// firstFault returns the time at which the first fault began. The run must have had a fault.
func (f Figures) firstFault() time.Duration {
	first := f.Faults[0].From
	for _, s := range f.Faults {
		first = min(first, s.From)
	}
	return first
}

// minAskedPerSecond is the least number of operations that a second needs to count for the recovery.
const minAskedPerSecond = 10

// Recovered returns the time from the end of the last fault until the share served in time reaches a level
// and stays at or above it to the end of the run. At most one second in ten may be below the level. The
// result is negative if the run never recovered.
func (f Figures) Recovered(level float64) time.Duration {
	var lastFaultEnd time.Duration
	for _, s := range f.Faults {
		lastFaultEnd = max(lastFaultEnd, s.To)
	}
	var after []Second
	for _, s := range f.Seconds {
		if s.At >= lastFaultEnd-time.Second+1 && s.Asked >= minAskedPerSecond {
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
			return max(0, after[i].At-lastFaultEnd)
		}
	}
	return -1
}

// Names returns the sorted keys of one of the figures' maps. Short numbered names are sorted by their number.
func Names[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		if len(a) != len(b) && a[:1] == b[:1] && len(a) < 5 && len(b) < 5 { // n2 before n10
			return len(a) - len(b)
		}
		return cmp.Compare(a, b)
	})
}

package check

// This file holds the intervals of faults, and the checks of drains and of resource use.

import (
	"slices"
	"time"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/world"
)

// interval is a time during which a node was stopped, or a fault acted on it. A killed node loses its
// requests in flight, so a request that was open at any moment of a fault may end without an answer.
type interval struct{ from, to time.Duration }

// nodeIntervals holds intervals by node name.
type nodeIntervals map[string][]interval

// faultAftermath is the time after a fault's end for which the fault may still affect a node: a retransmitted
// segment arrives up to a second later.
const faultAftermath = time.Second

// faultIntervals collects the intervals of the faults that act on nodes or on their clients' links.
func faultIntervals(events []history.Event) nodeIntervals {
	intervals := nodeIntervals{}
	beganAt := map[string]time.Duration{}
	for _, e := range events {
		if e.Kind != history.Fault {
			continue
		}
		if e.How == "begin" {
			beganAt[e.Detail] = e.T
			for _, n := range e.Nodes {
				intervals[n] = append(intervals[n], interval{e.T, 1<<63 - 1})
			}
			continue
		}
		for _, n := range e.Nodes {
			for i := range intervals[n] {
				if intervals[n][i].from == beganAt[e.Detail] {
					intervals[n][i].to = e.T + faultAftermath
				}
			}
		}
	}
	return intervals
}

// overlap reports whether a fault acted on the node at any moment between from and to.
func (s nodeIntervals) overlap(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(s[node], func(f interval) bool { return f.from <= to && f.to >= from })
}

// stoppedTime returns a function that computes for how long a node was stopped by SIGSTOP between two times.
func stoppedTime(events []history.Event) func(node string, from, to time.Duration) time.Duration {
	stops := map[string][]interval{}
	for _, e := range events {
		if e.Kind != history.Proc || e.How != "signal" {
			continue
		}
		stopped := stops[e.Node]
		switch {
		case e.Detail == "SIGSTOP":
			stops[e.Node] = append(stopped, interval{e.T, 1<<63 - 1})
		case e.Detail == "SIGCONT" && len(stopped) > 0:
			stopped[len(stopped)-1].to = min(stopped[len(stopped)-1].to, e.T)
		}
	}
	return func(node string, from, to time.Duration) time.Duration {
		var total time.Duration
		for _, s := range stops[node] {
			total += max(0, min(to, s.to)-max(from, s.from))
		}
		return total
	}
}

// checkDrains checks that a node sends no new request to a backend more than world.DrainGrace +
// world.SocketSlack + slack after the node was first notified that the backend drains or was removed. A
// notification that the backend is ready ends this check until the next such notification. The time for which
// the node was stopped does not count. A request counts by the time at which it was sent; only requests that
// arrive at a backend are seen.
func checkDrains(events []history.Event, slack time.Duration) Verdict {
	v := Verdict{
		Name:  "drains",
		Rule:  "nothing new reaches a box past the grace after the node was told that it drains or is gone",
		Timed: true,
	}
	type pair struct{ node, backend string }
	leavingSince := map[pair]time.Duration{}
	stoppedBetween := stoppedTime(events)
	for _, e := range events {
		p := pair{e.Node, e.Backend}
		switch {
		case e.Kind == history.Notified && e.How == "ready":
			delete(leavingSince, p)
		case e.Kind == history.Notified:
			v.Seen++
			if _, ok := leavingSince[p]; !ok {
				leavingSince[p] = e.T
			}
		case e.Kind == history.Arrive:
			since, ok := leavingSince[p]
			sent := max(e.Sent, since) // a request sent before the notification may arrive late
			if limit := world.DrainGrace + world.SocketSlack + slack; ok &&
				sent-since-stoppedBetween(e.Node, since, sent) > limit {
				v.fail(e, "%s sends %s work %v after it was told that it leaves", e.Node, e.Backend, sent-since)
			}
		}
	}
	return v
}

// checkLimits checks that memory and descriptors of every process stay within the limits.
func checkLimits(events []history.Event, l Limits) Verdict {
	v := Verdict{Name: "limits", Rule: "memory and descriptors of every process stay within its limits"}
	for _, e := range events {
		if e.Kind != history.Sample {
			continue
		}
		v.Seen++
		if l.Memory > 0 && e.RSS > l.Memory {
			v.fail(e, "%s (pid %d) holds %d MB of %d", e.Node, e.Pid, e.RSS>>20, l.Memory>>20)
		}
		if l.FDs > 0 && e.FDs > l.FDs {
			v.fail(e, "%s (pid %d) holds %d descriptors of %d", e.Node, e.Pid, e.FDs, l.FDs)
		}
	}
	return v
}

// Only processes that run for growthMinAge or longer are checked for growth, since part of their time is
// start-up.
const (
	growthMinAge        = 40 * time.Second
	growthAllowedShare  = 0.25     // growth allowed from the third to the last quarter of a process's run time
	growthAllowedMemory = 16 << 20 // bytes by which a heap may vary between two garbage collections
	growthAllowedFDs    = 64       // descriptors that a burst of connections may add
)

// checkGrowth checks that memory and descriptors of a process stop growing: the medians of the third and the
// last quarter of its run time are compared.
func checkGrowth(events []history.Event) Verdict {
	v := Verdict{
		Name: "growth",
		Rule: "memory and descriptors of a process do not go on growing through the last half of its life",
	}
	samplesByPid := map[int][]history.Event{}
	for _, e := range events {
		if e.Kind == history.Sample {
			samplesByPid[e.Pid] = append(samplesByPid[e.Pid], e)
		}
	}
	for _, samples := range samplesByPid {
		last := samples[len(samples)-1]
		if last.T-samples[0].T < growthMinAge {
			continue
		}
		v.Seen++
		third, fourth := samples[len(samples)/2:len(samples)*3/4], samples[len(samples)*3/4:]
		before, after := median(third, memory), median(fourth, memory)
		if after-before > max(growthAllowedMemory, int64(growthAllowedShare*float64(before))) {
			v.fail(last, "%s (pid %d) grew from %d to %d MB", last.Node, last.Pid, before>>20, after>>20)
		}
		before, after = median(third, descriptors), median(fourth, descriptors)
		if after-before > max(growthAllowedFDs, int64(growthAllowedShare*float64(before))) {
			v.fail(last, "%s (pid %d) grew from %d to %d descriptors", last.Node, last.Pid, before, after)
		}
	}
	return v
}

func memory(e history.Event) int64      { return e.RSS }
func descriptors(e history.Event) int64 { return int64(e.FDs) }

// median returns the median of a value over the samples.
func median(samples []history.Event, value func(history.Event) int64) int64 {
	values := make([]int64, len(samples))
	for i, e := range samples {
		values[i] = value(e)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

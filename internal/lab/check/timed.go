package check

import (
	"slices"
	"time"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/world"
)

// spell is a time in which something was done to a node. A node that was killed
// loses what it held, so a request that was open at any moment of it is excused.
type spell struct{ from, to time.Duration }

type spells map[string][]spell

// after is how long past a fault's end a node may still show it: a retransmitted
// piece comes up to a second later.
const after = time.Second

// faultsOf collects the faults that touch nodes themselves or their clients' links.
func faultsOf(events []history.Event) spells {
	s := spells{}
	open := map[string]time.Duration{}
	for _, e := range events {
		if e.Kind != history.Fault {
			continue
		}
		if e.How == "begin" {
			open[e.Detail] = e.T
			for _, n := range e.Nodes {
				s[n] = append(s[n], spell{e.T, 1<<63 - 1})
			}
			continue
		}
		for _, n := range e.Nodes {
			for i := range s[n] {
				if s[n][i].from == open[e.Detail] {
					s[n][i].to = e.T + after
				}
			}
		}
	}
	return s
}

// touch reports whether anything was done to a node between two times.
func (s spells) touch(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(s[node], func(f spell) bool { return f.from <= to && f.to >= from })
}

// stopped is how long a node stood still between two times.
func stopped(events []history.Event) func(node string, from, to time.Duration) time.Duration {
	stops := map[string][]spell{}
	for _, e := range events {
		if e.Kind != history.Proc || e.How != "signal" {
			continue
		}
		all := stops[e.Node]
		switch {
		case e.Detail == "SIGSTOP":
			stops[e.Node] = append(all, spell{e.T, 1<<63 - 1})
		case e.Detail == "SIGCONT" && len(all) > 0:
			all[len(all)-1].to = min(all[len(all)-1].to, e.T)
		}
	}
	return func(node string, from, to time.Duration) time.Duration {
		var sum time.Duration
		for _, s := range stops[node] {
			sum += max(0, min(to, s.to)-max(from, s.from))
		}
		return sum
	}
}

// drains: nothing new reaches a backend past the grace after its drain was told. A
// node that stood still in that time has as much longer.
func drains(events []history.Event, slack time.Duration) Verdict {
	v := Verdict{
		Name:  "drains",
		Rule:  "nothing new reaches a box past the grace after the node was told that it drains or is gone",
		Timed: true,
	}
	type pair struct{ node, box string }
	told := map[pair]time.Duration{}
	still := stopped(events)
	for _, e := range events {
		p := pair{e.Node, e.Box}
		switch {
		case e.Kind == history.Told && e.How == "ready":
			delete(told, p)
		case e.Kind == history.Told:
			v.Seen++
			if _, ok := told[p]; !ok {
				told[p] = e.T
			}
		case e.Kind == history.Arrive:
			since, ok := told[p]
			sent := max(e.Sent, since) // what was sent before it was told may come late
			if limit := world.DrainGrace + world.SocketSlack + slack; ok &&
				sent-since-still(e.Node, since, sent) > limit {
				v.fail(e, "%s sends %s work %v after it was told that it leaves", e.Node, e.Box, sent-since)
			}
		}
	}
	return v
}

// use: memory and descriptors stay within the limits.
func use(events []history.Event, l Limits) Verdict {
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

// Growth is judged on processes that live for grownAge; a part of it is start-up.
const (
	grownAge    = 40 * time.Second
	grownPart   = 0.25     // from the third to the last quarter of its generation
	grownMemory = 16 << 20 // what a heap between two collections may differ by, in bytes
	grownFDs    = 64       // what a burst of connections may differ by
)

// growth: memory and descriptors do not go on growing.
func growth(events []history.Event) Verdict {
	v := Verdict{
		Name: "growth",
		Rule: "memory and descriptors of a process do not go on growing through the last half of its life",
	}
	lives := map[int][]history.Event{}
	for _, e := range events {
		if e.Kind == history.Sample {
			lives[e.Pid] = append(lives[e.Pid], e)
		}
	}
	for _, life := range lives {
		last := life[len(life)-1]
		if last.T-life[0].T < grownAge {
			continue
		}
		v.Seen++
		third, fourth := life[len(life)/2:len(life)*3/4], life[len(life)*3/4:]
		a, b := median(third, memory), median(fourth, memory)
		if b-a > max(grownMemory, int64(grownPart*float64(a))) {
			v.fail(last, "%s (pid %d) grew from %d to %d MB", last.Node, last.Pid, a>>20, b>>20)
		}
		a, b = median(third, descriptors), median(fourth, descriptors)
		if b-a > max(grownFDs, int64(grownPart*float64(a))) {
			v.fail(last, "%s (pid %d) grew from %d to %d descriptors", last.Node, last.Pid, a, b)
		}
	}
	return v
}

func memory(e history.Event) int64      { return e.RSS }
func descriptors(e history.Event) int64 { return int64(e.FDs) }

func median(of []history.Event, value func(history.Event) int64) int64 {
	all := make([]int64, len(of))
	for i, e := range of {
		all[i] = value(e)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

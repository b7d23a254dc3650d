package check

// What becomes of backends and processes.

import (
	"time"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/world"
)

// cold: no cold backend is pushed over by those who were notified of its start.
func cold(events []history.Event) Verdict {
	v := Verdict{
		Name:  "cold",
		Rule:  "no cold box falls over under what nodes send that were told of its start",
		Timed: true,
	}
	since := map[string]string{}           // of a backend's last listed start
	told := map[string]map[string]string{} // by backend and node
	sent := map[string][]history.Event{}   // to a backend
	for _, e := range events {
		switch {
		case e.Kind == history.Box && e.How == "cold":
			since[e.Box] = e.Detail
			v.Seen++
		case e.Kind == history.Told && e.How == "ready":
			if told[e.Box] == nil {
				told[e.Box] = map[string]string{}
			}
			told[e.Box][e.Node] = e.Detail
		case e.Kind == history.Arrive:
			sent[e.Box] = append(sent[e.Box], e)
		case e.Kind == history.Box && e.How == "fell":
			var sum, knowing time.Duration
			for _, a := range sent[e.Box] {
				if e.T-a.T > world.FallTime {
					continue
				}
				sum += a.Took
				if told[e.Box][a.Node] == since[e.Box] {
					knowing += a.Took
				}
			}
			if 3*knowing >= 2*sum {
				v.fail(
					e,
					"%s falls over; %v of the %v of work of the last %v came from nodes that knew",
					e.Box,
					knowing,
					sum,
					world.FallTime,
				)
			}
		}
	}
	return v
}

// processes: every process ends as it was ordered.
func processes(events []history.Event) Verdict {
	v := Verdict{
		Name: "processes",
		Rule: "every process ends as ordered: with 0 after SIGTERM, and not by itself",
	}
	running := map[int]history.Event{}
	for _, e := range events {
		if e.Kind != history.Proc {
			continue
		}
		switch e.How {
		case "start":
			v.Seen++
			running[e.Pid] = e
		case "exit":
			delete(running, e.Pid)
		}
		if e.Bad {
			v.fail(e, "%s (pid %d) %s: %s", e.Node, e.Pid, e.How, e.Detail)
		}
	}
	for _, e := range running {
		v.fail(e, "%s (pid %d) was never seen to end", e.Node, e.Pid)
	}
	return v
}

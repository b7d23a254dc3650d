package check

// This file holds the checks of the starts and ends of backends and processes.

import (
	"time"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/world"
)

// checkCold checks that no cold backend crashes because of nodes that had been notified of its start. A
// crash counts as a finding if these nodes sent at least two thirds of the backend's recent work.
func checkCold(events []history.Event) Verdict {
	v := Verdict{
		Name:  "cold",
		Rule:  "no cold box falls over under what nodes send that were told of its start",
		Timed: true,
	}
	lastStart := map[string]string{} // since_ms of each backend's last cold start
	// since_ms of the start of which each node was last notified, by backend and node
	notifiedStart := map[string]map[string]string{}
	arrivals := map[string][]history.Event{} // arrivals at each backend
	for _, e := range events {
		switch {
		case e.Kind == history.BackendChange && e.How == "cold":
			lastStart[e.Backend] = e.Detail
			v.Seen++
		case e.Kind == history.Notified && e.How == "ready":
			if notifiedStart[e.Backend] == nil {
				notifiedStart[e.Backend] = map[string]string{}
			}
			notifiedStart[e.Backend][e.Node] = e.Detail
		case e.Kind == history.Arrive:
			arrivals[e.Backend] = append(arrivals[e.Backend], e)
		case e.Kind == history.BackendChange && e.How == "fell":
			var totalWork, notifiedWork time.Duration
			for _, a := range arrivals[e.Backend] {
				if e.T-a.T > world.CrashWindow {
					continue
				}
				totalWork += a.Took
				if notifiedStart[e.Backend][a.Node] == lastStart[e.Backend] {
					notifiedWork += a.Took
				}
			}
			if 3*notifiedWork >= 2*totalWork {
				v.fail(
					e,
					"%s falls over; %v of the %v of work of the last %v came from nodes that knew",
					e.Backend,
					notifiedWork,
					totalWork,
					world.CrashWindow,
				)
			}
		}
	}
	return v
}

// checkProcesses checks that every process ends, and in the way that was ordered.
func checkProcesses(events []history.Event) Verdict {
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

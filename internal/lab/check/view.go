package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/lab/history"
)

// viewSettleTime is how long after the end of a fault a touched node may still be wrong in the views of
// others, or have a wrong view itself: the longest suspicion in a small fleet, and one round of probing dead
// members.
const viewSettleTime = 10 * time.Second

// memberState is the state of one member in a node's view.
type memberState struct {
	health                  string
	generation, incarnation uint64
}

// parseMembers returns the members that a view event lists, by name.
func parseMembers(e history.Event) map[string]memberState {
	all := map[string]memberState{}
	for _, text := range e.Also {
		var name string
		var s memberState
		if n, _ := fmt.Sscanf(text, "%s %s %d %d", &name, &s.health, &s.generation, &s.incarnation); n == 4 {
			all[name] = s
		}
	}
	return all
}

// View checks the nodes' views of each other. At the end all running nodes have the same view, in which
// exactly the running nodes are alive. No node that was free of faults declared another such node dead. An
// ordered end was not taken for a death, nor an upgrade for an end. No process saw a member's generation or
// incarnation go back.
func View(events []history.Event) Verdict {
	v := Verdict{
		Name:  "view",
		Rule:  "views settle after the last fault, take no undisturbed node for dead, and never go back",
		Timed: true,
	}
	w := viewCheck{
		verdict:  &v,
		faults:   faultsByName(events),
		running:  map[string]int{},
		lastView: map[string]history.Event{},
		ordered:  map[string]bool{},
	}
	for _, e := range events {
		switch e.Kind {
		case history.Proc:
			w.process(e)
		case history.Fault:
			w.fault(e)
		case history.View:
			v.Seen++
			w.viewChanged(e)
		case history.Ending:
			w.judgeEnd()
			return v
		}
	}
	v.Broken = append(v.Broken, Finding{Text: "the history has no end by which to judge the views"})
	return v
}

// viewCheck is the state of the View check while it goes through the events.
type viewCheck struct {
	verdict  *Verdict
	faults   nodeIntervals            // fault intervals of every named party, settle time included
	running  map[string]int           // the number of running processes of each node
	lastView map[string]history.Event // the last view event of each node
	// nodes that got SIGTERM, for an end or an upgrade, and were not killed since
	ordered        map[string]bool
	lastFaultEnd   time.Duration // the end of the last fault
	lastViewChange time.Duration // the time of the last change of any view
	lost           []*loss       // nodes that a fault killed or stopped
}

// loss is the loss of a node, with the delay until each other node declared it dead.
type loss struct {
	name      string
	at        time.Duration
	seenAfter map[string]time.Duration
}

// faultsByName collects the intervals of all faults for every party that they name, prolonged by
// viewSettleTime.
func faultsByName(events []history.Event) nodeIntervals {
	var named []history.Event
	for _, e := range events {
		if e.Kind == history.Fault {
			e.Nodes = e.Also
			named = append(named, e)
		}
	}
	s := faultsOf(named)
	for _, all := range s {
		for i := range all {
			all[i].to += min(viewSettleTime, 1<<63-1-all[i].to)
		}
	}
	return s
}

func (w *viewCheck) process(e history.Event) {
	switch e.How {
	case "start":
		w.running[e.Node]++
	case "exit":
		w.running[e.Node]--
	case "signal":
		if e.Detail == "SIGTERM" {
			w.ordered[e.Node] = true
		}
	}
}

func (w *viewCheck) fault(e history.Event) {
	_, do, _ := strings.Cut(e.Detail, "-")
	if e.How == "end" {
		w.lastFaultEnd = max(w.lastFaultEnd, e.T)
		return
	}
	for _, name := range e.Also {
		if do == "kill" || do == "pause" {
			w.ordered[name] = false
			w.lost = append(w.lost, &loss{name: name, at: e.T, seenAfter: map[string]time.Duration{}})
		}
	}
}

func (w *viewCheck) viewChanged(e history.Event) {
	w.lastViewChange = max(w.lastViewChange, e.T)
	now, before := parseMembers(e), parseMembers(w.lastView[e.Node])
	if w.lastView[e.Node].Detail != e.Detail {
		before = nil // the view is of another process
	}
	for _, name := range slices.Sorted(maps.Keys(now)) {
		s := now[name]
		if b, ok := before[name]; ok && (s.generation < b.generation ||
			s.generation == b.generation && s.incarnation < b.incarnation) {
			w.verdict.fail(
				e,
				"%s sees %s go back from life %d, %d to %d, %d",
				e.Node,
				name,
				b.generation,
				b.incarnation,
				s.generation,
				s.incarnation,
			)
		}
		if s.health != "dead" || before[name].health == "dead" && before[name].generation == s.generation {
			continue
		}
		if !w.faults.overlap(name, e.T, e.T) && !w.faults.overlap(e.Node, e.T, e.T) {
			w.verdict.fail(e, "%s takes %s for dead, and nothing had been done to either", e.Node, name)
		}
		if w.ordered[name] && !w.faults.overlap(e.Node, e.T, e.T) {
			w.verdict.fail(e, "%s takes %s for dead, which ended as ordered", e.Node, name)
		}
		for _, l := range w.lost {
			if l.name == name && l.seenAfter[e.Node] == 0 {
				l.seenAfter[e.Node] = e.T - l.at
			}
		}
	}
	w.lastView[e.Node] = e
}

// judgeEnd checks the views at the end of the run, and reports how long views took to settle and losses to be
// seen.
func (w *viewCheck) judgeEnd() {
	var first history.Event
	for _, name := range slices.Sorted(maps.Keys(w.lastView)) {
		e := w.lastView[name]
		if w.running[name] <= 0 {
			continue
		}
		if first.Node == "" {
			first = e
		}
		if e.How != first.How {
			w.verdict.fail(e, "at the end %s has view %s and %s has %s", name, e.How, first.Node, first.How)
		}
		for member, s := range parseMembers(e) {
			if runs := w.running[member] > 0; runs != (s.health == "alive") {
				w.verdict.fail(e, "at the end %s has %s as %s, which runs: %v", name, member, s.health, runs)
			}
		}
		for member, n := range w.running {
			if _, known := parseMembers(e)[member]; n > 0 && !known && w.lastView[member].Node != "" {
				w.verdict.fail(e, "at the end %s does not know %s", name, member)
			}
		}
	}
	if w.lastFaultEnd > 0 {
		w.verdict.Measured = append(
			w.verdict.Measured,
			fmt.Sprintf("the last view changed %.2f s after the end of the last fault",
				(w.lastViewChange-w.lastFaultEnd).Seconds()),
		)
	}
	for _, l := range w.lost {
		var all []time.Duration
		for _, took := range l.seenAfter {
			all = append(all, took)
		}
		if slices.Sort(all); len(all) > 0 {
			w.verdict.Measured = append(
				w.verdict.Measured,
				fmt.Sprintf("%s was dead in %d views after %.2f s in the median, %.2f s in the last", l.name, len(all),
					all[len(all)/2].Seconds(), all[len(all)-1].Seconds()),
			)
		}
	}
}

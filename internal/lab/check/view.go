package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/lab/history"
)

// viewSettleTime is the time after the end of a fault for which an affected node may still have a wrong view,
// or be wrong in the views of others. It covers the longest suspicion in a small fleet and one round of
// probing dead members.
const viewSettleTime = 10 * time.Second

// memberState is the state of one member in a node's view.
type memberState struct {
	health                  string
	generation, incarnation uint64
}

// parseMembers returns the members that a view event lists, by name.
func parseMembers(e history.Event) map[string]memberState {
	members := map[string]memberState{}
	for _, text := range e.Also {
		var name string
		var s memberState
		if n, _ := fmt.Sscanf(text, "%s %s %d %d", &name, &s.health, &s.generation, &s.incarnation); n == 4 {
			members[name] = s
		}
	}
	return members
}

// View checks the nodes' views of each other. At the end all running nodes must have the same view, in which
// exactly the running nodes are alive. A node that no fault affected must not declare another such node dead,
// nor a node that was sent SIGTERM to end or to upgrade. No process may see a member's generation or
// incarnation decrease.
func View(events []history.Event) Verdict {
	v := Verdict{
		Name:  "view",
		Rule:  "views settle after the last fault, take no undisturbed node for dead, and never go back",
		Timed: true,
	}
	c := viewCheck{
		verdict:    &v,
		faults:     faultIntervalsByName(events),
		running:    map[string]int{},
		lastView:   map[string]history.Event{},
		terminated: map[string]bool{},
	}
	for _, e := range events {
		switch e.Kind {
		case history.Proc:
			c.process(e)
		case history.Fault:
			c.fault(e)
		case history.View:
			v.Seen++
			c.viewChanged(e)
		case history.Ending:
			c.checkEnd()
			return v
		}
	}
	v.Broken = append(v.Broken, Finding{Text: "the history has no end by which to judge the views"})
	return v
}

// viewCheck is the state of the View check while it goes through the events.
type viewCheck struct {
	verdict  *Verdict
	faults   nodeIntervals            // fault intervals of each party that a fault names, with viewSettleTime
	running  map[string]int           // the number of running processes of each node
	lastView map[string]history.Event // the last view event of each node
	// nodes that were sent SIGTERM, to end or to upgrade, and that no fault has killed or stopped since
	terminated     map[string]bool
	lastFaultEnd   time.Duration // the end of the last fault
	lastViewChange time.Duration // the time of the last change of any view
	lost           []*loss       // the nodes that faults killed or stopped
}

// loss is the loss of a node to a fault that killed or stopped it.
type loss struct {
	name      string
	at        time.Duration
	deadAfter map[string]time.Duration // by viewing node: the delay until its view had the lost node as dead
}

// faultIntervalsByName collects the intervals of all faults by the parties that they name, each prolonged by
// viewSettleTime.
func faultIntervalsByName(events []history.Event) nodeIntervals {
	var named []history.Event
	for _, e := range events {
		if e.Kind == history.Fault {
			e.Nodes = e.Also
			named = append(named, e)
		}
	}
	byName := faultIntervals(named)
	for _, intervals := range byName {
		for i := range intervals {
			intervals[i].to += min(viewSettleTime, 1<<63-1-intervals[i].to)
		}
	}
	return byName
}

// process applies a change of a process's state.
func (c *viewCheck) process(e history.Event) {
	switch e.How {
	case "start":
		c.running[e.Node]++
	case "exit":
		c.running[e.Node]--
	case "signal":
		if e.Detail == "SIGTERM" {
			c.terminated[e.Node] = true
		}
	}
}

// fault applies the begin or the end of a fault.
func (c *viewCheck) fault(e history.Event) {
	_, kind, _ := strings.Cut(e.Detail, "-")
	if e.How == "end" {
		c.lastFaultEnd = max(c.lastFaultEnd, e.T)
		return
	}
	for _, name := range e.Also {
		if kind == "kill" || kind == "pause" {
			c.terminated[name] = false
			c.lost = append(c.lost, &loss{name: name, at: e.T, deadAfter: map[string]time.Duration{}})
		}
	}
}

// viewChanged compares a node's new view with its previous view, and records which lost nodes are dead in it.
func (c *viewCheck) viewChanged(e history.Event) {
	c.lastViewChange = max(c.lastViewChange, e.T)
	now, before := parseMembers(e), parseMembers(c.lastView[e.Node])
	if c.lastView[e.Node].Detail != e.Detail {
		before = nil // the previous view is that of another process
	}
	for _, name := range slices.Sorted(maps.Keys(now)) {
		s := now[name]
		if b, ok := before[name]; ok && (s.generation < b.generation ||
			s.generation == b.generation && s.incarnation < b.incarnation) {
			c.verdict.fail(
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
		if !c.faults.overlap(name, e.T, e.T) && !c.faults.overlap(e.Node, e.T, e.T) {
			c.verdict.fail(e, "%s takes %s for dead, and nothing had been done to either", e.Node, name)
		}
		if c.terminated[name] && !c.faults.overlap(e.Node, e.T, e.T) {
			c.verdict.fail(e, "%s takes %s for dead, which ended as ordered", e.Node, name)
		}
		for _, l := range c.lost {
			if l.name == name && l.deadAfter[e.Node] == 0 {
				l.deadAfter[e.Node] = e.T - l.at
			}
		}
	}
	c.lastView[e.Node] = e
}

// checkEnd checks the views at the end of the run. It reports how long the views took to settle, and how long
// other nodes took to see the losses.
func (c *viewCheck) checkEnd() {
	var first history.Event
	for _, name := range slices.Sorted(maps.Keys(c.lastView)) {
		e := c.lastView[name]
		if c.running[name] <= 0 {
			continue
		}
		if first.Node == "" {
			first = e
		}
		if e.How != first.How {
			c.verdict.fail(e, "at the end %s has view %s and %s has %s", name, e.How, first.Node, first.How)
		}
		for member, s := range parseMembers(e) {
			if running := c.running[member] > 0; running != (s.health == "alive") {
				c.verdict.fail(e, "at the end %s has %s as %s, which runs: %v", name, member, s.health, running)
			}
		}
		for member, n := range c.running {
			if _, known := parseMembers(e)[member]; n > 0 && !known && c.lastView[member].Node != "" {
				c.verdict.fail(e, "at the end %s does not know %s", name, member)
			}
		}
	}
	if c.lastFaultEnd > 0 {
		c.verdict.Measured = append(
			c.verdict.Measured,
			fmt.Sprintf("the last view changed %.2f s after the end of the last fault",
				(c.lastViewChange-c.lastFaultEnd).Seconds()),
		)
	}
	for _, l := range c.lost {
		var delays []time.Duration
		for _, delay := range l.deadAfter {
			delays = append(delays, delay)
		}
		if slices.Sort(delays); len(delays) > 0 {
			c.verdict.Measured = append(
				c.verdict.Measured,
				fmt.Sprintf("%s was dead in %d views after %.2f s in the median, %.2f s in the last", l.name, len(delays),
					delays[len(delays)/2].Seconds(), delays[len(delays)-1].Seconds()),
			)
		}
	}
}

package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/lab/history"
)

// shaken is how long past the end of a fault a view may still be wrong about those whom it touched, or be
// wrong itself: the longest suspicion of a small fleet, and a round of asking the dead.
const shaken = 10 * time.Second

// sight is one member in a node's view.
type sight struct {
	health            string
	life, incarnation uint64
}

func sights(e history.Event) map[string]sight {
	all := map[string]sight{}
	for _, text := range e.Also {
		var name string
		var s sight
		if n, _ := fmt.Sscanf(text, "%s %s %d %d", &name, &s.health, &s.life, &s.incarnation); n == 4 {
			all[name] = s
		}
	}
	return all
}

// View judges what the nodes saw of each other: at the end all that run have one view, with just those alive
// that run; nobody whom no fault touched was taken for dead by another like that; an ordered end was not
// taken for a death, nor an upgrade for any end; and no life went back in the eyes of one process.
func View(events []history.Event) Verdict {
	v := Verdict{
		Name:  "view",
		Rule:  "views settle after the last fault, take no undisturbed node for dead, and never go back",
		Timed: true,
	}
	w := views{
		v:       &v,
		faults:  touchedBy(events),
		running: map[string]int{},
		last:    map[string]history.Event{},
		ordered: map[string]bool{},
	}
	for _, e := range events {
		switch e.Kind {
		case history.Proc:
			w.process(e)
		case history.Fault:
			w.fault(e)
		case history.View:
			v.Seen++
			w.saw(e)
		case history.Ending:
			w.settled()
			return v
		}
	}
	v.Broken = append(v.Broken, Finding{Text: "the history has no end by which to judge the views"})
	return v
}

type views struct {
	v       *Verdict
	faults  spells                   // by everybody whom they name
	running map[string]int           // processes of a node
	last    map[string]history.Event // what it saw last
	ordered map[string]bool          // nodes that have been told to end, or upgraded, and not killed since
	end     time.Duration            // of the last fault
	changed time.Duration            // the last change of any view
	lost    []*loss                  // nodes that were killed or stopped
}

// loss is a node that was lost, and who has seen that.
type loss struct {
	name string
	at   time.Duration
	by   map[string]time.Duration
}

// touchedBy collects all faults, by everybody whom they name.
func touchedBy(events []history.Event) spells {
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
			all[i].to += min(shaken, 1<<63-1-all[i].to)
		}
	}
	return s
}

func (w *views) process(e history.Event) {
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

func (w *views) fault(e history.Event) {
	_, do, _ := strings.Cut(e.Detail, "-")
	if e.How == "end" {
		w.end = max(w.end, e.T)
		return
	}
	for _, name := range e.Also {
		if do == "kill" || do == "pause" {
			w.ordered[name] = false
			w.lost = append(w.lost, &loss{name: name, at: e.T, by: map[string]time.Duration{}})
		}
	}
}

func (w *views) saw(e history.Event) {
	w.changed = max(w.changed, e.T)
	now, before := sights(e), sights(w.last[e.Node])
	if w.last[e.Node].Detail != e.Detail {
		before = nil // another process
	}
	for _, name := range slices.Sorted(maps.Keys(now)) {
		s := now[name]
		if b, ok := before[name]; ok && (s.life < b.life || s.life == b.life && s.incarnation < b.incarnation) {
			w.v.fail(
				e,
				"%s sees %s go back from life %d, %d to %d, %d",
				e.Node,
				name,
				b.life,
				b.incarnation,
				s.life,
				s.incarnation,
			)
		}
		if s.health != "dead" || before[name].health == "dead" && before[name].life == s.life {
			continue
		}
		if !w.faults.touch(name, e.T, e.T) && !w.faults.touch(e.Node, e.T, e.T) {
			w.v.fail(e, "%s takes %s for dead, and nothing had been done to either", e.Node, name)
		}
		if w.ordered[name] && !w.faults.touch(e.Node, e.T, e.T) {
			w.v.fail(e, "%s takes %s for dead, which ended as ordered", e.Node, name)
		}
		for _, l := range w.lost {
			if l.name == name && l.by[e.Node] == 0 {
				l.by[e.Node] = e.T - l.at
			}
		}
	}
	w.last[e.Node] = e
}

// settled judges the end, and tells the times.
func (w *views) settled() {
	var first history.Event
	for _, name := range slices.Sorted(maps.Keys(w.last)) {
		e := w.last[name]
		if w.running[name] <= 0 {
			continue
		}
		if first.Node == "" {
			first = e
		}
		if e.How != first.How {
			w.v.fail(e, "at the end %s has view %s and %s has %s", name, e.How, first.Node, first.How)
		}
		for member, s := range sights(e) {
			if runs := w.running[member] > 0; runs != (s.health == "alive") {
				w.v.fail(e, "at the end %s has %s as %s, which runs: %v", name, member, s.health, runs)
			}
		}
		for member, n := range w.running {
			if _, known := sights(e)[member]; n > 0 && !known && w.last[member].Node != "" {
				w.v.fail(e, "at the end %s does not know %s", name, member)
			}
		}
	}
	if w.end > 0 {
		w.v.Measured = append(
			w.v.Measured,
			fmt.Sprintf("the last view changed %.2f s after the end of the last fault", (w.changed-w.end).Seconds()),
		)
	}
	for _, l := range w.lost {
		var all []time.Duration
		for _, took := range l.by {
			all = append(all, took)
		}
		if slices.Sort(all); len(all) > 0 {
			w.v.Measured = append(
				w.v.Measured,
				fmt.Sprintf("%s was dead in %d views after %.2f s in the median, %.2f s in the last", l.name, len(all),
					all[len(all)/2].Seconds(), all[len(all)-1].Seconds()),
			)
		}
	}
}
